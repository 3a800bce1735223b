// Text inside XML, private to the Record library.
#pragma once

#include <string>
#include <string_view>

namespace jasminequay
{

/// Returns the text with the characters escaped that XML reserves.
std::string escapeXml(std::string_view text);

} // namespace jasminequay
