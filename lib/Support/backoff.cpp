#include "jasminequay/Support/backoff.h"

#include <algorithm>

namespace jasminequay
{

Backoff::Backoff(Duration base, Duration cap, std::uint64_t seed)
    : m_base(base)
    , m_cap(cap)
    , m_bound(base)
    , m_random(seed)
{
}

Duration Backoff::next()
{
    std::uniform_int_distribution<Duration::rep> delay(0, m_bound.count());
    m_bound = std::min(m_bound * 2, m_cap);
    return Duration(delay(m_random));
}

void Backoff::reset()
{
    m_bound = m_base;
}

} // namespace jasminequay
