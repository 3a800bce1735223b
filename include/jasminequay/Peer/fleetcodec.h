// The wire forms of what instances that steer by token tell each other.
#pragma once

#include "jasminequay/Fleet/fleetnews.h"
#include "jasminequay/Support/failure.h"

#include <string>
#include <string_view>

namespace jasminequay
{

/// The largest message, in bytes: that of a UDP datagram that any network carries in one or a few fragments.
constexpr std::size_t MaximumNewsSize = 8192;

/// Encodes a message: a mark of the protocol and its version, a checksum, and the message.
std::string encodeNews(const FleetMessage &news);

/// Decodes a message; fails for bytes that no peer sent: without the mark, damaged, or with values out of
/// range.
Result<FleetMessage> decodeNews(std::string_view bytes, const std::string &peer);

/// Encodes everything that an instance knows, deflated.
std::string encodeImage(const FetchResponse &image);

/// Decodes what a peer knows.
Result<FetchResponse> decodeImage(const std::string &bytes, const std::string &peer);

} // namespace jasminequay
