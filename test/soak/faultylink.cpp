#include "faultylink.h"

#include <boost/asio/steady_timer.hpp>

#include <memory>

namespace jasminequay::soak
{

void FaultyLink::carry(const std::function<void()> &deliver)
{
    if (m_fault.isHarmless()) {
        deliver();
        return;
    }
    std::uniform_real_distribution<double> share(0, 1);
    if (m_fault.isCut || share(m_random) < m_fault.lossShare) {
        return;
    }
    carryOnce(deliver);
    if (share(m_random) < m_fault.doublingShare) {
        carryOnce(deliver);
    }
}

void FaultyLink::carryOnce(const std::function<void()> &deliver)
{
    std::uniform_int_distribution<Duration::rep> delay(0, m_fault.largestDelay.count());
    const Duration taken(delay(m_random));
    if (taken < std::chrono::milliseconds(1)) {
        deliver();
        return;
    }
    const auto timer = std::make_shared<boost::asio::steady_timer>(*m_context, taken);
    timer->async_wait([timer, deliver](boost::system::error_code error) {
        if (!error) {
            deliver();
        }
    });
}

} // namespace jasminequay::soak
