// A stand-in of the fabric before the instances: it asks who is ready and spreads packets over them.
#pragma once

#include "datagramsocket.h"
#include "faultylink.h"
#include "promises.h"
#include "soakinstance.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <map>
#include <memory>
#include <vector>

namespace jasminequay::soak
{

/// Sends each packet to one of the instances in rotation, by a hash of its flow.
class SoakFabric
{
public:
    SoakFabric(boost::asio::io_context &context, const std::vector<std::unique_ptr<SoakInstance>> &instances,
        Promises &promises, std::uint64_t seed);

    /// Sends a packet; returns the instance that it went to.
    std::size_t send(DatagramSocket &socket, const std::string &bytes, std::uint64_t flowHash);

    /// Sends a packet to one instance.
    void sendTo(DatagramSocket &socket, const std::string &bytes, std::size_t instance);

    /// Returns the number of the instance with an address; the number of instances for a stranger.
    [[nodiscard]] std::size_t instanceAt(Endpoint packets) const;

    /// Returns the link to an instance.
    FaultyLink &link(std::size_t instance)
    {
        return m_links[instance];
    }

    /// Tells whether every instance is in rotation.
    [[nodiscard]] bool isWhole() const;

    [[nodiscard]] bool isReady(std::size_t instance) const
    {
        return m_misses[instance] < MissesAllowed;
    }

private:
    static constexpr unsigned MissesAllowed = 2;

    boost::asio::awaitable<void> watch(std::size_t instance);

    boost::asio::io_context &m_context;
    const std::vector<std::unique_ptr<SoakInstance>> &m_instances;
    Promises &m_promises;
    std::vector<FaultyLink> m_links;
    std::vector<unsigned> m_misses;
    std::map<Endpoint, std::size_t> m_byAddress;
};

} // namespace jasminequay::soak
