#include "jasminequay/Steering/instanceroster.h"

#include "jasminequay/Support/hash.h"

#include <algorithm>

namespace jasminequay
{

void InstanceRoster::addSelf(const std::string &name)
{
    m_selfHash = hashText(name);
    m_others.erase(name);
    ++m_version;
}

void InstanceRoster::update(const std::vector<RosterEntry> &others, TimePoint now)
{
    for (auto &[name, other] : m_others) {
        other.vanishedAt = other.isPresent ? now : other.vanishedAt;
        other.isPresent = false;
    }
    for (const RosterEntry &entry : others) {
        const auto [position, isNew] = m_others.try_emplace(entry.name);
        position->second = {hashText(entry.name), true, entry.isLeaving, {}};
        m_version += isNew ? 1 : 0;
    }
    m_version += std::erase_if(
        m_others, [](const auto &item) { return !item.second.isPresent && item.second.isLeaving; });
}

void InstanceRoster::expire(TimePoint now)
{
    m_version += std::erase_if(m_others, [now](const auto &item) {
        return !item.second.isPresent && now - item.second.vanishedAt > VanishedLifetime;
    });
}

std::size_t InstanceRoster::rankFor(std::uint64_t targetKey) const
{
    const std::uint64_t own = hashWords(targetKey, m_selfHash);
    return static_cast<std::size_t>(std::count_if(m_others.begin(), m_others.end(),
        [&](const auto &item) { return hashWords(targetKey, item.second.hash) > own; }));
}

} // namespace jasminequay
