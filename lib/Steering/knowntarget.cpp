#include "jasminequay/Steering/knowntarget.h"

#include "jasminequay/Support/enumnames.h"
#include "jasminequay/Support/hash.h"

#include <algorithm>

namespace jasminequay
{

/// The share of its slots that counts while a target is in its slow start.
constexpr double SlowStartSlotShare = 0.6;

static constexpr EnumNames<TargetPresence, 3> TargetPresenceNames{{
    {TargetPresence::Listed, "listed"},
    {TargetPresence::Lapsed, "lapsed"},
    {TargetPresence::Gone, "gone"},
}};

static constexpr EnumNames<TargetEnd, 6> TargetEndNames{{
    {TargetEnd::None, "none"},
    {TargetEnd::EntryMissing, "entry-missing"},
    {TargetEnd::LaterStart, "later-start"},
    {TargetEnd::EarlierStart, "earlier-start"},
    {TargetEnd::AnsweredByOther, "answered-by-other"},
    {TargetEnd::PeerReport, "peer-report"},
}};

std::string_view targetPresenceName(TargetPresence presence)
{
    return nameIn(TargetPresenceNames, presence);
}

std::string_view targetEndName(TargetEnd end)
{
    return nameIn(TargetEndNames, end);
}

double usableSlots(const KnownTarget &target, bool isInSlowStart)
{
    return std::max<std::uint32_t>(target.record.slots, 1) * (isInSlowStart ? SlowStartSlotShare : 1);
}

bool isPreferredTie(const KnownTarget &left, const KnownTarget &right, std::uint64_t flowHash)
{
    return hashWords(flowHash, left.key) > hashWords(flowHash, right.key);
}

} // namespace jasminequay
