#include "jasminequay/Node/peerchannel.h"

#include "jasminequay/Peer/fleetcodec.h"
#include "jasminequay/Platform/httpexchange.h"
#include "jasminequay/Support/logevent.h"
#include "jasminequay/Support/units.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace jasminequay
{

namespace asio = boost::asio;

constexpr auto UseAwaitableTuple = asio::as_tuple(asio::use_awaitable);
constexpr Duration FetchTimeout = std::chrono::milliseconds(400);
constexpr std::size_t MaximumFetchBytes = 8 << 20;
constexpr unsigned StatusOk = 200;

/// Ends the path of a fetch if the requester compares digests; instances of older versions do not.
constexpr std::string_view DigestParameter = "&listed=1";

PeerChannel::PeerChannel(asio::io_context &context, PeerHooks hooks)
    : m_context(context)
    , m_socket(context)
    , m_hooks(std::move(hooks))
{
}

Result<void> PeerChannel::open(Endpoint address)
{
    const asio::ip::udp::endpoint local(asio::ip::address_v4(address.address.value), address.port);
    boost::system::error_code error;
    m_socket.open(local.protocol(), error);
    if (!error) {
        m_socket.bind(local, error);
    }
    if (!error) {
        m_socket.non_blocking(true, error);
    }
    if (error) {
        return fail(Step::BindPeer, format(address), error.message());
    }
    m_port = address.port;
    asio::co_spawn(m_context, receive(), asio::detached);
    return {};
}

void PeerChannel::send(const OutgoingFleetMessage &outgoing)
{
    const std::string bytes = encodeNews(outgoing.message);
    for (const Endpoint control : outgoing.to) {
        const asio::ip::udp::endpoint to(asio::ip::address_v4(control.address.value), m_port);
        boost::system::error_code error;
        m_socket.send_to(asio::buffer(bytes), to, 0, error);
        if (error) {
            // Not retried: the next message supersedes this one.
            ++m_counters.unsent;
            continue;
        }
        ++m_counters.sent;
        m_counters.sentBytes += bytes.size();
    }
}

std::string PeerChannel::fetchPath(const FetchRequest &request)
{
    return std::string(DirectoryPath) + "?after=" + std::to_string(request.after)
        + "&routes=" + std::to_string(request.routesVersion) + std::string(DigestParameter);
}

std::optional<FetchRequest> PeerChannel::parseFetchPath(std::string_view path)
{
    if (path == DirectoryPath) {
        return FetchRequest{};
    }
    constexpr std::string_view After = "?after=";
    constexpr std::string_view Routes = "&routes=";
    const bool takesDigest = path.ends_with(DigestParameter);
    path.remove_suffix(takesDigest ? DigestParameter.size() : 0);
    const std::size_t routes = path.find(Routes);
    if (!path.starts_with(std::string(DirectoryPath).append(After)) || routes == std::string_view::npos) {
        return std::nullopt;
    }
    const std::size_t after = DirectoryPath.size() + After.size();
    const std::optional<std::uint64_t> revision = parseNumber(path.substr(after, routes - after));
    const std::optional<std::uint64_t> version = parseNumber(path.substr(routes + Routes.size()));
    if (!revision || !version) {
        return std::nullopt;
    }
    return FetchRequest{{}, *revision, *version, takesDigest};
}

asio::awaitable<void> PeerChannel::receive()
{
    while (m_socket.is_open()) {
        asio::ip::udp::endpoint sender;
        const auto [error, size]
            = co_await m_socket.async_receive_from(asio::buffer(m_buffer), sender, UseAwaitableTuple);
        if (!error) {
            handleDatagram(size, {sender.address().to_v4().to_uint()});
        }
    }
}

std::size_t PeerChannel::discardBacklog()
{
    std::size_t discarded = 0;
    boost::system::error_code error; // set once the non-blocking socket is empty
    while (true) {
        m_socket.receive(asio::buffer(m_buffer), 0, error);
        if (error) {
            return discarded;
        }
        ++discarded;
    }
}

void PeerChannel::handleDatagram(std::size_t size, Ipv4Address sender)
{
    ++m_counters.received;
    const std::string peer = format(sender);
    withFailure(
        [&]() -> Result<void> {
            BOOST_LEAF_AUTO(message, decodeNews({m_buffer.data(), size}, peer));
            const std::optional<Endpoint> claimedSender = parseEndpoint(message.sender);
            if (!claimedSender || claimedSender->address != sender) {
                return fail(
                    Step::DecodePeer, peer, "the sender in the message is not the source of the datagram");
            }
            m_hooks.onMessage(message);
            return {};
        },
        [this](const Failure &failure) {
            ++m_counters.refused;
            LogEvent(Severity::Warning, "peer-message-refused").with("reason", describe(failure));
        });
}

void PeerChannel::fetch(const FetchRequest &request)
{
    asio::co_spawn(m_context, runFetch(request), asio::detached);
}

asio::awaitable<void> PeerChannel::runFetch(FetchRequest request)
{
    ++m_counters.fetches;
    const Endpoint control = request.from;
    const std::string path = fetchPath(request);
    const HttpAnswer answer
        = co_await httpGet(control, path, {FetchTimeout, MaximumFetchBytes}, Step::ConnectPeer);
    const bool isApplied = withFailure(
        [&]() -> Result<bool> {
            if (answer.failure || answer.status != StatusOk) {
                return fail(Step::ConnectPeer, format(control),
                    answer.failure ? answer.failure->message : "status " + std::to_string(answer.status));
            }
            BOOST_LEAF_AUTO(response, decodeImage(answer.body, format(control)));
            m_hooks.onFetchResponse(response);
            return true;
        },
        [](const Failure &failure) {
            LogEvent(Severity::Warning, "fetch-failed").with("reason", describe(failure));
            return false;
        });
    if (!isApplied) {
        ++m_counters.failedFetches;
        m_hooks.onFetchFailed(control);
    }
}

} // namespace jasminequay
