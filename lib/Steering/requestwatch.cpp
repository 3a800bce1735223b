#include "jasminequay/Steering/requestwatch.h"

namespace jasminequay
{

constexpr std::size_t MaximumEntries = 16384;

/// Requests are dropped after this time, whatever is asked for.
constexpr Duration MaximumAge = std::chrono::seconds(10);

void RequestWatch::add(const SteeredFlow &flow, TimePoint sentAt)
{
    const auto isDropped = [&](const Entry &entry) {
        return m_entries.size() >= MaximumEntries || sentAt - entry.sentAt > MaximumAge;
    };
    while (!m_entries.empty() && isDropped(m_entries.front())) {
        m_entries.pop_front();
    }
    m_entries.push_back({flow, sentAt});
}

std::vector<RequestWatch::Entry> RequestWatch::takeOlderThan(Duration age, TimePoint now)
{
    std::vector<Entry> taken;
    while (!m_entries.empty() && now - m_entries.front().sentAt >= age) {
        taken.push_back(m_entries.front());
        m_entries.pop_front();
    }
    return taken;
}

} // namespace jasminequay
