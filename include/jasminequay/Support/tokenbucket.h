// A token bucket: the byte budgets of control traffic and the retry budgets use it.
#pragma once

#include "jasminequay/Support/timepoint.h"

namespace jasminequay
{

/// Admits an amount on average `rate` a second with bursts of at most `burst`.
class TokenBucket
{
public:
    /// Starts full at `now`.
    TokenBucket(double rate, double burst, TimePoint now);

    /// Takes `amount` tokens if there are as many; returns whether it did.
    bool take(double amount, TimePoint now);

private:
    void refill(TimePoint now);

    double m_rate;
    double m_burst;
    double m_tokens;
    TimePoint m_refilledAt;
};

} // namespace jasminequay
