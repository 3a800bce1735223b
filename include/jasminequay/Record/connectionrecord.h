// The connection record: one key=value line about the traffic of one flow at one instance.
#pragma once

#include "jasminequay/Flow/flowrecord.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace jasminequay
{

/// What a record line is about.
enum class RecordKind : std::uint8_t {
    Start, ///< The instance started.
    Flow,
    Stop, ///< The instance ended as planned; nothing of this incarnation follows.
};

std::string_view recordKindName(RecordKind kind);

/// A record with its place in the instance's sequence. Sequences start at one with each incarnation and have
/// no gaps, so that a gap shows what is not known.
struct ConnectionRecord {
    RecordKind kind = RecordKind::Flow;
    std::string instance;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    std::int64_t at = 0; ///< Milliseconds since 1970, by the instance's clock.
    FlowRecord flow; ///< Empty unless the kind is Flow.
};

/// Prints the record as one line without a line end.
std::string formatRecord(const ConnectionRecord &record);

/// Parses a line; on failure returns nothing and says in `reason` what is wrong.
std::optional<ConnectionRecord> parseRecord(std::string_view line, std::string &reason);

} // namespace jasminequay
