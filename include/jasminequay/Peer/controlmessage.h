// The control messages between instances, as values; their wire form stays inside the Peer library.
#pragma once

#include "jasminequay/Flow/peermessage.h"
#include "jasminequay/Membership/confirmations.h"
#include "jasminequay/Membership/digest.h"
#include "jasminequay/Membership/instancelist.h"
#include "jasminequay/Placement/heldback.h"
#include "jasminequay/Support/failure.h"

#include <string>
#include <variant>
#include <vector>

namespace jasminequay
{

/// Asks a peer for settings above a version.
struct SettingsRequest {
    std::uint64_t aboveVersion = 0;
};

/// A settings text with its version.
struct SettingsReply {
    std::uint64_t version = 0;
    std::string text;
    Quarantine held; ///< What the sender holds back of this version.
};

/// Bindings for a backup, a new owner or, with the version they are shared for, for everyone.
struct BindingBatch {
    std::uint64_t version = 0;
    std::vector<BindingMessage> bindings;
};

/// Asks a peer to share its bindings and confirm a version again.
struct ConfirmationRequest {
    std::uint64_t version = 0;
};

/// One control message.
using ControlBody = std::variant<Digest, SettingsRequest, SettingsReply, Confirmation, BindingBatch,
    InstanceList, ConfirmationRequest>;

/// A control message with its sender.
struct ControlMessage {
    std::string sender;
    ControlBody body;
};

/// Encodes a control message.
std::string encodeControl(const ControlMessage &message);

/// Decodes a control message; fails with the peer named for anything that is not one.
Result<ControlMessage> decodeControl(std::string_view bytes, const std::string &peer);

} // namespace jasminequay
