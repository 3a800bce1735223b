#include "jasminequay/Steering/failingtargets.h"

#include <algorithm>

namespace jasminequay
{

using std::chrono::seconds;

/// After this many failures in a row a target counts as broken.
constexpr unsigned BrokenFailures = 3;

/// The share of the targets that may count as broken. Beyond it, failures in a row are due to load.
constexpr double BrokenShare = 0.3;

constexpr Duration SpreadWindow = seconds(1);

/// How long outcomes are kept. A calm instance sends a target a request every two seconds.
constexpr Duration OutcomeLifetime = seconds(10);

bool FailingTargets::recordOutcome(std::uint64_t target, bool isGood, TimePoint now)
{
    Outcomes &outcomes = m_targets[target];
    outcomes.at = now;
    if (isGood) {
        outcomes.failuresInARow = 0;
        return true;
    }
    outcomes.failedAt = now;
    ++outcomes.failuresInARow;
    const bool isBroken = outcomes.failuresInARow >= BrokenFailures;
    return !isBroken || static_cast<double>(broken()) > BrokenShare * static_cast<double>(m_targets.size());
}

std::size_t FailingTargets::broken() const
{
    return static_cast<std::size_t>(std::count_if(m_targets.begin(), m_targets.end(),
        [](const auto &entry) { return entry.second.failuresInARow >= BrokenFailures; }));
}

FailingTargets::Spread FailingTargets::spread(TimePoint now) const
{
    Spread found;
    const bool areMostBroken
        = static_cast<double>(broken()) > BrokenShare * static_cast<double>(m_targets.size());
    for (const auto &[key, outcomes] : m_targets) {
        found.targets += now - outcomes.at <= SpreadWindow ? 1 : 0;
        const bool isCounted = areMostBroken || outcomes.failuresInARow < BrokenFailures;
        const bool hasFailed
            = isCounted && outcomes.failedAt != TimePoint{} && now - outcomes.failedAt <= SpreadWindow;
        found.failing += hasFailed ? 1 : 0;
    }
    return found;
}

void FailingTargets::removeOld(TimePoint now)
{
    std::erase_if(m_targets, [now](const auto &entry) { return now - entry.second.at > OutcomeLifetime; });
}

} // namespace jasminequay
