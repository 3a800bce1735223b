// One direction of a network link that loses, delays, doubles and reorders datagrams.
#pragma once

#include "jasminequay/Support/timepoint.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <random>

namespace jasminequay::soak
{

/// What is wrong with a link.
struct LinkFault {
    bool isCut = false;
    double lossShare = 0;
    double doublingShare = 0;
    Duration largestDelay
        = {}; ///< Each datagram is delayed at random up to this, so that they overtake each other.

    [[nodiscard]] bool isHarmless() const
    {
        return !isCut && lossShare == 0 && doublingShare == 0 && largestDelay == Duration{};
    }
};

/// Carries datagrams.
class FaultyLink
{
public:
    FaultyLink(boost::asio::io_context &context, std::uint64_t seed)
        : m_context(&context)
        , m_random(seed)
    {
    }

    void setFault(const LinkFault &fault)
    {
        m_fault = fault;
    }
    [[nodiscard]] const LinkFault &fault() const
    {
        return m_fault;
    }

    /// Calls `deliver` never, once or twice, now or later.
    void carry(const std::function<void()> &deliver);

private:
    void carryOnce(const std::function<void()> &deliver);

    boost::asio::io_context *m_context;
    std::mt19937_64 m_random;
    LinkFault m_fault;
};

} // namespace jasminequay::soak
