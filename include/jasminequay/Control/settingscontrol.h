// How a settings version takes effect: it is accepted, shared with peers and confirmed by all instances; then
// its quarantine is released.
#pragma once

#include "jasminequay/Membership/confirmations.h"
#include "jasminequay/Membership/settingsledger.h"
#include "jasminequay/Peer/controlmessage.h"
#include "jasminequay/Placement/cataloguebuilder.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace jasminequay
{

/// The settings in force at one instance, and the bindings that its peers must know before they place flows
/// by a new version.
class SettingsControl
{
public:
    SettingsControl(std::string dataCentre, std::uint64_t incarnation);

    /// Handles a settings text from the platform or a file.
    OfferOutcome offer(const std::string &text, TimePoint now);

    /// Handles a settings text from a peer. A joining instance adopts the peer's quarantine.
    OfferOutcome offerFromPeer(const SettingsReply &reply, TimePoint now);

    /// Returns the settings text in force and its quarantine, as the reply to a peer.
    [[nodiscard]] SettingsReply reply() const;

    /// Adds a binding to share with every peer for the version in force.
    void addSharedBinding(const BindingMessage &binding);

    /// Handles that every flow engine has swept its table for a version.
    void onSweepCompleted(std::uint64_t version);

    /// Returns the messages that confirm the version in force to a peer, in sending order: the shared
    /// bindings, then the confirmation. Empty until the engines have swept their tables.
    [[nodiscard]] std::vector<ControlBody> confirmation() const;

    /// Records the shared bindings of a peer.
    void onSharedBindings(const std::string &peer, const BindingBatch &batch);

    /// Handles the confirmation of a peer. Returns false if shared bindings are missing.
    bool onConfirmation(const std::string &peer, const Confirmation &confirmation);

    /// Releases the quarantine of the version in force if every member has confirmed it. Returns whether the
    /// catalogue changed.
    bool releaseQuarantineIfConfirmed(const MemberTable &members, Duration lease, TimePoint now);

    /// Returns whether addresses or services are in quarantine.
    [[nodiscard]] bool hasQuarantine() const
    {
        return m_builder.hasQuarantine();
    }

    [[nodiscard]] std::uint64_t version() const
    {
        return m_ledger.version();
    }

    [[nodiscard]] const SettingsLedger &ledger() const
    {
        return m_ledger;
    }

    [[nodiscard]] const std::shared_ptr<const Catalogue> &catalogue() const
    {
        return m_builder.current();
    }

    [[nodiscard]] const Confirmations &confirmations() const
    {
        return m_confirmations;
    }

    /// Returns whether this instance itself has confirmed the version in force.
    [[nodiscard]] bool isConfirmedLocally() const
    {
        return m_sweptVersion >= version() && version() > 0;
    }

    /// Returns how long a flow whose requests may not run twice can stay known to a single instance only: the
    /// longest idle timeout of services that are not repeatable.
    [[nodiscard]] Duration retention() const;

private:
    std::uint64_t m_incarnation;
    SettingsLedger m_ledger;
    CatalogueBuilder m_builder;
    Confirmations m_confirmations;
    std::uint64_t m_sweptVersion = 0;
    std::map<std::uint64_t, BindingMessage> m_sharedBindings; ///< By flow hash: each flow counts once.
    /// By peer: a version, and the hashes of the flows that the peer shared for it.
    std::map<std::string, std::pair<std::uint64_t, std::set<std::uint64_t>>> m_receivedFlows;
};

} // namespace jasminequay
