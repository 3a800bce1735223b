// Exchange of bindings between instances: queries, replies, replicas and handovers.
#include "jasminequay/Flow/flowengine.h"
#include "jasminequay/Packet/packetparser.h"

namespace jasminequay
{

/// The assumed size of one binding on the wire in bytes, for the rate limits.
constexpr double BindingWireSize = 40;

bool FlowEngine::startQuery(
    const PacketView &packet, const FlowContext &flow, InstanceId origin, TimePoint now)
{
    if (!m_queryBudget.take(1, now)) {
        return false;
    }
    PendingQuery query;
    query.key = flow.key;
    query.deadline = now + m_limits.queryTimeout;
    query.awaited = m_routing.ownership->peers();
    query.origin = origin;
    query.packet.assign(packet.bytes.begin(), packet.bytes.end());
    if (!m_queries.add(std::move(query))) {
        return false;
    }
    ++m_counters.queries;
    sendQueries(*m_queries.find(flow.key), flow.tuple);
    return true;
}

void FlowEngine::sendQueries(const PendingQuery &query, const FlowTuple &flow)
{
    for (const InstanceId peer : query.awaited) {
        m_outbox.push_back({peer, {BindingKind::Query, flow, {}, false}});
    }
}

/// Handles the reply of a peer that knows no binding. A duplicate reply counts once.
void FlowEngine::onNotFound(InstanceId from, FlowKey key, TimePoint now)
{
    PendingQuery *const query = m_queries.find(key);
    if (query == nullptr || std::erase(query->awaited, from) == 0) {
        return;
    }
    if (query->awaited.empty()) {
        finishQuery(key, now);
    }
}

/// Repeats the query to the peers that have not replied, until the attempts are used up: a lost datagram must
/// not be taken for "not found".
void FlowEngine::expireQuery(FlowKey key, TimePoint now)
{
    PendingQuery &query = *m_queries.find(key);
    const ServiceTable *const service = m_routing.catalogue->service(key.service());
    if (service == nullptr || query.attempts >= m_limits.queryAttempts) {
        finishQuery(key, now);
        return;
    }
    ++query.attempts;
    query.deadline = now + m_limits.queryTimeout;
    sendQueries(query, contextOf(*service, key.caller()).tuple);
}

void FlowEngine::onBinding(InstanceId from, const BindingMessage &message, TimePoint now)
{
    const ServiceTable *const service
        = m_routing.catalogue->serviceAt(message.flow.service, message.flow.protocol);
    if (service == nullptr) {
        return;
    }
    const FlowContext flow = contextOf(*service, message.flow.caller);
    if (message.kind == BindingKind::Query) {
        replyToQuery(from, flow);
        return;
    }
    if (message.kind == BindingKind::NotFound) {
        onNotFound(from, flow.key, now);
        return;
    }
    storeBinding(message, flow, now);
    if (m_queries.find(flow.key) != nullptr && m_table.find(flow.key) != nullptr) {
        finishQuery(flow.key, now);
    }
}

void FlowEngine::replyToQuery(InstanceId from, const FlowContext &flow)
{
    const FlowEntry *const entry = m_table.find(flow.key);
    const bool isUnknown = entry == nullptr || !entry->isLive()
        || (flow.service->policy.repeatable && hasInvalidTarget(*entry, flow));
    if (isUnknown) {
        m_outbox.push_back({from, {BindingKind::NotFound, flow.tuple, {}, false}});
        return;
    }
    sendBinding(from, BindingKind::Found, *entry, flow);
}

void FlowEngine::sendBinding(InstanceId to, BindingKind kind, const FlowEntry &entry, const FlowContext &flow)
{
    m_outbox.push_back(
        {to, {kind, flow.tuple, addressOf(entry.target), entry.state == FlowState::Established}});
}

void FlowEngine::broadcastBinding(BindingKind kind, const FlowEntry &entry, const FlowContext &flow)
{
    for (const InstanceId peer : m_routing.ownership->peers()) {
        sendBinding(peer, kind, entry, flow);
    }
}

void FlowEngine::storeBinding(const BindingMessage &message, const FlowContext &flow, TimePoint now)
{
    const TargetPlace place = m_routing.catalogue->targetAt(message.target, flow.service->protocol);
    FlowEntry *entry = m_table.find(flow.key);
    if (place.service != flow.service || place.target->isQuarantined) {
        // The target was removed or moved. A non-repeatable flow keeps an entry without a target, so that it
        // is not placed at another one.
        const bool mustKeep = !flow.service->policy.repeatable && entry == nullptr;
        if (FlowEntry *const kept = mustKeep ? insertEntry(flow, 0, FlowState::Established, now) : nullptr) {
            kept->set(FlowMark::Backup);
        }
        return;
    }
    if (entry != nullptr && entry->target != place.target->id) {
        // A reply from the owner replaces a cached binding. Other messages replace no live entry, and no
        // message replaces a live entry that this instance owns.
        const bool mayReplace = !entry->has(FlowMark::Owned) && message.kind == BindingKind::OwnerReply;
        if (!mayReplace && entry->isLive()) {
            return;
        }
        removeEntry(*entry, EndCause::Released);
        entry = nullptr;
    }
    const FlowState state = message.isEstablished ? FlowState::Established : FlowState::Opening;
    if (entry == nullptr) {
        entry = insertEntry(flow, place.target->id, state, now);
        m_counters.recovered += message.kind == BindingKind::OwnerReply || entry == nullptr ? 0 : 1;
    }
    if (entry == nullptr) {
        return;
    }
    if (!entry->has(FlowMark::Owned)) {
        entry->confirmedAt = tickAt(now);
    }
    const bool mustReopen = entry->state == FlowState::Closed && message.kind == BindingKind::OwnerReply;
    if (message.isEstablished && (entry->state == FlowState::Opening || mustReopen)) {
        entry->state = FlowState::Established;
    }
    if (flow.owner == m_self && entry->isLive()) {
        takeOwnership(*entry, flow);
        return;
    }
    if (message.kind == BindingKind::Replica || message.kind == BindingKind::Shared) {
        entry->set(FlowMark::Backup);
        entry->lastSeen = tickAt(now);
    }
}

void FlowEngine::finishQuery(FlowKey key, TimePoint now)
{
    PendingQuery query = m_queries.take(key);
    const ParsedPacket parsed = parsePacket(query.packet);
    const ServiceTable *const service = m_routing.catalogue->service(key.service());
    if (parsed.cause != DropCause::None || service == nullptr) {
        return;
    }
    const PacketView &packet = parsed.packet;
    const FlowContext flow = contextOf(*service, key.caller());
    Decision decision;
    if (m_table.find(key) != nullptr) {
        decision = decideAsOwner(packet, flow, query.origin, now);
    } else if (!service->policy.repeatable && !query.awaited.empty()) {
        // A peer that did not answer may know that the flow is at another target.
        decision = Decision::drop(DropCause::AwaitingBinding);
    } else {
        decision = recordIfRefused(
            packet.mayOpenFlow() ? placeNewFlow(packet, flow, now) : resumeUnknownFlow(packet, flow, now),
            flow);
    }
    decision.notifiesOrigin = query.origin != InstanceId{} && decision.action == PacketAction::ToTarget;
    m_released.push_back({std::move(query.packet), decision, query.origin});
}

void FlowEngine::replicate(FlowEntry &entry, const FlowContext &flow, TimePoint now)
{
    const InstanceId backup = m_routing.ownership->backupOf(flow.service->id, flow.hash);
    if (backup == InstanceId{} || backup == m_self || !m_replicaBudget.take(BindingWireSize, now)) {
        return;
    }
    sendBinding(backup, BindingKind::Replica, entry, flow);
    entry.set(FlowMark::Replicated);
}

void FlowEngine::handOver(FlowEntry &entry, const FlowContext &flow, TimePoint now)
{
    if (flow.owner == InstanceId{}) {
        // No instance is eligible to own the flow.
        return;
    }
    if (!m_handoverBudget.take(BindingWireSize, now)) {
        ++m_pass.deferredHandovers;
        return;
    }
    sendBinding(flow.owner, BindingKind::Replica, entry, flow);
    // The new owner records the end of the flow; the packets counted here go into an interim record.
    writeRecord(entry, EndCause::Interim);
    releaseOwnership(entry);
    entry.confirmedAt = tickAt(now);
}

} // namespace jasminequay
