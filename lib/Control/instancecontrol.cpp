#include "jasminequay/Control/instancecontrol.h"

#include "jasminequay/Support/logevent.h"

#include <algorithm>

namespace jasminequay
{

/// Requests without an answer are repeated after this time.
constexpr Duration RequestRetryInterval = std::chrono::seconds(1);

/// Limits the confirmations requested in one round. Otherwise the number of messages would grow with the
/// square of the number of instances in the data centre.
constexpr std::size_t MaxRequestsPerRound = 8;

/// An instance that the platform does not list takes ownership anyway after this many leases past its join
/// deadline.
constexpr int UnlistedGraceLeases = 5;

static MembershipTiming membershipTiming(const InstanceSettings &settings)
{
    MembershipTiming timing;
    timing.heartbeatInterval = settings.heartbeatInterval;
    timing.lease = settings.lease;
    return timing;
}

static DigestEntry initialDigestEntry(const InstanceSettings &settings, std::uint64_t incarnation)
{
    DigestEntry entry;
    entry.instance = settings.instance;
    entry.incarnation = incarnation;
    return entry;
}

InstanceControl::InstanceControl(
    const InstanceSettings &settings, std::uint64_t incarnation, TimePoint now, std::uint64_t seed)
    : m_instance(settings)
    , m_self(instanceIdOf(settings.instance))
    , m_members(initialDigestEntry(settings, incarnation), settings.peerData, settings.peerControl,
          membershipTiming(settings), now, seed)
    , m_settings(settings.dataCentre, incarnation)
    , m_joinDeadline(now + settings.lease)
    , m_settingsRequestedAt(now - RequestRetryInterval)
    , m_confirmationsRequestedAt(now)
{
}

void InstanceControl::send(const std::string &to, ControlBody body)
{
    const auto found = m_members.members().find(to);
    if (found != m_members.members().end() && found->second.peerControl.port != 0) {
        m_outgoing.push_back({to, found->second.peerControl, std::move(body)});
    }
}

void InstanceControl::sendDigests(std::vector<OutgoingDigest> digests)
{
    for (OutgoingDigest &outgoing : digests) {
        send(outgoing.to, std::move(outgoing.digest));
    }
}

void InstanceControl::tick(TimePoint now)
{
    m_members.setSettingsVersion(m_settings.version());
    sendDigests(m_members.tick(now));
    finishJoin(now);
    requestNewerSettings(now);
    if (m_settings.releaseQuarantineIfConfirmed(m_members, m_instance.lease, now)) {
        LogEvent(Severity::Info, "settings-settled").with("version", m_settings.version());
    }
    if (m_settings.hasQuarantine() && now - m_confirmationsRequestedAt >= RequestRetryInterval) {
        requestConfirmations(now);
    }
}

void InstanceControl::addSeed(const std::string &name, Endpoint peerData, Endpoint peerControl, TimePoint now)
{
    m_members.addSeed(name, peerData, peerControl, now);
}

bool InstanceControl::owns(ServiceId service) const
{
    const ServiceOwners *const owners = m_ownership->owners(service);
    return owners != nullptr
        && std::find(owners->owners.begin(), owners->owners.end(), m_self) != owners->owners.end();
}

void InstanceControl::finishJoin(TimePoint now)
{
    if (now >= m_joinDeadline && !m_deferredSettings.empty()) {
        onOfferResult(m_settings.offer(std::exchange(m_deferredSettings, {}), now));
    }
    const bool mayServe
        = m_settings.version() > 0 && now >= m_joinDeadline && !m_members.isFenced() && mayTakeOwnership(now);
    if (mayServe && m_members.self().phase == MemberPhase::Joining) {
        m_members.setPhase(MemberPhase::Ready);
        LogEvent(Severity::Info, "instance-ready").with("version", m_settings.version());
    }
}

/// Returns whether this instance may own flows. An instance that does not know its peers would take itself
/// for the owner of every flow. It owns nothing until the platform lists it, unless there is no platform or
/// the platform has not listed it for `UnlistedGraceLeases`.
bool InstanceControl::mayTakeOwnership(TimePoint now) const
{
    const bool isListed = std::any_of(m_list.instances.begin(), m_list.instances.end(),
        [this](const ListedInstance &listed) { return listed.name == m_instance.instance; });
    return isListed || m_instance.platform.port == 0
        || now >= m_joinDeadline + UnlistedGraceLeases * m_instance.lease;
}

void InstanceControl::requestNewerSettings(TimePoint now)
{
    const auto &[version, peer] = m_members.newestSettings();
    if (version <= m_settings.version() || now - m_settingsRequestedAt < RequestRetryInterval) {
        return;
    }
    m_settingsRequestedAt = now;
    send(peer, SettingsRequest{m_settings.version()});
}

void InstanceControl::requestConfirmations(TimePoint now)
{
    m_confirmationsRequestedAt = now;
    std::size_t sent = 0;
    for (const auto &[name, member] : m_members.members()) {
        const bool isMissing = !m_settings.confirmations().hasConfirmed(member, m_settings.version());
        if (isMissing && sent < MaxRequestsPerRound) {
            send(name, ConfirmationRequest{m_settings.version()});
            ++sent;
        }
    }
}

void InstanceControl::onMessage(const ControlMessage &message, TimePoint now)
{
    std::visit([&](const auto &body) { handle(message.sender, body, now); }, message.body);
}

void InstanceControl::handle(const std::string &sender, const Digest &digest, TimePoint now)
{
    sendDigests(m_members.onDigest(sender, digest, now));
    // Request a new version at once; the timer only repeats lost requests.
    requestNewerSettings(now);
}

void InstanceControl::handle(const std::string &sender, const SettingsRequest &request, TimePoint now)
{
    static_cast<void>(now);
    if (m_settings.version() > request.aboveVersion) {
        send(sender, m_settings.reply());
    }
    if (m_list.version > 0 && request.aboveVersion == 0) {
        send(sender, m_list);
    }
}

void InstanceControl::handle(const std::string &sender, const SettingsReply &reply, TimePoint now)
{
    static_cast<void>(sender);
    m_deferredSettings.clear();
    onOfferResult(m_settings.offerFromPeer(reply, now));
}

void InstanceControl::handle(const std::string &sender, const Confirmation &confirmation, TimePoint now)
{
    static_cast<void>(now);
    if (!m_settings.onConfirmation(sender, confirmation)) {
        send(sender, ConfirmationRequest{confirmation.version});
    }
}

void InstanceControl::handle(const std::string &sender, const BindingBatch &batch, TimePoint now)
{
    static_cast<void>(now);
    const InstanceId from = instanceIdOf(sender);
    for (const BindingMessage &binding : batch.bindings) {
        m_bindings.push_back({from, binding});
    }
    if (batch.version > 0) {
        m_settings.onSharedBindings(sender, batch);
    }
}

void InstanceControl::handle(const std::string &sender, const InstanceList &list, TimePoint now)
{
    static_cast<void>(sender);
    if (list.version > m_list.version) {
        m_list = list;
        m_members.adoptList(list, now);
    }
}

void InstanceControl::handle(const std::string &sender, const ConfirmationRequest &request, TimePoint now)
{
    static_cast<void>(now);
    if (m_settings.version() >= request.version) {
        sendConfirmation(sender);
    }
}

void InstanceControl::sendConfirmation(const std::string &to)
{
    for (ControlBody &body : m_settings.confirmation()) {
        send(to, std::move(body));
    }
}

void InstanceControl::onOfferResult(OfferOutcome offer)
{
    const SettingsLedger &ledger = m_settings.ledger();
    switch (offer) {
    case OfferOutcome::Accepted:
        m_members.setSettingsVersion(ledger.version());
        LogEvent(Severity::Info, "settings-accepted").with("version", ledger.version());
        return;
    case OfferOutcome::Conflicting:
        LogEvent(Severity::Error, "settings-conflict")
            .with("version", ledger.version())
            .with("reason", "another content has the version in force");
        return;
    case OfferOutcome::Refused:
        LogEvent(Severity::Error, "settings-refused")
            .with("mistakes", ledger.mistakes().size())
            .with("first", describe(ledger.mistakes().front(), "settings"))
            .with("version-in-force", ledger.version());
        return;
    case OfferOutcome::Stale:
        return;
    }
}

OfferOutcome InstanceControl::onSettings(const std::string &text, TimePoint now)
{
    // Peers know the quarantine of the version, the platform does not. A joining instance therefore gives its
    // peers time to reply first.
    if (m_settings.version() == 0 && now < m_joinDeadline) {
        m_deferredSettings = text;
        return OfferOutcome::Stale;
    }
    const OfferOutcome offer = m_settings.offer(text, now);
    onOfferResult(offer);
    return offer;
}

void InstanceControl::onInstanceList(const InstanceList &list, TimePoint now)
{
    if (list.version <= m_list.version) {
        return;
    }
    InstanceList localList;
    localList.version = list.version;
    std::copy_if(list.instances.begin(), list.instances.end(), std::back_inserter(localList.instances),
        [this](const ListedInstance &listed) { return listed.dataCentre == m_instance.dataCentre; });
    m_list = localList;
    m_members.adoptList(localList, now);
    for (const auto &[name, member] : m_members.members()) {
        send(name, localList);
    }
}

void InstanceControl::setPlatformFailing(bool isFailing)
{
    m_members.setPlatformFailing(isFailing);
}

void InstanceControl::onEngineBindings(const std::vector<OutgoingBinding> &bindings)
{
    std::map<InstanceId, BindingBatch> batches;
    for (const OutgoingBinding &outgoing : bindings) {
        if (outgoing.message.kind == BindingKind::Shared) {
            m_settings.addSharedBinding(outgoing.message);
            continue;
        }
        batches[outgoing.to].bindings.push_back(outgoing.message);
    }
    for (const auto &[name, member] : m_members.members()) {
        if (const auto found = batches.find(member.id); found != batches.end()) {
            send(name, std::move(found->second));
        }
    }
}

void InstanceControl::onSweepCompleted(std::uint64_t version)
{
    const bool wasConfirmed = m_settings.isConfirmedLocally();
    m_settings.onSweepCompleted(version);
    if (wasConfirmed || !m_settings.isConfirmedLocally()) {
        return;
    }
    for (const auto &[name, member] : m_members.members()) {
        sendConfirmation(name);
    }
}

void InstanceControl::beginLeave()
{
    m_members.setPhase(MemberPhase::Leaving);
    // Announce it to all peers now, without waiting for the next heartbeats.
    for (const auto &[name, member] : m_members.members()) {
        sendDigests(m_members.digestFor(name));
    }
}

std::optional<RoutingSnapshot> InstanceControl::takeSnapshot(TimePoint now)
{
    const bool lacksHistory = m_members.mayLackHistory(m_settings.retention(), now);
    const bool isSame = m_publishedCatalogue == m_settings.catalogue()
        && m_publishedViewNumber == m_members.viewNumber() && m_publishedLacksHistory == lacksHistory;
    if (isSame) {
        return std::nullopt;
    }
    m_publishedLacksHistory = lacksHistory;
    // After a pause, changes of the owners may have been missed, so the owners of all services count as
    // changed.
    const bool hasRejoined = m_publishedRejoinedAt != m_members.rejoinedAt();
    const OwnershipView before = hasRejoined ? OwnershipView{} : *m_ownership;
    m_ownership = std::make_shared<const OwnershipView>(*m_settings.catalogue(), m_self,
        MemberSets{
            m_members.eligible(), m_members.reachable(), m_members.lastLossAt(), m_publishedLacksHistory},
        before, now);
    m_publishedCatalogue = m_settings.catalogue();
    m_publishedViewNumber = m_members.viewNumber();
    m_publishedRejoinedAt = m_members.rejoinedAt();
    return RoutingSnapshot{m_publishedCatalogue, m_ownership};
}

bool InstanceControl::shouldWatchPlatform() const
{
    return m_members.platformWatcher() == m_self || m_members.self().isPlatformFailing;
}

TimePoint InstanceControl::leaseUntil() const
{
    return m_members.leaseUntil();
}

bool InstanceControl::isReady() const
{
    return m_settings.version() > 0 && !m_members.isFenced() && m_members.self().phase == MemberPhase::Ready;
}

} // namespace jasminequay
