#include "jasminequay/Flow/endcause.h"

#include "jasminequay/Support/enumnames.h"

namespace jasminequay
{

static constexpr EnumNames<EndCause, 9> EndCauseNames{{
    {EndCause::Interim, "interim"},
    {EndCause::Finished, "finished"},
    {EndCause::Reset, "reset"},
    {EndCause::Idle, "idle"},
    {EndCause::NoAnswer, "no-answer"},
    {EndCause::Refused, "refused"},
    {EndCause::TargetRemoved, "target-removed"},
    {EndCause::Evicted, "evicted"},
    {EndCause::Released, "released"},
}};

std::string_view endCauseName(EndCause cause)
{
    return nameIn(EndCauseNames, cause);
}

std::optional<EndCause> endCauseNamed(std::string_view name)
{
    return valueIn(EndCauseNames, name);
}

} // namespace jasminequay
