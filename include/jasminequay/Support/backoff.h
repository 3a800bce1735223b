// Exponential backoff with full jitter, so that instances that failed together do not retry together.
#pragma once

#include "jasminequay/Support/timepoint.h"

#include <cstdint>
#include <random>

namespace jasminequay
{

/// Yields the delay before each retry. Source: Brooker, "Exponential Backoff And Jitter", 2015 ("full
/// jitter").
class Backoff
{
public:
    /// `base` bounds the first delay and `cap` all of them.
    Backoff(Duration base, Duration cap, std::uint64_t seed);

    /// Returns a delay drawn evenly from zero to the current bound, and doubles the bound.
    Duration next();

    /// Returns to the first bound; called after a success.
    void reset();

private:
    Duration m_base;
    Duration m_cap;
    Duration m_bound;
    std::mt19937_64 m_random;
};

} // namespace jasminequay
