// One mistake in a settings document, with its place.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace jasminequay
{

/// A mistake at a place of a document. Line and column count from one; zero means the document as a whole.
struct Mistake {
    std::size_t line = 0;
    std::size_t column = 0;
    std::string node; ///< The path of the node in the tree, e.g. "data-centres/dk-1/services/codebook/bound".
    std::string message;
};

using Mistakes = std::vector<Mistake>;

/// Prints "file:line:column: message, at node".
std::string describe(const Mistake &mistake, const std::string &file);

} // namespace jasminequay
