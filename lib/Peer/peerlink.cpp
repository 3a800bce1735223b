#include "jasminequay/Peer/peerlink.h"

#include "jasminequay/Support/logevent.h"
#include "zapauthenticator.h"

#include <zmq.hpp>
#include <zmq_addon.hpp>

#include <map>

namespace jasminequay
{

// A settings text of a megabyte, deflated, with room to spare.
constexpr std::int64_t MaximumMessageSize = 4 << 20;
constexpr int SendQueueLength = 4096;
constexpr int ReconnectInterval = 100; // milliseconds
constexpr int ReconnectIntervalCap = 2000; // milliseconds
constexpr int SilenceBeforeReconnect = 5000; // milliseconds

struct PeerLink::State {
    explicit State(const InstanceSettings &instanceSettings)
        : settings(instanceSettings)
        , authenticator(context, instanceSettings.peers)
        , server(context, zmq::socket_type::router)
    {
    }

    /// A connection to a peer at one address.
    struct Connection {
        Endpoint address;
        zmq::socket_t socket;
    };

    InstanceSettings settings;
    zmq::context_t context{1};
    ZapAuthenticator authenticator;
    zmq::socket_t server;
    std::map<std::string, Connection> connections;
    mutable PeerLinkCounters counters;
};

PeerLink::PeerLink(const InstanceSettings &settings)
    : m_state(std::make_unique<State>(settings))
{
}

PeerLink::~PeerLink() = default;

static std::string zeroMqAddress(Endpoint endpoint)
{
    return "tcp://" + format(endpoint);
}

Result<void> PeerLink::open()
{
    const InstanceSettings &settings = m_state->settings;
    try {
        zmq::socket_t &server = m_state->server;
        server.set(zmq::sockopt::linger, 0);
        server.set(zmq::sockopt::maxmsgsize, MaximumMessageSize);
        server.set(zmq::sockopt::curve_server, 1);
        server.set(zmq::sockopt::curve_secretkey, settings.secretKey);
        server.set(zmq::sockopt::zap_domain, "jasminequay");
        server.bind(zeroMqAddress(settings.peerControl));
    } catch (const zmq::error_t &error) {
        return fail(Step::BindPeer, format(settings.peerControl), error.what());
    }
    return {};
}

static std::string keyOf(const InstanceSettings &settings, const std::string &peer)
{
    // The last key listed for an instance is the newest; older ones stay valid for connections from it.
    std::string key;
    for (const PeerKey &known : settings.peers) {
        if (known.instance == peer) {
            key = known.publicKey;
        }
    }
    return key;
}

static zmq::socket_t connectTo(
    zmq::context_t &context, const InstanceSettings &settings, const std::string &peerKey, Endpoint address)
{
    zmq::socket_t socket(context, zmq::socket_type::dealer);
    socket.set(zmq::sockopt::linger, 200);
    socket.set(zmq::sockopt::sndhwm, SendQueueLength);
    socket.set(zmq::sockopt::reconnect_ivl, ReconnectInterval);
    socket.set(zmq::sockopt::reconnect_ivl_max, ReconnectIntervalCap);
    socket.set(zmq::sockopt::heartbeat_ivl, SilenceBeforeReconnect);
    socket.set(zmq::sockopt::curve_serverkey, peerKey);
    socket.set(zmq::sockopt::curve_publickey, settings.publicKey);
    socket.set(zmq::sockopt::curve_secretkey, settings.secretKey);
    socket.connect(zeroMqAddress(address));
    return socket;
}

Result<void> PeerLink::send(const std::string &peer, Endpoint address, const ControlBody &body)
{
    State &state = *m_state;
    const std::string bytes = encodeControl({state.settings.instance, body});
    try {
        auto found = state.connections.find(peer);
        if (found != state.connections.end() && found->second.address != address) {
            state.connections.erase(found);
            found = state.connections.end();
        }
        if (found == state.connections.end()) {
            const std::string key = keyOf(state.settings, peer);
            if (key.empty()) {
                return fail(Step::ConnectPeer, peer, "the settings hold no public key of this peer");
            }
            State::Connection connection{address, connectTo(state.context, state.settings, key, address)};
            found = state.connections.emplace(peer, std::move(connection)).first;
        }
        if (!found->second.socket.send(zmq::buffer(bytes), zmq::send_flags::dontwait)) {
            ++state.counters.unsent;
            return fail(Step::ConnectPeer, peer, "the send queue is full");
        }
    } catch (const zmq::error_t &error) {
        return fail(Step::ConnectPeer, peer + " " + format(address), error.what());
    }
    ++state.counters.sentMessages;
    state.counters.sentBytes += bytes.size();
    return {};
}

/// Returns the name of the peer that the key of the connection belongs to.
static std::string authenticatedName(zmq::message_t &message)
{
    const char *const name = message.gets("User-Id");
    return name == nullptr ? std::string() : std::string(name);
}

void PeerLink::receive(const Handler &handler)
{
    State &state = *m_state;
    state.authenticator.answer();
    std::vector<zmq::message_t> parts;
    while (zmq::recv_multipart(state.server, std::back_inserter(parts), zmq::recv_flags::dontwait)) {
        zmq::message_t &payload = parts.back();
        ++state.counters.receivedMessages;
        state.counters.receivedBytes += payload.size();
        const std::string peer = authenticatedName(payload);
        withFailure(
            [&]() -> Result<void> {
                BOOST_LEAF_AUTO(message, decodeControl(payload.to_string_view(), peer));
                if (message.sender != peer) {
                    return fail(Step::DecodePeer, peer, "the message claims to come from " + message.sender);
                }
                handler(std::move(message));
                return {};
            },
            [&](const Failure &failure) {
                ++state.counters.malformed;
                LogEvent(Severity::Warning, "peer-message-refused").with("reason", describe(failure));
            });
        parts.clear();
    }
    state.authenticator.answer();
}

std::vector<int> PeerLink::descriptors() const
{
    return {m_state->server.get(zmq::sockopt::fd), m_state->authenticator.socket().get(zmq::sockopt::fd)};
}

const PeerLinkCounters &PeerLink::counters() const
{
    m_state->counters.refusedPeers = m_state->authenticator.refused();
    return m_state->counters;
}

} // namespace jasminequay
