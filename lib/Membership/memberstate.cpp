#include "jasminequay/Membership/memberstate.h"

#include "jasminequay/Support/enumnames.h"

namespace jasminequay
{

static constexpr EnumNames<MemberPhase, 3> MemberPhaseNames{
    {{MemberPhase::Joining, "joining"}, {MemberPhase::Ready, "ready"}, {MemberPhase::Leaving, "leaving"}}};

static constexpr EnumNames<MemberHealth, 3> MemberHealthNames{
    {{MemberHealth::Alive, "alive"}, {MemberHealth::Suspect, "suspect"}, {MemberHealth::Dead, "dead"}}};

std::string_view memberPhaseName(MemberPhase phase)
{
    return nameIn(MemberPhaseNames, phase);
}

std::string_view memberHealthName(MemberHealth health)
{
    return nameIn(MemberHealthNames, health);
}

} // namespace jasminequay
