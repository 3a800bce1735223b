// The timer service that parts subscribe to. It reads no clock: the owner advances it with the present time.
#pragma once

#include "jasminequay/Support/timepoint.h"

#include <cstddef>
#include <functional>
#include <string>
#include <vector>

namespace jasminequay
{

/// Calls its subscribers at their intervals, on the thread that advances it.
class TimerService
{
public:
    using Callback = std::function<void(TimePoint)>;

    /// Calls `callback` once in each `interval`, first after one interval. A late service calls it once, not
    /// many times.
    void subscribe(std::string name, Duration interval, TimePoint now, Callback callback);

    /// Calls each subscriber that is due.
    void advance(TimePoint now);

    /// Returns the moment at which the next subscriber is due, or `fallback` where there is none.
    [[nodiscard]] TimePoint nextDue(TimePoint fallback) const;

private:
    struct Subscription {
        std::string name;
        Duration interval;
        TimePoint due;
        Callback callback;
    };

    std::vector<Subscription> m_subscriptions;
};

} // namespace jasminequay
