#include "fakedirectory.h"

#include <algorithm>

namespace jasminequay::fleet
{

std::uint64_t FakeDirectory::changeRoutes(const std::vector<std::string> &services)
{
    m_data.routes.version += 3;
    m_data.routes.routes.clear();
    for (const std::string &service : services) {
        const auto number = static_cast<std::uint32_t>(m_data.routes.routes.size());
        m_data.routes.routes.push_back({service + std::to_string(m_data.routes.version),
            {{0xc6120001 + number}, 443}, RequestKind::Idempotent, std::chrono::seconds(1), {{service, 1}}});
    }
    m_data.history.push_back({++m_data.revision, true, {}});
    return m_data.routes.version;
}

void FakeDirectory::put(TargetRecord record)
{
    record.revision = ++m_data.revision;
    m_data.history.push_back({m_data.revision, false, record.name});
    m_data.targets[record.name] = std::move(record);
}

void FakeDirectory::remove(const std::string &name)
{
    m_data.targets.erase(name);
    m_data.history.push_back({++m_data.revision, false, name});
}

void FakeDirectory::evacuate(const std::string &dataCentre)
{
    m_data.evacuations[dataCentre] = {dataCentre, ++m_data.revision, true};
    m_data.history.push_back({m_data.revision, false, {}, dataCentre});
}

void FakeDirectory::endEvacuation(const std::string &dataCentre)
{
    m_data.evacuations.erase(dataCentre);
    m_data.history.push_back({++m_data.revision, false, {}, dataCentre});
}

void FakeDirectory::makeCopy()
{
    m_copy = m_data;
}

void FakeDirectory::restoreCopy()
{
    m_data = m_copy;
    ++m_era;
}

/// Puts the era into the revisions of an answer, as the client of the store does.
void FakeDirectory::addEra(StoreAnswer &answer) const
{
    const auto stamp = [this](auto &items) {
        for (auto &item : items) {
            item.revision = storeRevision(m_era, item.revision);
        }
    };
    answer.era = m_era;
    answer.update.revision = storeRevision(m_era, answer.update.revision);
    stamp(answer.update.targets);
    stamp(answer.update.removals);
    stamp(answer.update.evacuations);
    if (answer.update.routes) {
        answer.update.routes->era = m_era;
    }
}

void FakeDirectory::forgetHistory()
{
    m_data.historyFloor = m_data.revision;
    m_data.history.clear();
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
    answer.update.revision = m_data.revision;
    answer.update.isComplete = true;
    if (m_data.routes.version > 0) {
        answer.update.routes = m_data.routes;
    }
    for (const auto &[name, record] : m_data.targets) {
        answer.update.targets.push_back(record);
    }
    for (const auto &[dataCentre, record] : m_data.evacuations) {
        answer.update.evacuations.push_back(record);
    }
    addEra(answer);
    return answer;
}

StoreAnswer FakeDirectory::changesAfter(StoreRevision after) const
{
    StoreAnswer answer;
    answer.calls = 1;
    answer.era = m_era;
    const std::uint64_t revision = numberOf(after);
    const bool isUnknown = eraOf(after) != m_era || revision > m_data.revision;
    if (isUnknown || revision < m_data.historyFloor) {
        answer.outcome = StoreOutcome::HistoryLost;
        return answer;
    }
    const auto versions = std::count_if(m_data.history.begin(), m_data.history.end(),
        [revision](const Change &change) { return change.isRoutes && change.revision > revision; });
    if (static_cast<std::size_t>(versions) > faults.largestAnswer) {
        answer.outcome = StoreOutcome::TooLarge;
        return answer;
    }
    answer.outcome = StoreOutcome::Answered;
    answer.update.revision = m_data.revision;
    for (const Change &change : m_data.history) {
        if (change.revision <= revision) {
            continue;
        }
        if (change.isRoutes) {
            answer.update.routes = m_data.routes;
        } else if (!change.evacuated.empty()) {
            const auto entry = m_data.evacuations.find(change.evacuated);
            const bool isPresent = entry != m_data.evacuations.end();
            answer.update.evacuations.push_back(
                isPresent ? entry->second : EvacuationRecord{change.evacuated, change.revision, false});
        } else if (const auto target = m_data.targets.find(change.target); target != m_data.targets.end()) {
            answer.update.targets.push_back(target->second);
        } else {
            answer.update.removals.push_back({change.target, change.revision});
        }
    }
    addEra(answer);
    return answer;
}

} // namespace jasminequay::fleet
