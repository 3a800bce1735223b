#include "jasminequay/Packet/dropcause.h"

#include "jasminequay/Support/enumnames.h"

namespace jasminequay
{

static constexpr EnumNames<DropCause, DropCauseCount> DropCauseNames{{
    {DropCause::None, "none"},
    {DropCause::Truncated, "truncated"},
    {DropCause::NotIpv4, "not-ipv4"},
    {DropCause::BadLength, "bad-length"},
    {DropCause::BadChecksum, "bad-checksum"},
    {DropCause::Fragmented, "fragmented"},
    {DropCause::TimeToLiveOver, "time-to-live-over"},
    {DropCause::UnknownProtocol, "unknown-protocol"},
    {DropCause::UnknownService, "unknown-service"},
    {DropCause::UnknownTarget, "unknown-target"},
    {DropCause::CrossedAnswer, "crossed-answer"},
    {DropCause::ForeignQuote, "foreign-quote"},
    {DropCause::AwaitingBinding, "awaiting-binding"},
    {DropCause::Quarantined, "quarantined"},
    {DropCause::Fenced, "fenced"},
    {DropCause::NoTarget, "no-target"},
    {DropCause::TableFull, "table-full"},
    {DropCause::TooManyHops, "too-many-hops"},
    {DropCause::ServiceLimit, "service-limit"},
    {DropCause::Unauthenticated, "unauthenticated"},
    {DropCause::SendFailed, "send-failed"},
}};

std::string_view dropCauseName(DropCause cause)
{
    return nameIn(DropCauseNames, cause);
}

} // namespace jasminequay
