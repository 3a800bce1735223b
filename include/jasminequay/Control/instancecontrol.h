// The control plane of one instance: combines membership, settings and ownership. Uses no clocks, sockets or
// threads.
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

/// A binding received from a peer for the flow engines.
struct IncomingBinding {
    InstanceId from;
    BindingMessage message;
};

/// Handles membership, settings and ownership. Packets are handled by the flow engines.
class InstanceControl
{
public:
    InstanceControl(
        const InstanceSettings &settings, std::uint64_t incarnation, TimePoint now, std::uint64_t seed);

    /// Sends heartbeats, ages members, releases the quarantine of confirmed versions and repeats requests
    /// without an answer. Called at each heartbeat interval.
    void tick(TimePoint now);

    /// Adds a peer from the instance settings, so that the instance can start while the platform is down.
    void addSeed(const std::string &name, Endpoint peerData, Endpoint peerControl, TimePoint now);

    /// Handles a message of a peer.
    void onMessage(const ControlMessage &message, TimePoint now);

    /// Handles a settings text from the platform or a file.
    OfferOutcome onSettings(const std::string &text, TimePoint now);

    /// Handles the list of instances read from the platform, and forwards it to the peers.
    void onInstanceList(const InstanceList &list, TimePoint now);

    /// Sets whether the platform fails to answer this instance.
    void setPlatformFailing(bool isFailing);

    /// Sends the bindings that the engines emit for the control connections. Shared bindings are kept and
    /// sent with the confirmation of the version.
    void onEngineBindings(const std::vector<OutgoingBinding> &bindings);

    /// Handles that every engine has swept its flow table for a version.
    void onSweepCompleted(std::uint64_t version);

    /// Starts a graceful leave: the instance gives up ownership and continues to forward packets.
    void beginLeave();

    /// Returns the messages to send and clears them.
    std::vector<OutgoingControl> takeOutgoing()
    {
        return std::exchange(m_outgoing, {});
    }

    /// Returns the bindings that peers sent for the engines and clears them.
    std::vector<IncomingBinding> takeBindings()
    {
        return std::exchange(m_bindings, {});
    }

    /// Returns the routing snapshot if it has changed since the last call.
    std::optional<RoutingSnapshot> takeSnapshot(TimePoint now);

    /// Returns whether this instance has to read the platform now. An instance that failed to read it retries
    /// with its own backoff.
    [[nodiscard]] bool shouldWatchPlatform() const;

    /// Returns whether this instance owns flows of a service.
    [[nodiscard]] bool owns(ServiceId service) const;

    /// Returns until when the engines may use their snapshot.
    [[nodiscard]] TimePoint leaseUntil() const;

    /// Returns whether the instance serves: it has settings, has finished joining and is not fenced.
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
    [[nodiscard]] bool mayTakeOwnership(TimePoint now) const;
    void onOfferResult(OfferOutcome offer);

    InstanceSettings m_instance;
    InstanceId m_self;
    MemberTable m_members;
    SettingsControl m_settings;
    InstanceList m_list;
    std::vector<OutgoingControl> m_outgoing;
    std::vector<IncomingBinding> m_bindings;
    std::shared_ptr<const OwnershipView> m_ownership = std::make_shared<const OwnershipView>();
    std::shared_ptr<const Catalogue> m_publishedCatalogue;
    std::uint64_t m_publishedViewNumber = 0;
    TimePoint m_publishedRejoinedAt;
    bool m_publishedLacksHistory = false;
    TimePoint m_joinDeadline;
    TimePoint m_settingsRequestedAt;
    TimePoint m_confirmationsRequestedAt;
    std::string m_deferredSettings; ///< From the platform, until a peer replies or the join deadline.
};

} // namespace jasminequay
