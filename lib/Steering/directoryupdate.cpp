#include "jasminequay/Steering/directoryupdate.h"

#include "jasminequay/Support/enumnames.h"

namespace jasminequay
{

static constexpr EnumNames<StoreOutcome, 5> StoreOutcomeNames{{
    {StoreOutcome::Answered, "answered"},
    {StoreOutcome::HistoryLost, "history-lost"},
    {StoreOutcome::TooLarge, "too-large"},
    {StoreOutcome::Refused, "refused"},
    {StoreOutcome::Failed, "failed"},
}};

std::string_view storeOutcomeName(StoreOutcome outcome)
{
    return nameIn(StoreOutcomeNames, outcome);
}

} // namespace jasminequay
