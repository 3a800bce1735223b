// A stand-in of an endpoint: flows over UDP, the health check over TCP.
#pragma once

#include "packet.h"

#include <functional>
#include <map>
#include <random>
#include <utility>

namespace review
{

/// What an endpoint tells the run.
struct EndpointHooks {
    std::function<void(const Packet &syn, Address from)> onSyn; ///< It has taken a SYN.
    std::function<void(const Packet &packet)> onRun; ///< It has begun to work on a request.
    std::function<void(const Packet &packet, Address from)> onUnheld; ///< A packet of no flow that it holds.
    /// Carries a datagram to a client.
    std::function<void(int socket, const std::string &bytes, Address to)> send;
};

class Endpoint
{
public:
    Endpoint(
        Address address, std::string id, std::string service, std::uint16_t clientPort, EndpointHooks hooks);

    [[nodiscard]] bool open();
    [[nodiscard]] int descriptor() const
    {
        return m_socket;
    }
    [[nodiscard]] Address address() const
    {
        return m_address;
    }
    [[nodiscard]] const std::string &id() const
    {
        return m_id;
    }
    [[nodiscard]] const std::string &service() const
    {
        return m_service;
    }

    /// Reads all datagrams that have arrived.
    void receive();

    /// Answers requests whose work is done, and repeats what was not acknowledged.
    void tick();

    /// Returns whether a flow is open here.
    [[nodiscard]] bool holds(Address client, Address route) const;

private:
    struct Flow {
        std::uint32_t firstSeq = 0;
        std::uint32_t received = 0; ///< The next number that is expected from the client.
        std::uint32_t acknowledged = 0; ///< The number up to which the client has acknowledged.
        std::uint32_t echo = 0;
        bool isOpen = false;
        std::string unanswered; ///< The request at work.
        double answerAt = 0;
        std::string unsent; ///< What the client has not acknowledged.
        double repeatAt = 0;
        double interval = 0;
        unsigned repeats = 0;
    };
    using Key = std::pair<Address, Address>;

    void take(const std::string &datagram, Address from);
    void takeSyn(const Packet &packet, Address from);
    void takeOther(const Packet &packet, Address from);
    void send(
        const Key &key, const Flow &flow, std::uint8_t flags, std::uint32_t seq, const std::string &data);
    void sendPacket(const Packet &packet);
    void arm(Flow &flow);

    Address m_address;
    std::string m_id;
    std::string m_service;
    std::uint16_t m_clientPort;
    EndpointHooks m_hooks;
    std::uint64_t m_number;
    int m_socket = -1;
    std::map<Key, Flow> m_flows;
    std::mt19937 m_random;
};

} // namespace review
