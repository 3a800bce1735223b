#include "jasminequay/Settings/mistake.h"

namespace jasminequay
{

std::string describe(const Mistake &mistake, const std::string &file)
{
    std::string line
        = file + ":" + std::to_string(mistake.line) + ":" + std::to_string(mistake.column) + ": ";
    line += mistake.message;
    return line + ", at " + (mistake.node.empty() ? "the document" : mistake.node);
}

} // namespace jasminequay
