#include "jasminequay/Support/timerservice.h"

#include <algorithm>

namespace jasminequay
{

void TimerService::subscribe(std::string name, Duration interval, TimePoint now, Callback callback)
{
    m_subscriptions.push_back({std::move(name), interval, now + interval, std::move(callback)});
}

void TimerService::advance(TimePoint now)
{
    for (Subscription &subscription : m_subscriptions) {
        if (subscription.due > now) {
            continue;
        }
        subscription.due = now + subscription.interval;
        subscription.callback(now);
    }
}

TimePoint TimerService::nextDue(TimePoint fallback) const
{
    TimePoint due = fallback;
    for (const Subscription &subscription : m_subscriptions) {
        due = std::min(due, subscription.due);
    }
    return due;
}

} // namespace jasminequay
