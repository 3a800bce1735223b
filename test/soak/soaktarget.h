// A stand-in of a target: it opens flows, runs requests, and answers callers directly.
#pragma once

#include "datagramsocket.h"
#include "promises.h"
#include "soakpacket.h"

#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>

namespace jasminequay::soak
{

/// The most bytes in one packet.
constexpr std::size_t LargestPart = 1200;

/// The bytes of each answer: four packets.
constexpr std::size_t AnswerSize = 4000;

/// Returns the whole answer to a request.
std::string answerTo(std::uint64_t request);

/// What a target asks of the soak.
struct TargetHooks {
    std::function<void(const SoakPacket &, Endpoint instance)> onOpening; ///< An opening packet was taken.
    std::function<void(Endpoint route, std::uint64_t request)> onRun;
    std::function<void(const SoakPacket &, Endpoint instance)>
        onUnheld; ///< A flow is not held here and is reset.
    std::function<void(const std::string &what)> onForged; ///< A packet that its sender did not write so.
};

/// One start of a target.
class SoakTarget
{
public:
    /// `id` is the number that stands before packets for it.
    SoakTarget(boost::asio::io_context &context, Endpoint address, std::uint64_t id, std::string name,
        std::uint16_t callerPort, TargetHooks hooks, std::uint64_t seed);
    ~SoakTarget();
    SoakTarget(const SoakTarget &) = delete;
    SoakTarget &operator=(const SoakTarget &) = delete;

    /// Sends answers that are due, and those that nobody acknowledged again.
    void tick(TimePoint now);

    [[nodiscard]] const std::string &name() const
    {
        return m_name;
    }
    [[nodiscard]] Endpoint address() const
    {
        return m_address;
    }

    /// Makes it hear and say nothing, or ends that.
    void setSilent(bool isSilent)
    {
        m_isSilent = isSilent;
    }

    /// Tells whether a flow is open here.
    [[nodiscard]] bool holds(Endpoint caller, Endpoint route) const;

private:
    struct Flow {
        Endpoint caller;
        Endpoint route;
        bool isOpen = false;
        std::uint32_t token = 0;
        std::uint32_t received = 0; ///< The next number expected of the caller.
        std::uint32_t firstNumber = 0;
        std::uint32_t acknowledged = 0; ///< What the caller has acknowledged.
        std::string unsent; ///< The answer from `acknowledged` on.
        TimePoint sentAt;
        Duration interval = {};
        unsigned repeats = 0;
        TimePoint answerAt; ///< When the work on a request ends; the start of time if there is none.
        std::uint64_t request = 0;
    };

    void take(std::string_view bytes, Endpoint from);
    void open(const SoakPacket &packet, Endpoint from);
    void takeLater(Flow &flow, const SoakPacket &packet);
    void takeData(Flow &flow, const SoakPacket &packet);
    void sendAnswer(Flow &flow, TimePoint now);
    void reply(const Flow &flow, std::uint8_t flags, std::uint32_t sequence, std::string data);
    void send(const SoakPacket &packet);
    boost::asio::awaitable<void> acceptProbes();

    Endpoint m_address;
    std::uint64_t m_id;
    std::string m_name;
    std::uint16_t m_callerPort;
    TargetHooks m_hooks;
    bool m_isSilent = false;
    std::mt19937_64 m_random;
    std::map<std::pair<Endpoint, Endpoint>, Flow> m_flows; ///< By caller and route.
    std::shared_ptr<boost::asio::ip::tcp::acceptor> m_probes;
    std::unique_ptr<DatagramSocket> m_socket;
};

} // namespace jasminequay::soak
