// Stands between the instances: each is known to its peers by an address of the mesh.
#pragma once

#include "datagramsocket.h"
#include "faultylink.h"
#include "tcplink.h"

#include <memory>
#include <vector>

namespace jasminequay::soak
{

/// Where an instance is known, and where it listens.
struct MeshMember {
    Endpoint known; ///< Its control address among its peers.
    Endpoint bound; ///< The address that it is bound to, with the same port.
};

/// Passes messages and connections between instances on, with a link for each pair and direction.
class PeerMesh
{
public:
    PeerMesh(boost::asio::io_context &context, std::vector<MeshMember> members, std::uint16_t peerPort,
        std::uint64_t seed);

    /// Returns the link from one instance to another.
    FaultyLink &link(std::size_t from, std::size_t to)
    {
        return m_links[from * m_members.size() + to];
    }

    /// Returns the proxy of the connections to an instance.
    TcpLink &connectionsTo(std::size_t instance)
    {
        return *m_connections[instance];
    }

private:
    void pass(std::string_view bytes, Endpoint from, std::size_t to);

    std::vector<MeshMember> m_members;
    std::uint16_t m_peerPort;
    std::vector<FaultyLink> m_links;
    std::vector<std::unique_ptr<DatagramSocket>> m_sockets;
    std::vector<std::unique_ptr<TcpLink>> m_connections;
};

} // namespace jasminequay::soak
