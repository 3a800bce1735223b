#include "jasminequay/Control/settingscontrol.h"

#include <algorithm>

namespace jasminequay
{

SettingsControl::SettingsControl(std::string dataCentre, std::uint64_t incarnation)
    : m_incarnation(incarnation)
    , m_builder(std::move(dataCentre))
{
}

Offer SettingsControl::offer(const std::string &text, TimePoint now)
{
    const Offer offer = m_ledger.offer(text);
    if (offer == Offer::Accepted) {
        m_builder.apply(m_ledger.configuration(), now);
        m_shared.clear();
    }
    return offer;
}

Offer SettingsControl::offerFromPeer(const SettingsReply &reply, TimePoint now)
{
    const bool isFirst = version() == 0;
    if (!isFirst) {
        return offer(reply.text, now);
    }
    const Offer result = m_ledger.offer(reply.text);
    if (result == Offer::Accepted) {
        m_builder.applyFirst(m_ledger.configuration(), reply.held, now);
    }
    return result;
}

SettingsReply SettingsControl::reply() const
{
    return {version(), m_ledger.text(), m_builder.heldBack()};
}

void SettingsControl::share(const BindingMessage &binding)
{
    m_shared.insert_or_assign(binding.flow.hash(), binding);
}

void SettingsControl::noteSwept(std::uint64_t version)
{
    m_sweptVersion = std::max(m_sweptVersion, version);
}

std::vector<ControlBody> SettingsControl::confirmation() const
{
    if (!isConfirmedHere()) {
        return {};
    }
    std::vector<ControlBody> bodies;
    if (!m_shared.empty()) {
        BindingBatch batch{version(), {}};
        for (const auto &[hash, binding] : m_shared) {
            batch.bindings.push_back(binding);
        }
        bodies.emplace_back(std::move(batch));
    }
    bodies.emplace_back(Confirmation{version(), m_incarnation, m_shared.size()});
    return bodies;
}

void SettingsControl::noteShared(const std::string &peer, const BindingBatch &batch)
{
    auto &[version, flows] = m_received[peer];
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
    const auto found = m_received.find(peer);
    const bool hasReceived = found != m_received.end() && found->second.first == confirmation.version;
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
    const bool maySettle = hasQuarantine() && isConfirmedHere()
        && m_confirmations.isSettled(members, version(), lease, retention(), now);
    if (maySettle) {
        m_builder.settle();
    }
    return maySettle;
}

} // namespace jasminequay
