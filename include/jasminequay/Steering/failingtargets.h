// Separates targets that fail everything from targets that are full. Uses no clock or socket.
#pragma once

#include "jasminequay/Support/timepoint.h"

#include <cstddef>
#include <cstdint>
#include <unordered_map>

namespace jasminequay
{

/// The recent outcomes at the targets of one service and data centre. A full target still answers some of its
/// requests well; a broken one fails them all.
class FailingTargets
{
public:
    /// Records an answer of a target, or that it is missing. Returns whether it is evidence about the load of
    /// the service: failures of a target that has failed several times in a row are not, unless so many
    /// targets do that they can't all be broken.
    bool recordOutcome(std::uint64_t target, bool isGood, TimePoint now);

    /// The numbers of targets with an outcome within the last second, and of those with a failure.
    struct Spread {
        std::size_t targets = 0;
        std::size_t failing = 0;
    };

    [[nodiscard]] Spread spread(TimePoint now) const;

    /// Removes targets without recent outcomes.
    void removeOld(TimePoint now);

private:
    struct Outcomes {
        unsigned failuresInARow = 0;
        TimePoint at;
        TimePoint failedAt;
    };

    [[nodiscard]] std::size_t broken() const;

    std::unordered_map<std::uint64_t, Outcomes> m_targets;
};

} // namespace jasminequay
