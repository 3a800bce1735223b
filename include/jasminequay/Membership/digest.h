// The heartbeat message: the sender's information on the members of its data centre.
#pragma once

#include "jasminequay/Membership/memberstate.h"
#include "jasminequay/Packet/endpoint.h"

#include <cstdint>
#include <string>
#include <vector>

namespace jasminequay
{

/// The state of one member. Entries are ordered in time by incarnation, then heartbeat.
struct DigestEntry {
    std::string instance;
    std::uint64_t incarnation = 0; ///< Increases with each start of the instance.
    std::uint64_t heartbeat = 0; ///< Increases while the instance runs.
    MemberPhase phase = MemberPhase::Joining;
    std::uint64_t settingsVersion = 0; ///< The version in force at the member.
    bool isPlatformFailing = false; ///< Whether the member cannot reach the platform.
    /// The member's control address; port zero if the platform's list provides it.
    Endpoint control = {};
    std::string dataCentre = {}; ///< Empty if all members are of one data centre.
};

/// A heartbeat. The sender's own entry comes first.
struct Digest {
    std::vector<DigestEntry> entries;
    Endpoint peerData; ///< The sender's addresses, for receivers whose list lacks it.
    Endpoint peerControl;
    bool wantsReply = false;
};

} // namespace jasminequay
