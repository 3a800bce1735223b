#include "peermesh.h"

namespace jasminequay::soak
{

PeerMesh::PeerMesh(boost::asio::io_context &context, std::vector<MeshMember> members, std::uint16_t peerPort,
    std::uint64_t seed)
    : m_members(std::move(members))
    , m_peerPort(peerPort)
{
    for (std::size_t pair = 0; pair < m_members.size() * m_members.size(); ++pair) {
        m_links.emplace_back(context, seed + pair);
    }
    for (std::size_t index = 0; index < m_members.size(); ++index) {
        const MeshMember &member = m_members[index];
        m_sockets.push_back(
            std::make_unique<DatagramSocket>(context, Endpoint{member.known.address, peerPort},
                [this, index](std::string_view bytes, Endpoint from) { pass(bytes, from, index); }));
        m_connections.push_back(std::make_unique<TcpLink>(context, member.known, member.bound));
    }
}

void PeerMesh::pass(std::string_view bytes, Endpoint from, std::size_t to)
{
    for (std::size_t sender = 0; sender < m_members.size(); ++sender) {
        if (m_members[sender].bound.address == from.address) {
            link(sender, to).carry([this, sender, to, copy = std::string(bytes)]() {
                m_sockets[sender]->send(copy, {m_members[to].bound.address, m_peerPort});
            });
        }
    }
}

} // namespace jasminequay::soak
