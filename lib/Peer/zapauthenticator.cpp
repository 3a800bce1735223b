#include "zapauthenticator.h"

#include "jasminequay/Support/logevent.h"

#include <zmq_addon.hpp>

#include <array>

namespace jasminequay
{

constexpr std::size_t CurveKeyBytes = 32;
constexpr std::size_t CurveKeyText = 41;

ZapAuthenticator::ZapAuthenticator(zmq::context_t &context, const std::vector<PeerKey> &peers)
    : m_socket(context, zmq::socket_type::rep)
{
    for (const PeerKey &peer : peers) {
        m_instanceByKey[peer.publicKey] = peer.instance;
    }
    m_socket.set(zmq::sockopt::linger, 0);
    m_socket.bind("inproc://zeromq.zap.01");
}

void ZapAuthenticator::answer()
{
    std::vector<zmq::message_t> request;
    while (zmq::recv_multipart(m_socket, std::back_inserter(request), zmq::recv_flags::dontwait)) {
        answerOne(request);
        request.clear();
    }
}

void ZapAuthenticator::answerOne(const std::vector<zmq::message_t> &request)
{
    // A request holds version, request id, domain, address, identity, mechanism and the client's key.
    constexpr std::size_t RequestParts = 7;
    const std::string requestId = request.size() > 1 ? request[1].to_string() : std::string();
    std::string instance;
    if (request.size() == RequestParts && request[5].to_string_view() == "CURVE"
        && request[6].size() == CurveKeyBytes) {
        std::array<char, CurveKeyText> key{};
        zmq_z85_encode(key.data(), static_cast<const std::uint8_t *>(request[6].data()), CurveKeyBytes);
        if (const auto found = m_instanceByKey.find(key.data()); found != m_instanceByKey.end()) {
            instance = found->second;
        }
    }
    const bool isKnown = !instance.empty();
    if (!isKnown) {
        ++m_refused;
        LogEvent(Severity::Warning, "peer-refused")
            .with("address", request.size() > 3 ? request[3].to_string_view() : std::string_view("unknown"))
            .with("reason", "unknown key");
    }
    const std::array<zmq::const_buffer, 6> reply{zmq::str_buffer("1.0"), zmq::buffer(requestId),
        isKnown ? zmq::str_buffer("200") : zmq::str_buffer("400"),
        isKnown ? zmq::buffer(std::string_view("OK")) : zmq::buffer(std::string_view("unknown key")),
        zmq::buffer(instance), zmq::str_buffer("")};
    zmq::send_multipart(m_socket, reply);
}

} // namespace jasminequay
