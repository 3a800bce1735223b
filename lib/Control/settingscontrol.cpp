#include "jasminequay/Control/settingscontrol.h"

#include <algorithm>

namespace jasminequay
{

SettingsControl::SettingsControl(std::string dataCentre, std::uint64_t incarnation)
    : m_incarnation(incarnation)
    , m_builder(std::move(dataCentre))
{
}

OfferOutcome SettingsControl::offer(const std::string &text, TimePoint now)
{
    const OfferOutcome offer = m_ledger.offer(text);
    if (offer == OfferOutcome::Accepted) {
        m_builder.apply(m_ledger.configuration(), now);
        m_sharedBindings.clear();
    }
    return offer;
}

OfferOutcome SettingsControl::offerFromPeer(const SettingsReply &reply, TimePoint now)
{
    const bool isFirst = version() == 0;
    if (!isFirst) {
        return offer(reply.text, now);
    }
    const OfferOutcome result = m_ledger.offer(reply.text);
    if (result == OfferOutcome::Accepted) {
        m_builder.applyOnJoin(m_ledger.configuration(), reply.held, now);
    }
    return result;
}

SettingsReply SettingsControl::reply() const
{
    return {version(), m_ledger.text(), m_builder.quarantine()};
}

void SettingsControl::addSharedBinding(const BindingMessage &binding)
{
    m_sharedBindings.insert_or_assign(binding.flow.hash(), binding);
}

void SettingsControl::onSweepCompleted(std::uint64_t version)
{
    m_sweptVersion = std::max(m_sweptVersion, version);
}

std::vector<ControlBody> SettingsControl::confirmation() const
{
    if (!isConfirmedLocally()) {
        return {};
    }
    std::vector<ControlBody> bodies;
    if (!m_sharedBindings.empty()) {
        BindingBatch batch{version(), {}};
        for (const auto &[hash, binding] : m_sharedBindings) {
            batch.bindings.push_back(binding);
        }
        bodies.emplace_back(std::move(batch));
    }
    bodies.emplace_back(Confirmation{version(), m_incarnation, m_sharedBindings.size()});
    return bodies;
}

void SettingsControl::onSharedBindings(const std::string &peer, const BindingBatch &batch)
{
    auto &[version, flows] = m_receivedFlows[peer];
    if (version != batch.version) {
        version = batch.version;
        flows.clear();
    }
    for (const BindingMessage &binding : batch.bindings) {
        flows.insert(binding.flow.hash());
    }
}

bool SettingsControl::onConfirmation(const std::string &peer, const Confirmation &confirmation)
{
    const auto found = m_receivedFlows.find(peer);
    const bool hasReceived = found != m_receivedFlows.end() && found->second.first == confirmation.version;
    return m_confirmations.confirm(peer, confirmation, hasReceived ? found->second.second.size() : 0);
}

Duration SettingsControl::retention() const
{
    Duration longest{};
    for (const Catalogue::TablePointer &table : catalogue()->tables()) {
        if (table && !table->policy.repeatable) {
            longest = std::max(longest, table->policy.idleTimeout);
        }
    }
    return longest;
}

bool SettingsControl::releaseQuarantineIfConfirmed(const MemberTable &members, Duration lease, TimePoint now)
{
    const bool mayRelease = hasQuarantine() && isConfirmedLocally()
        && m_confirmations.isSettled(members, version(), lease, retention(), now);
    if (mayRelease) {
        m_builder.releaseQuarantine();
    }
    return mayRelease;
}

} // namespace jasminequay
