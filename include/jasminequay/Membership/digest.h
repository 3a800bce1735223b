// The heartbeat message: what the sender knows of the members of its data centre.
#pragma once

#include "jasminequay/Membership/memberstate.h"
#include "jasminequay/Packet/endpoint.h"

#include <cstdint>
#include <string>
#include <vector>

namespace jasminequay
{

/// What is known of one member. Incarnation and heartbeat order what is older and newer.
struct DigestEntry {
    std::string instance;
    std::uint64_t incarnation = 0; ///< Grows with each start of the instance.
    std::uint64_t heartbeat = 0; ///< Grows while the instance runs.
    MemberPhase phase = MemberPhase::Joining;
    std::uint64_t settingsVersion = 0; ///< In force at the member.
    bool isPlatformFailing = false; ///< Whether the member cannot reach the platform.
    /// Where the member is reached; port zero where the platform's list tells it.
    Endpoint control = {};
    std::string dataCentre = {}; ///< Empty where all members are of one data centre.
};

/// A heartbeat. The sender's own entry comes first.
struct Digest {
    std::vector<DigestEntry> entries;
    Endpoint peerData; ///< The sender's addresses, for receivers that the platform has not told yet.
    Endpoint peerControl;
    bool wantsReply = false;
};

} // namespace jasminequay
