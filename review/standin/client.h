// A stand-in of clients: flows that stay open for many requests, and single probes.
#pragma once

#include "packet.h"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <utility>

namespace review
{

enum class FlowStage : std::uint8_t { Opening, Open, Ended };

/// One flow as its client sees it.
struct ClientFlow {
    Address self;
    Address route;
    bool mayRepeat = true; ///< Whether its requests may run twice.
    int direct = -1; ///< The machine that gets all its packets; -1 if the routers choose.
    FlowStage stage = FlowStage::Opening;
    std::uint32_t echo = 0;
    std::uint32_t seq = 0;
    std::uint32_t received = 0;
    double openedAt = 0; ///< When its first SYN was sent.
    double establishedAt = 0;
    unsigned copies = 0;
    std::string request; ///< The request that waits for its answer.
    double askedAt = 0;
    double repeatAt = 0;
    double interval = 0;
    double nextAskAt = 0;
    double lastPacketAt = 0;
    unsigned requestsLeft = 0;
};

struct ClientHooks {
    /// Sends a datagram through the routers, or to one machine. The hash is that of the flow's four addresses
    /// and ports.
    std::function<void(int socket, const std::string &bytes, std::uint64_t hash, int direct)> route;
    /// The client got a reset that ends its flow.
    std::function<void(const ClientFlow &flow, const Packet &packet, Address from)> onReset;
    std::function<void(const std::string &line)> log;
};

struct ClientCounts {
    unsigned asked = 0;
    unsigned answered = 0;
    unsigned reset = 0;
    unsigned timedOut = 0;
    unsigned notOpened = 0;
};

class Clients
{
public:
    Clients(std::vector<Address> addresses, ClientHooks hooks);

    [[nodiscard]] bool open();
    [[nodiscard]] const std::vector<int> &descriptors() const
    {
        return m_sockets;
    }

    /// Opens a flow that makes some requests with pauses between them.
    ClientFlow &start(Address route, bool mayRepeat, unsigned requests, int direct = -1);

    void receive(int socket);
    void tick();

    [[nodiscard]] const ClientCounts &counts() const
    {
        return m_counts;
    }
    [[nodiscard]] std::size_t openFlows() const;

private:
    using Key = std::pair<Address, Address>;

    void take(const Packet &packet, Address from);
    void takeReset(ClientFlow &flow, const Packet &packet, Address from);
    void ask(ClientFlow &flow);
    void send(
        ClientFlow &flow, std::uint8_t flags, std::uint32_t seq, std::uint32_t ack, const std::string &data);
    void end(ClientFlow &flow);

    std::vector<Address> m_addresses;
    ClientHooks m_hooks;
    std::vector<int> m_sockets;
    std::map<Key, ClientFlow> m_flows;
    std::uint16_t m_nextPort = 20000;
    unsigned m_requests = 0;
    ClientCounts m_counts;
    std::mt19937 m_random{7};
};

} // namespace review
