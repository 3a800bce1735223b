// What the subcommands share: parsing of options and reading of files.
#pragma once

#include "commands.h"
#include "jasminequay/Settings/mistake.h"
#include "jasminequay/Support/failure.h"

#include <cxxopts.hpp>

#include <optional>
#include <string>

namespace jasminequay
{

/// Parses the options of a subcommand. On a mistake, or when help is asked for, prints and returns nothing;
/// `exit` then holds the exit code.
std::optional<cxxopts::ParseResult> parseOptions(cxxopts::Options &options, int argumentCount,
    char **arguments, const std::string &example, ExitCode &exit);

/// Reads a whole file.
Result<std::string> readFile(const std::string &path);

/// Prints the mistakes of a file; returns whether there were any.
bool printMistakes(const Mistakes &mistakes, const std::string &file);

/// Prints a mistake in the use of the tool.
ExitCode usage(const std::string &message);

} // namespace jasminequay
