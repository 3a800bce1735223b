// Deflating of settings texts, private to the Peer library.
#pragma once

#include <optional>
#include <string>

namespace jasminequay
{

/// Returns the deflated text.
std::string deflateText(const std::string &text);

/// Returns the text of a known size; nothing if the bytes are not that text deflated.
std::optional<std::string> inflateText(const std::string &deflated, std::size_t size);

} // namespace jasminequay
