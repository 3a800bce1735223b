// The control decisions of one instance: membership, settings and ownership together. No clock, socket or
// thread inside.
#pragma once

#include "jasminequay/Control/settingscontrol.h"
#include "jasminequay/Flow/ownershipview.h"
#include "jasminequay/Settings/instancesettings.h"

#include <optional>
#include <string>
#include <vector>

namespace jasminequay
{

/// A control message to send.
struct OutgoingControl {
    std::string to;
    Endpoint address;
    ControlBody body;
};

/// A binding for the flow engines, with the peer that sent it.
struct IncomingBinding {
    InstanceId from;
    BindingMessage message;
};

/// Decides about everything that is not a packet.
class InstanceControl
{
public:
    InstanceControl(
        const InstanceSettings &settings, std::uint64_t incarnation, TimePoint now, std::uint64_t seed);

    /// Beats, ages members, settles versions and repeats what was lost. Called at each heartbeat interval.
    void tick(TimePoint now);

    /// Adds a peer known from the instance settings, for a start while the platform is down.
    void addSeed(const std::string &name, Endpoint peerData, Endpoint peerControl, TimePoint now);

    /// Takes a message of a peer.
    void onMessage(const ControlMessage &message, TimePoint now);

    /// Takes a settings text from the platform or a file.
    Offer onSettings(const std::string &text, TimePoint now);

    /// Takes the platform's list of instances, first hand.
    void onInstanceList(const InstanceList &list, TimePoint now);

    /// Notes whether the platform answers.
    void setPlatformFailing(bool isFailing);

    /// Takes the bindings that the engines want to send over the control connection.
    void onEngineBindings(const std::vector<OutgoingBinding> &bindings);

    /// Notes that every engine has gone through its table for a version.
    void onSweepCompleted(std::uint64_t version);

    /// Starts a graceful leave: the instance owns nothing from now on and goes on forwarding.
    void beginLeave();

    /// Takes the messages to send.
    std::vector<OutgoingControl> takeOutgoing()
    {
        return std::exchange(m_outgoing, {});
    }

    /// Takes the bindings that peers sent for the engines.
    std::vector<IncomingBinding> takeBindings()
    {
        return std::exchange(m_bindings, {});
    }

    /// Returns the routing snapshot if it has changed since the last call.
    std::optional<RoutingSnapshot> takeSnapshot(TimePoint now);

    /// Tells whether this instance is to read the platform now. One that failed keeps trying at its own
    /// backoff.
    [[nodiscard]] bool shouldWatchPlatform() const;

    /// Tells whether this instance owns flows of a service.
    [[nodiscard]] bool owns(ServiceId service) const;

    /// Returns until when the engines may trust their snapshot.
    [[nodiscard]] TimePoint leaseUntil() const;

    /// Tells whether the instance serves: it has settings and is not fenced.
    [[nodiscard]] bool isReady() const;

    [[nodiscard]] const MemberTable &members() const
    {
        return m_members;
    }

    [[nodiscard]] const SettingsControl &settings() const
    {
        return m_settings;
    }

    [[nodiscard]] InstanceId self() const
    {
        return m_self;
    }

private:
    void handle(const std::string &sender, const Digest &digest, TimePoint now);
    void handle(const std::string &sender, const SettingsRequest &request, TimePoint now);
    void handle(const std::string &sender, const SettingsReply &reply, TimePoint now);
    void handle(const std::string &sender, const Confirmation &confirmation, TimePoint now);
    void handle(const std::string &sender, const BindingBatch &batch, TimePoint now);
    void handle(const std::string &sender, const InstanceList &list, TimePoint now);
    void handle(const std::string &sender, const ConfirmationRequest &request, TimePoint now);

    void send(const std::string &to, ControlBody body);
    void sendDigests(std::vector<OutgoingDigest> digests);
    void sendConfirmation(const std::string &to);
    void requestNewerSettings(TimePoint now);
    void requestConfirmations(TimePoint now);
    void finishJoin(TimePoint now);
    [[nodiscard]] bool mayKnowPeers(TimePoint now) const;
    void noteOffer(Offer offer);

    InstanceSettings m_instance;
    InstanceId m_self;
    MemberTable m_members;
    SettingsControl m_settings;
    InstanceList m_list;
    std::vector<OutgoingControl> m_outgoing;
    std::vector<IncomingBinding> m_bindings;
    std::shared_ptr<const OwnershipView> m_ownership = std::make_shared<const OwnershipView>();
    std::shared_ptr<const Catalogue> m_publishedCatalogue;
    std::uint64_t m_publishedView = 0;
    TimePoint m_publishedRejoin;
    bool m_publishedLacksHistory = false;
    TimePoint m_joinDeadline;
    TimePoint m_settingsRequestedAt;
    TimePoint m_confirmationsRequestedAt;
    std::string m_stashedText; ///< What the platform told before a peer could answer the joining instance.
};

} // namespace jasminequay
