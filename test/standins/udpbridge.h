// Lets ordinary UDP programs on loopback use a service: wraps their datagrams into packets and unwraps the
// answers.
#pragma once

#include "fabricloop.h"

#include <map>
#include <memory>

namespace jasminequay::standin
{

/// One service as an ordinary UDP client sees it, and its targets as ordinary UDP servers.
class UdpBridge
{
public:
    /// `entry` is where the client sends to; `caller` is the address that it gets inside.
    UdpBridge(boost::asio::io_context &context, FabricLoop &fabric, Endpoint entry, Endpoint caller,
        Endpoint service);

    /// Adds a target: packets to `target` go as datagrams to `server`, from a socket at `local`.
    void addTarget(Endpoint target, Endpoint server, Endpoint local);

    /// Takes a packet for the caller.
    void toCaller(const PacketView &packet);

    /// Takes a packet for a target.
    void toTarget(const PacketView &packet);

private:
    /// A target with the caller that it was last asked by.
    struct Target {
        Endpoint server;
        Endpoint caller;
        std::unique_ptr<Listener> listener;
    };

    boost::asio::io_context &m_context;
    FabricLoop &m_fabric;
    Endpoint m_caller;
    Endpoint m_service;
    std::map<Endpoint, Target> m_targets;
    Listener m_entry;
};

} // namespace jasminequay::standin
