// The messages between instances that steer by token: datagrams, and fetches over HTTP.
#pragma once

#include "jasminequay/Fleet/fleetcontrol.h"
#include "jasminequay/Support/failure.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include <array>
#include <functional>

namespace jasminequay
{

/// Counters of a channel.
struct PeerCounters {
    std::uint64_t sent = 0;
    std::uint64_t sentBytes = 0;
    std::uint64_t received = 0;
    std::uint64_t refused = 0; ///< Datagrams that no peer can have sent.
    std::uint64_t unsent = 0;
    std::uint64_t fetches = 0;
    std::uint64_t failedFetches = 0;
};

/// What the owner of a channel provides.
struct PeerHooks {
    std::function<void(const FleetMessage &)> onNews;
    std::function<void(const FetchResponse &)> onImage;
    std::function<void(Endpoint peer)> onFetchFailed;
};

/// Sends and receives messages of peers. A message must come from the address that it names as its sender's.
class PeerChannel
{
public:
    PeerChannel(boost::asio::io_context &context, PeerHooks hooks);

    /// Opens the socket at the address of the instance. All instances use the same port.
    Result<void> open(Endpoint address);

    /// Sends a message to its receivers.
    void send(const OutgoingFleetMessage &outgoing);

    /// Drops the messages that came while the instance slept: what they say of ages is wrong by as long as
    /// they waited. Returns their number.
    std::size_t discardBacklog();

    /// Fetches what a peer knows.
    void fetch(const FetchRequest &request);

    [[nodiscard]] const PeerCounters &counters() const
    {
        return m_counters;
    }

    /// The path at which peers fetch what an instance knows; a query tells what they have.
    static constexpr std::string_view ImagePath = "/directory";

    /// Returns the path of a fetch.
    static std::string fetchPath(const FetchRequest &request);

    /// Reads the path of a fetch; nothing for another path.
    static std::optional<FetchRequest> parseFetchPath(std::string_view path);

private:
    boost::asio::awaitable<void> receive();
    boost::asio::awaitable<void> runFetch(FetchRequest request);
    void take(std::size_t size, Ipv4Address sender);

    boost::asio::io_context &m_context;
    boost::asio::ip::udp::socket m_socket;
    PeerHooks m_hooks;
    std::array<char, 9000> m_buffer{}; ///< Larger than the largest message, so that longer ones are seen.
    std::uint16_t m_port = 0;
    PeerCounters m_counters;
};

} // namespace jasminequay
