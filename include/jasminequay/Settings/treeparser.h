// Reading of the tree of services from YAML, with every mistake reported at once.
#pragma once

#include "jasminequay/Settings/configuration.h"
#include "jasminequay/Settings/mistake.h"

#include <string>

namespace jasminequay
{

/// The largest tree that is read, in bytes; the platform holds values up to this size.
constexpr std::size_t MaximumTreeSize = 1 << 20;

/// A tree, usable only when there are no mistakes.
struct ParsedTree {
    Configuration configuration;
    Mistakes mistakes;
};

/// Parses and checks a tree. Any bytes are safe.
ParsedTree parseTree(const std::string &text);

} // namespace jasminequay
