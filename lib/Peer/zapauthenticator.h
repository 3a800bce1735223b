// Authentication of connecting peers by their CURVE key (ZeroMQ RFC 27, ZAP), private to the Peer library.
#pragma once

#include "jasminequay/Settings/instancesettings.h"

#include <zmq.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace jasminequay
{

/// Answers the authentication requests of one ZeroMQ context. A peer's name becomes the user id of its
/// messages.
class ZapAuthenticator
{
public:
    ZapAuthenticator(zmq::context_t &context, const std::vector<PeerKey> &peers);

    /// Answers the requests that have arrived.
    void answer();

    [[nodiscard]] std::uint64_t refused() const
    {
        return m_refused;
    }

    /// Returns the socket that requests arrive at.
    [[nodiscard]] zmq::socket_t &socket()
    {
        return m_socket;
    }

private:
    void answerOne(const std::vector<zmq::message_t> &request);

    zmq::socket_t m_socket;
    std::map<std::string, std::string> m_instanceByKey;
    std::uint64_t m_refused = 0;
};

} // namespace jasminequay
