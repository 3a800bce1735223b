// Communication between instances that steer by token: datagrams, and fetches over HTTP.
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
    std::uint64_t refused = 0; ///< Datagrams that cannot be decoded or name a wrong sender address.
    std::uint64_t unsent = 0; ///< Messages that the kernel did not accept.
    std::uint64_t fetches = 0;
    std::uint64_t failedFetches = 0;
};

/// Callbacks that the owner of a channel provides.
struct PeerHooks {
    std::function<void(const FleetMessage &)> onMessage;
    std::function<void(const FetchResponse &)> onFetchResponse;
    std::function<void(Endpoint peer)> onFetchFailed;
};

/// Sends messages to peers and receives theirs. A message is accepted only if its source address is that of
/// the sender it names.
class PeerChannel
{
public:
    PeerChannel(boost::asio::io_context &context, PeerHooks hooks);

    /// Binds the socket to the address of the instance. All instances use the same port.
    Result<void> open(Endpoint address);

    /// Sends a message to each of its receivers.
    void send(const OutgoingFleetMessage &outgoing);

    /// Discards the messages that were queued while the process was paused, and returns their number. The
    /// ages in a message count up to its sending, so they would be too small by the time it was queued.
    std::size_t discardBacklog();

    /// Fetches the routes and targets that a peer knows.
    void fetch(const FetchRequest &request);

    [[nodiscard]] const PeerCounters &counters() const
    {
        return m_counters;
    }

    /// The path under which peers fetch the directory of an instance; the query states what they already
    /// have.
    static constexpr std::string_view DirectoryPath = "/directory";

    /// Returns the request path of a fetch.
    static std::string fetchPath(const FetchRequest &request);

    /// Parses the request path of a fetch; returns nothing for any other path.
    static std::optional<FetchRequest> parseFetchPath(std::string_view path);

private:
    boost::asio::awaitable<void> receive();
    boost::asio::awaitable<void> runFetch(FetchRequest request);
    void handleDatagram(std::size_t size, Ipv4Address sender);

    boost::asio::io_context &m_context;
    boost::asio::ip::udp::socket m_socket;
    PeerHooks m_hooks;
    /// Larger than the largest message, so that a longer datagram is not truncated to a valid size.
    std::array<char, 9000> m_buffer{};
    std::uint16_t m_port = 0;
    PeerCounters m_counters;
};

} // namespace jasminequay
