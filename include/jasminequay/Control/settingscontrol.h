// How a settings version takes force: accepted, shared with peers, confirmed by all, settled.
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

/// The settings in force at one instance and the bindings that its peers must know before they place by a new
/// version.
class SettingsControl
{
public:
    SettingsControl(std::string dataCentre, std::uint64_t incarnation);

    /// Takes a text from the platform or a file.
    Offer offer(const std::string &text, TimePoint now);

    /// Takes a text from a peer. A joining instance holds back what the peer holds back.
    Offer offerFromPeer(const SettingsReply &reply, TimePoint now);

    /// Returns the text in force, for a peer that asks.
    [[nodiscard]] SettingsReply reply() const;

    /// Keeps a binding to share with every peer for the version in force.
    void share(const BindingMessage &binding);

    /// Notes that every flow engine has gone through its table for a version.
    void noteSwept(std::uint64_t version);

    /// Returns what a peer must get to hold this instance's word on the version in force, in this order;
    /// empty before the engines have gone through their tables.
    [[nodiscard]] std::vector<ControlBody> confirmation() const;

    /// Takes the shared bindings of a peer.
    void noteShared(const std::string &peer, const BindingBatch &batch);

    /// Takes the confirmation of a peer; returns false if shared bindings are missing.
    bool onConfirmation(const std::string &peer, const Confirmation &confirmation);

    /// Releases what the version holds back if every member has confirmed it. Returns whether the catalogue
    /// changed.
    bool releaseQuarantineIfConfirmed(const MemberTable &members, Duration lease, TimePoint now);

    /// Tells whether something is held back.
    [[nodiscard]] bool hasQuarantine() const
    {
        return m_builder.holdsBack();
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
    [[nodiscard]] bool isConfirmedHere() const
    {
        return m_sweptVersion >= version() && version() > 0;
    }

    /// Returns how long a flow that may not run twice can live unseen by all but one instance.
    [[nodiscard]] Duration retention() const;

private:
    std::uint64_t m_incarnation;
    SettingsLedger m_ledger;
    CatalogueBuilder m_builder;
    Confirmations m_confirmations;
    std::uint64_t m_sweptVersion = 0;
    std::map<std::uint64_t, BindingMessage> m_shared; ///< By the hash of the flow: each counts once.
    /// The flows that each peer shared for a version, by hash.
    std::map<std::string, std::pair<std::uint64_t, std::set<std::uint64_t>>> m_received;
};

} // namespace jasminequay
