// Flow entries: inserting, counting, closing, evicting and recording.
#include "jasminequay/Flow/flowengine.h"

#include <algorithm>

namespace jasminequay
{

/// How many slots an eviction examines at most.
constexpr std::size_t EvictionProbes = 128;
/// The byte count at which an interim record is written, so that the 32-bit counters never overflow.
constexpr std::uint32_t CounterLimit = 1U << 31;

/// The age before which an opening flow is not evicted, so that a flood does not evict legitimate handshakes
/// at once.
constexpr Duration HalfOpenGrace = std::chrono::seconds(1);

FlowEngine::FlowContext FlowEngine::contextOf(const ServiceTable &service, Endpoint caller) const
{
    FlowContext flow;
    flow.service = &service;
    flow.tuple = {caller, service.address, service.protocol};
    flow.key = FlowKey::of(caller, service.id);
    flow.hash = flow.tuple.hash();
    flow.owner = m_routing.ownership->ownerOf(service.id, flow.hash);
    return flow;
}

/// Returns how long a cached binding is used before the owner must confirm it. At most a quarter of the idle
/// timeout, so that the owner does not expire a running flow as idle.
Duration FlowEngine::cacheLease(const ServiceTable &service) const
{
    return std::min(m_limits.cacheLease, service.policy.idleTimeout / 4);
}

/// Tells whether a cached binding was neither used nor confirmed for two leases. Such an entry no longer
/// routes packets; it is kept only to answer queries from a new owner after the previous owner has failed.
bool FlowEngine::isExpiredCacheEntry(const FlowEntry &entry, const ServiceTable &service, TimePoint now) const
{
    const bool isCached = !entry.has(FlowMark::Owned) && !entry.has(FlowMark::Backup);
    return isCached
        && tickAt(now) - std::max(entry.lastSeen, entry.confirmedAt) > 2 * ticks(cacheLease(service));
}

const ServiceTable *FlowEngine::tableOf(ServiceId id) const
{
    if (const ServiceTable *const service = m_routing.catalogue->service(id); service != nullptr) {
        return service;
    }
    const auto removed = m_removedServices.find(id);
    return removed == m_removedServices.end() ? nullptr : removed->second.get();
}

Endpoint FlowEngine::addressOf(TargetId id) const
{
    if (const TargetPlace place = m_routing.catalogue->target(id); place.target != nullptr) {
        return place.target->settings.address;
    }
    const auto removed = m_removedTargets.find(id);
    return removed == m_removedTargets.end() ? Endpoint{} : removed->second;
}

void FlowEngine::retainRemoved(const Catalogue &before, const Catalogue &after)
{
    for (const Catalogue::TablePointer &table : before.tables()) {
        if (!table || after.service(table->id) == table.get()) {
            continue;
        }
        if (after.service(table->id) == nullptr) {
            m_removedServices[table->id] = table;
        }
        for (const TargetEntry &target : table->targets) {
            if (after.target(target.id).target == nullptr) {
                m_removedTargets[target.id] = target.settings.address;
            }
        }
    }
}

std::uint32_t &FlowEngine::ownedFlowCount(ServiceId service)
{
    if (m_ownedByService.size() <= service) {
        m_ownedByService.resize(service + 1U);
    }
    return m_ownedByService[service];
}

/// Tells whether the table is at least 7/8 full and the service owns more than an equal share of it. Such a
/// service gets no new flows, which leaves room for the others.
bool FlowEngine::exceedsShare(const ServiceTable &service) const
{
    const std::size_t pressureThreshold = m_table.capacity() - m_table.capacity() / 8;
    if (m_table.size() < pressureThreshold || service.id >= m_ownedByService.size()) {
        return false;
    }
    const auto services = static_cast<std::size_t>(std::count_if(
        m_ownedByService.begin(), m_ownedByService.end(), [](std::uint32_t owned) { return owned > 0; }));
    return services > 1 && m_ownedByService[service.id] > m_table.capacity() / services;
}

FlowEntry *FlowEngine::insertEntry(const FlowContext &flow, TargetId target, FlowState state, TimePoint now)
{
    if (m_table.size() >= m_table.capacity() && !evictOne(state == FlowState::Opening, now)) {
        return nullptr;
    }
    FlowEntry *const entry = m_table.insert(flow.key);
    if (entry == nullptr) {
        return nullptr;
    }
    entry->target = target;
    entry->state = state;
    entry->lastSeen = tickAt(now);
    entry->confirmedAt = entry->lastSeen;
    return entry;
}

/// Evicts one entry: closed flows first, then flows that another instance owns, then unfinished handshakes.
/// An established flow that this instance owns or backs up is never evicted.
bool FlowEngine::evictOne(bool mayEvictHalfOpen, TimePoint now)
{
    FlowEntry *victim = nullptr;
    int lowestRank = 3;
    std::vector<FlowEntry> &slots = m_table.slots();
    for (std::size_t probe = 0; probe < EvictionProbes && lowestRank > 0; ++probe) {
        m_evictionCursor = (m_evictionCursor + 1) % slots.size();
        FlowEntry &entry = slots[m_evictionCursor];
        if (entry.state == FlowState::Empty || entry.has(FlowMark::Backup)) {
            continue;
        }
        int rank = 3;
        if (entry.state == FlowState::Closed) {
            rank = 0;
        } else if (!entry.has(FlowMark::Owned)) {
            rank = 1;
        } else if (mayEvictHalfOpen && entry.state == FlowState::Opening
            && tickAt(now) - entry.confirmedAt > ticks(HalfOpenGrace)) {
            rank = 2;
        }
        if (rank < lowestRank) {
            lowestRank = rank;
            victim = &entry;
        }
    }
    if (victim == nullptr) {
        return false;
    }
    ++m_counters.evicted;
    removeEntry(*victim, EndCause::Evicted);
    return true;
}

void FlowEngine::takeOwnership(FlowEntry &entry, const FlowContext &flow)
{
    if (entry.has(FlowMark::Owned)) {
        return;
    }
    const TargetEntry *const target = flow.service->target(entry.target);
    if (target == nullptr) {
        return;
    }
    target->load->addFlow();
    ++ownedFlowCount(entry.key.service());
    entry.set(FlowMark::Owned);
    entry.clear(FlowMark::Backup);
    markException(entry, flow);
}

/// Marks a flow whose target cannot be recomputed from the service table after the owner has failed: its
/// target is not the recovery target, or it is a UDP flow at a draining target, because a datagram does not
/// tell whether its flow is new.
void FlowEngine::markException(FlowEntry &entry, const FlowContext &flow)
{
    const TargetEntry *const target = flow.service->target(entry.target);
    const bool isAmbiguous = flow.service->protocol == Protocol::Udp && target != nullptr
        && target->settings.state == TargetState::Draining;
    entry.clear(FlowMark::Exceptional);
    if (isAmbiguous || flow.service->recoveryTarget(flow.hash) != target) {
        entry.set(FlowMark::Exceptional);
    }
}

void FlowEngine::releaseOwnership(FlowEntry &entry)
{
    if (!entry.has(FlowMark::Owned)) {
        return;
    }
    entry.clear(FlowMark::Owned);
    --ownedFlowCount(entry.key.service());
    // The load of a target that was removed or moved to another service is no longer counted.
    const TargetPlace place = m_routing.catalogue->target(entry.target);
    if (place.target != nullptr) {
        place.target->load->removeFlow();
    }
}

void FlowEngine::rebind(FlowEntry &entry, TargetId target, const FlowContext &flow)
{
    writeRecord(entry, EndCause::Interim);
    releaseOwnership(entry);
    entry.target = target;
    if (flow.owner == m_self) {
        takeOwnership(entry, flow);
    }
}

void FlowEngine::close(FlowEntry &entry, EndCause cause)
{
    if (entry.state == FlowState::Closed) {
        return;
    }
    writeRecord(entry, cause);
    releaseOwnership(entry);
    entry.state = FlowState::Closed;
    entry.clear(FlowMark::Backup);
}

void FlowEngine::removeEntry(FlowEntry &entry, EndCause cause)
{
    // The end of a closed flow is already recorded, but late packets may have been counted since.
    writeRecord(entry, entry.state == FlowState::Closed ? EndCause::Interim : cause);
    releaseOwnership(entry);
    m_table.erase(&entry);
}

void FlowEngine::applyTcpFlags(FlowEntry &entry, TcpFlags flags, bool isFromCaller)
{
    if (flags.rst) {
        close(entry, EndCause::Reset);
        return;
    }
    if (!flags.fin) {
        return;
    }
    entry.set(isFromCaller ? FlowMark::CallerClosed : FlowMark::TargetClosed);
    if (entry.has(FlowMark::CallerClosed) && entry.has(FlowMark::TargetClosed)) {
        close(entry, EndCause::Finished);
    }
}

void FlowEngine::countPacket(FlowEntry &entry, const PacketView &packet, bool isFromCaller, TimePoint now)
{
    const auto size = static_cast<std::uint32_t>(packet.bytes.size());
    std::uint32_t &bytes = isFromCaller ? entry.bytesUp : entry.bytesDown;
    bytes += size;
    ++(isFromCaller ? entry.packetsUp : entry.packetsDown);
    entry.lastSeen = tickAt(now);
    if (bytes >= CounterLimit) {
        writeRecord(entry, EndCause::Interim);
    }
}

/// Records a packet that is forwarded without an entry, so that the records account for every byte.
void FlowEngine::recordUntracked(
    const PacketView &packet, const FlowContext &flow, Endpoint target, bool isFromCaller)
{
    FlowRecord record;
    record.flow = flow.tuple;
    record.service = flow.service->name;
    record.division = flow.service->policy.division;
    record.target = target;
    (isFromCaller ? record.bytesUp : record.bytesDown) = static_cast<std::uint32_t>(packet.bytes.size());
    (isFromCaller ? record.packetsUp : record.packetsDown) = 1;
    m_records.push_back(std::move(record));
}

void FlowEngine::writeRecord(FlowEntry &entry, EndCause cause)
{
    const bool isOwner = entry.has(FlowMark::Owned);
    const bool isEnd = isOwner && cause != EndCause::Interim;
    const ServiceTable *const service = tableOf(entry.key.service());
    if (service == nullptr || (entry.packetsUp == 0 && entry.packetsDown == 0 && !isEnd)) {
        return;
    }
    FlowRecord record;
    record.flow = {entry.key.caller(), service->address, service->protocol};
    record.service = service->name;
    record.division = service->policy.division;
    record.target = addressOf(entry.target);
    const bool isCacheRelease = !isOwner && cause != EndCause::Interim;
    record.cause = isCacheRelease ? EndCause::Released : cause;
    record.isOwner = isOwner;
    record.bytesUp = std::exchange(entry.bytesUp, 0);
    record.bytesDown = std::exchange(entry.bytesDown, 0);
    record.packetsUp = std::exchange(entry.packetsUp, 0);
    record.packetsDown = std::exchange(entry.packetsDown, 0);
    record.firstAnswer = Duration(std::chrono::seconds(entry.firstAnswer)) / 256;
    m_records.push_back(std::move(record));
}

} // namespace jasminequay
