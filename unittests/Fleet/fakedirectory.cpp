#include "fakedirectory.h"

#include <algorithm>

namespace jasminequay::fleet
{

std::uint64_t FakeDirectory::changeRoutes(const std::vector<std::string> &services)
{
    m_routes.version += 3;
    m_routes.routes.clear();
    for (const std::string &service : services) {
        const auto number = static_cast<std::uint32_t>(m_routes.routes.size());
        m_routes.routes.push_back({service + std::to_string(m_routes.version), {{0xc6120001 + number}, 443},
            RequestKind::Idempotent, std::chrono::seconds(1), {{service, 1}}});
    }
    m_history.push_back({++m_revision, true, {}});
    return m_routes.version;
}

void FakeDirectory::put(TargetRecord record)
{
    record.revision = ++m_revision;
    m_history.push_back({m_revision, false, record.name});
    m_targets[record.name] = std::move(record);
}

void FakeDirectory::remove(const std::string &name)
{
    m_targets.erase(name);
    m_history.push_back({++m_revision, false, name});
}

void FakeDirectory::evacuate(const std::string &dataCentre)
{
    m_evacuations[dataCentre] = {dataCentre, ++m_revision, true};
    m_history.push_back({m_revision, false, {}, dataCentre});
}

void FakeDirectory::endEvacuation(const std::string &dataCentre)
{
    m_evacuations.erase(dataCentre);
    m_history.push_back({++m_revision, false, {}, dataCentre});
}

void FakeDirectory::forgetHistory()
{
    m_historyFloor = m_revision;
    m_history.clear();
}

void FakeDirectory::setStaleAnswer()
{
    m_staleAnswers.assign(1, readAll());
}

void FakeDirectory::addStaleAnswer()
{
    m_staleAnswers.push_back(readAll());
}

StoreAnswer FakeDirectory::readAll(bool mayBeStale) const
{
    if (mayBeStale && !m_staleAnswers.empty()) {
        StoreAnswer answer = m_staleAnswers[m_staleReads++ % m_staleAnswers.size()];
        answer.isStale = true;
        return answer;
    }
    StoreAnswer answer;
    answer.outcome = StoreOutcome::Answered;
    answer.calls = 1;
    answer.isStale = mayBeStale;
    answer.update.revision = m_revision;
    answer.update.isComplete = true;
    if (m_routes.version > 0) {
        answer.update.routes = m_routes;
    }
    for (const auto &[name, record] : m_targets) {
        answer.update.targets.push_back(record);
    }
    for (const auto &[dataCentre, record] : m_evacuations) {
        answer.update.evacuations.push_back(record);
    }
    return answer;
}

StoreAnswer FakeDirectory::changesAfter(std::uint64_t revision) const
{
    StoreAnswer answer;
    answer.calls = 1;
    if (revision < m_historyFloor) {
        answer.outcome = StoreOutcome::HistoryLost;
        return answer;
    }
    const auto versions = std::count_if(m_history.begin(), m_history.end(),
        [revision](const Change &change) { return change.isRoutes && change.revision > revision; });
    if (static_cast<std::size_t>(versions) > faults.largestAnswer) {
        answer.outcome = StoreOutcome::TooLarge;
        return answer;
    }
    answer.outcome = StoreOutcome::Answered;
    answer.update.revision = m_revision;
    for (const Change &change : m_history) {
        if (change.revision <= revision) {
            continue;
        }
        if (change.isRoutes) {
            answer.update.routes = m_routes;
        } else if (!change.evacuated.empty()) {
            const auto entry = m_evacuations.find(change.evacuated);
            const bool isPresent = entry != m_evacuations.end();
            answer.update.evacuations.push_back(
                isPresent ? entry->second : EvacuationRecord{change.evacuated, change.revision, false});
        } else if (const auto target = m_targets.find(change.target); target != m_targets.end()) {
            answer.update.targets.push_back(target->second);
        } else {
            answer.update.removals.push_back({change.target, change.revision});
        }
    }
    return answer;
}

} // namespace jasminequay::fleet
