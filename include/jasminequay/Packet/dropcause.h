// Why a packet was dropped; each cause is a counter that operators see.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace jasminequay
{

/// The cause for which a packet is dropped.
enum class DropCause : std::uint8_t {
    None,
    Truncated,
    NotIpv4,
    BadLength,
    BadChecksum,
    Fragmented,
    TimeToLiveOver,
    UnknownProtocol,
    UnknownService,
    UnknownTarget,
    CrossedAnswer,
    ForeignQuote,
    AwaitingBinding,
    Quarantined,
    Fenced,
    NoTarget,
    TableFull,
    TooManyHops,
    ServiceLimit,
    Unauthenticated,
    SendFailed,
};

constexpr std::size_t DropCauseCount = 21;

/// Returns the name of a cause as it stands in metrics.
std::string_view dropCauseName(DropCause cause);

} // namespace jasminequay
