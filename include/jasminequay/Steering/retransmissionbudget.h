// Limits early retransmissions to a share of the packets that are covered. Uses no clock.
#pragma once

#include <algorithm>

namespace jasminequay
{

/// A token bucket that each covered packet fills by a share of a token. In any period there are at most
/// `Burst` retransmissions more than the share of the packets that were covered in it.
class RetransmissionBudget
{
public:
    static constexpr double Burst = 4;

    /// Sets the share, from 0 to 1.
    void setShare(double share)
    {
        m_share = share;
    }

    [[nodiscard]] double share() const
    {
        return m_share;
    }

    /// Records a covered packet.
    void recordPacket()
    {
        m_tokens = std::min(m_tokens + m_share, Burst);
        m_isExhausted = m_isExhausted && m_tokens < RegainedTokens;
    }

    /// Takes a token for a retransmission; returns whether there was one.
    [[nodiscard]] bool take()
    {
        if (m_tokens < 1) {
            m_isExhausted = true;
            return false;
        }
        m_tokens -= 1;
        return true;
    }

    /// Returns whether a retransmission was refused, and the bucket has not been half full since.
    [[nodiscard]] bool isExhausted() const
    {
        return m_isExhausted;
    }

private:
    static constexpr double RegainedTokens = Burst / 2;

    double m_share = 0;
    double m_tokens = Burst;
    bool m_isExhausted = false;
};

} // namespace jasminequay
