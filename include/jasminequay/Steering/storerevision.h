// Revisions of the store across restores from an older copy.
#pragma once

#include <algorithm>
#include <cstdint>
#include <string>

namespace jasminequay
{

/// A store revision is one integer that orders by era first: the era in the upper 24 bits, the number that
/// the store counts in the lower 40. The era rises with each restore, after which numbers are issued again.
/// In era 0 a revision is the number itself.
using StoreRevision = std::uint64_t;

constexpr unsigned RevisionNumberBits = 40;
constexpr std::uint64_t MaximumRevisionNumber = (std::uint64_t{1} << RevisionNumberBits) - 1;
constexpr std::uint32_t MaximumEra = (std::uint32_t{1} << (64 - RevisionNumberBits)) - 1;

/// Returns the revision with an era and a number. Numbers beyond the field are cut to its maximum.
constexpr StoreRevision storeRevision(std::uint32_t era, std::uint64_t number)
{
    return (static_cast<StoreRevision>(era) << RevisionNumberBits) | std::min(number, MaximumRevisionNumber);
}

/// Returns the era of a revision.
constexpr std::uint32_t eraOf(StoreRevision revision)
{
    return static_cast<std::uint32_t>(revision >> RevisionNumberBits);
}

/// Returns the number of a revision as the store counts within its era.
constexpr std::uint64_t numberOf(StoreRevision revision)
{
    return revision & MaximumRevisionNumber;
}

/// Returns a revision for logs: its number, preceded by the era unless that is 0.
inline std::string describeRevision(StoreRevision revision)
{
    const std::string number = std::to_string(numberOf(revision));
    return eraOf(revision) == 0 ? number : std::to_string(eraOf(revision)) + "/" + number;
}

} // namespace jasminequay
