// The control connections of an instance to its peers: ZeroMQ with CURVE, on the control thread.
#pragma once

#include "jasminequay/Peer/controlmessage.h"
#include "jasminequay/Settings/instancesettings.h"
#include "jasminequay/Support/timepoint.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace jasminequay
{

/// Counters of the control connections.
struct PeerLinkCounters {
    std::uint64_t sentMessages = 0;
    std::uint64_t sentBytes = 0;
    std::uint64_t receivedMessages = 0;
    std::uint64_t receivedBytes = 0;
    std::uint64_t refusedPeers = 0; ///< Handshakes with an unknown key.
    std::uint64_t malformed = 0;
    std::uint64_t unsent = 0;
};

/// Sends and receives control messages. Only peers whose public key stands in the settings may connect, and a
/// message must name the peer that the key belongs to.
class PeerLink
{
public:
    using Handler = std::function<void(ControlMessage)>;

    explicit PeerLink(const InstanceSettings &settings);
    ~PeerLink();
    PeerLink(const PeerLink &) = delete;
    PeerLink &operator=(const PeerLink &) = delete;

    /// Binds the control address.
    Result<void> open();

    /// Sends to a peer at an address; connects first where necessary. A full or broken connection drops the
    /// message.
    Result<void> send(const std::string &peer, Endpoint address, const ControlBody &body);

    /// Calls the handler for each message that has arrived.
    void receive(const Handler &handler);

    /// Returns the file descriptors that become readable when there may be something to receive.
    [[nodiscard]] std::vector<int> descriptors() const;

    [[nodiscard]] const PeerLinkCounters &counters() const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace jasminequay
