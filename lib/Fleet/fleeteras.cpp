// The part of the fleet control that handles a store that was restored from an older copy.
#include "jasminequay/Fleet/fleetcontrol.h"

#include <algorithm>

namespace jasminequay
{

void FleetControl::raiseStoreEra(std::uint32_t era, TimePoint now)
{
    if (era > m_storeEra) {
        m_storeEra = era;
        m_storeEraSince = now;
    }
}

/// Returns the outcome of a read in view of its era: what an earlier era says is discarded, and what does not
/// hold everything of a new era is of no use.
StoreOutcome FleetControl::outcomeInEra(const StoreAnswer &answer, TimePoint now)
{
    const bool hasData = answer.outcome == StoreOutcome::Answered
        || answer.outcome == StoreOutcome::HistoryLost || answer.outcome == StoreOutcome::TooLarge;
    if (!answer.era) {
        return answer.outcome;
    }
    const bool isNewEra = *answer.era > m_storeEra;
    const bool hasKnownEra = m_isLoaded || m_storeEra > 0;
    raiseStoreEra(*answer.era, now);
    if (hasData && *answer.era < m_storeEra) {
        return StoreOutcome::Failed;
    }
    const bool isWhole = answer.update.isComplete && !answer.isStale;
    const bool isPartOfNewEra = isNewEra && hasKnownEra && !isWhole;
    return hasData && isPartOfNewEra ? StoreOutcome::HistoryLost : answer.outcome;
}

/// Returns whether routes must wait: their version is lower than that in force, and their era is not known
/// for the settings bound yet. Versions do not decrease within an era, so the store has held a lower version
/// for as long as it has been in this era.
bool FleetControl::isHeldBack(const RouteConfiguration &routes, TimePoint now) const
{
    const RouteConfiguration &inForce = m_engine.routes().configuration();
    const bool isLower = routes.era > inForce.era && routes.version < inForce.version;
    return isLower && now - m_storeEraSince < m_settings.settingsBound;
}

/// Puts routes in force that were held back for the settings bound. Only while the directory is current: the
/// instance may have been paused, and the routes been written again.
void FleetControl::applyHeldRoutes(FleetActions &actions, TimePoint now)
{
    const bool isCurrent = now - m_engine.currentAt() <= m_plan.timing().takeover;
    if (!m_heldRoutes || !isCurrent || isHeldBack(*m_heldRoutes, now)) {
        return;
    }
    applyRoutes(std::optional(*m_heldRoutes), m_routesRevision, now);
    FleetActions announced = announceChanges(now, true);
    std::move(announced.messages.begin(), announced.messages.end(), std::back_inserter(actions.messages));
}

/// Returns the order of the newest routes known here, in force or not.
FleetControl::RoutesOrder FleetControl::knownRoutesOrder() const
{
    const RoutesOrder inForce = m_engine.routes().configuration().order();
    return m_heldRoutes ? std::max(inForce, m_heldRoutes->order()) : inForce;
}

/// Returns the revision up to which the routes in force are known to be the newest; zero while they are of an
/// earlier era. Peers must not take a later revision for proved without the routes of its era.
std::uint64_t FleetControl::provedRoutesRevision() const
{
    const bool isProved = m_engine.routes().configuration().era >= eraOf(m_routesRevision);
    return isProved ? m_routesRevision : 0;
}

} // namespace jasminequay
