#include "jasminequay/Support/tokenbucket.h"

#include <algorithm>

namespace jasminequay
{

TokenBucket::TokenBucket(double rate, double burst, TimePoint now)
    : m_rate(rate)
    , m_burst(burst)
    , m_tokens(burst)
    , m_refilledAt(now)
{
}

bool TokenBucket::take(double amount, TimePoint now)
{
    refill(now);
    if (m_tokens < amount) {
        return false;
    }
    m_tokens -= amount;
    return true;
}

void TokenBucket::refill(TimePoint now)
{
    if (now <= m_refilledAt) {
        return;
    }
    const double seconds = std::chrono::duration<double>(now - m_refilledAt).count();
    m_tokens = std::min(m_burst, m_tokens + seconds * m_rate);
    m_refilledAt = now;
}

} // namespace jasminequay
