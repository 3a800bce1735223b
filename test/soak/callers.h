// Stand-ins of callers: they open flows, send requests, repeat what is lost, and check each answer.
#pragma once

#include "datagramsocket.h"
#include "promises.h"
#include "soakpacket.h"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace jasminequay::soak
{

/// What callers ask of the soak.
struct CallerHooks {
    /// Sends a packet through the fabric from a caller's socket; returns the instance that it went to.
    std::function<std::size_t(DatagramSocket &, std::string bytes, std::uint64_t flowHash)> send;
    /// Sends a packet to one instance.
    std::function<void(DatagramSocket &, std::string bytes, std::size_t instance)> sendTo;
    std::function<std::size_t(Endpoint from)> instanceAt; ///< The number of the instance at an address.
    std::function<void(const Opening &)> onRefused;
    std::function<void(const Opening &)> onUnhandled;
    std::function<void(Endpoint caller, Endpoint route, std::size_t instance)> onReset; ///< Of an open flow.
    std::function<void(const std::string &rule, const std::string &what)> onBreach;
};

/// What became of requests.
struct RequestCounts {
    std::uint64_t asked = 0;
    std::uint64_t served = 0;
    std::uint64_t failed = 0;
    std::uint64_t failedCalm = 0; ///< Failed although they were sent when all was calm again.
};

/// All callers.
class Callers
{
public:
    Callers(boost::asio::io_context &context, std::vector<Endpoint> addresses, CallerHooks hooks,
        std::uint64_t seed);

    /// Opens a flow for some requests.
    void start(Endpoint route, bool mayRepeat, TimePoint now);

    /// Opens a flow through one instance; it earns nothing and ends with the first answer.
    void probe(Endpoint route, std::size_t instance, TimePoint now);

    /// Sends what is due and gives up what is late.
    void tick(TimePoint now);

    /// A target took an opening packet.
    void noteTaken(const SoakPacket &packet);

    /// Tells whether a caller holds a flow open.
    [[nodiscard]] bool isOpen(Endpoint caller, Endpoint route) const;

    /// Returns how a caller's latest opening packet was sent; null for an unknown flow.
    [[nodiscard]] const Opening *openingOf(const SoakPacket &packet) const;

    /// The flows of a dropped route are not owed anything.
    void forgetRoute(Endpoint route);

    /// From now on every request must be served.
    void beginCalm(TimePoint now)
    {
        m_calmSince = now;
    }

    [[nodiscard]] const RequestCounts &counts() const
    {
        return m_counts;
    }

private:
    enum class Stage : std::uint8_t { Opening, Open, Ended };

    struct Copy {
        Opening opening;
        bool isHandled = false;
    };

    struct Flow {
        Endpoint self;
        Endpoint route;
        std::size_t socket = 0;
        Stage stage = Stage::Opening;
        bool isProbe = false;
        bool mayRepeat = true;
        std::vector<Copy> copies;
        std::uint32_t token = 0;
        std::uint32_t sent = 0; ///< The number of the next byte to send.
        std::uint32_t received = 0; ///< The next number expected of the target.
        std::uint64_t request = 0; ///< The one that is waited for; 0 if none.
        std::string answer;
        unsigned partsSinceAcknowledged = 0;
        unsigned requestsLeft = 0;
        unsigned triesLeft = 0;
        TimePoint startedAt; ///< Of the request.
        TimePoint sentAt;
        Duration interval = {};
        TimePoint nextAt; ///< When the next request is sent.
    };
    using Key = std::pair<Endpoint, Endpoint>;

    Flow &add(Endpoint route, bool mayRepeat, TimePoint now);
    void sendOpening(Flow &flow, TimePoint now);
    void sendRequest(Flow &flow, TimePoint now);
    void sendPacket(Flow &flow, std::uint8_t flags, std::uint32_t sequence, std::string data);
    void take(std::string_view bytes, Endpoint from);
    void takeReset(Flow &flow, const SoakPacket &packet, Endpoint from);
    void takeData(Flow &flow, const SoakPacket &packet, TimePoint now);
    void tickOpening(Flow &flow, TimePoint now);
    void tickOpen(Flow &flow, TimePoint now);
    void ask(Flow &flow, TimePoint now);
    void fail(Flow &flow, bool hasOpened);

    CallerHooks m_hooks;
    std::vector<Endpoint> m_addresses;
    std::mt19937_64 m_random;
    std::map<Key, Flow> m_flows;
    std::vector<std::unique_ptr<DatagramSocket>> m_sockets;
    std::uint64_t m_requests = 0;
    std::uint16_t m_nextPort = 1024;
    TimePoint m_calmSince = TimePoint::max();
    RequestCounts m_counts;
    struct Retry {
        Endpoint route;
        bool mayRepeat;
        unsigned triesLeft;
        std::uint64_t request;
        TimePoint startedAt;
    };
    std::vector<Retry> m_retries;
};

} // namespace jasminequay::soak
