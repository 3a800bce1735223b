// What each action of the operators does.
#include "soakrun.h"

#include <cstdio>

namespace jasminequay::soak
{

using std::chrono::milliseconds;

/// How long the store is away before it comes back from a copy.
constexpr Duration RestoreTime = milliseconds(800);

/// When everything that the copy lacks has been written again, after the store has come back.
constexpr Duration RewriteTime = milliseconds(700);

/// Writes of other programs after the copy. Without them the numbers of the new era soon exceed those known,
/// and an instance that ignores the era would not be caught.
constexpr unsigned LostWrites = 200;

void SoakRun::tickDrills(TimePoint now)
{
    while (m_nextDrill < m_drills.size() && now - m_startedAt >= m_drills[m_nextDrill].at) {
        apply(m_drills[m_nextDrill], now);
        ++m_nextDrill;
    }
}

void SoakRun::apply(const Drill &drill, TimePoint now)
{
    std::printf("%s\n", describe(drill).c_str());
    switch (drill.kind) {
    case DrillKind::EvacuationBegun:
        m_publication.evacuate(drill.dataCentre);
        m_promises.evacuations[drill.dataCentre] = {now, {}};
        break;
    case DrillKind::EvacuationEnded:
        m_publication.endEvacuation(drill.dataCentre);
        m_promises.evacuations[drill.dataCentre].endedAt = now;
        break;
    case DrillKind::StoreCopied:
        m_store.makeCopy();
        for (unsigned write = 0; write < LostWrites; ++write) {
            m_publication.putUnrelated();
        }
        break;
    case DrillKind::StoreRestored:
        restoreStore(now);
        break;
    }
}

void SoakRun::restoreStore(TimePoint now)
{
    disturbStore(now + RestoreTime + RewriteTime);
    m_store.mood = platform::StoreMood::Resets;
    until(now + RestoreTime, [this]() {
        m_store.restoreCopy();
        m_store.mood = platform::StoreMood::Well;
    });
    until(now + RestoreTime + RewriteTime, [this]() { m_publication.writeAgain(m_targets); });
}

} // namespace jasminequay::soak
