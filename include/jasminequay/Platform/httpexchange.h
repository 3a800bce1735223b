// One HTTP request and its answer.
#pragma once

#include "jasminequay/Packet/endpoint.h"
#include "jasminequay/Support/failure.h"
#include "jasminequay/Support/timepoint.h"

#include <boost/asio/awaitable.hpp>

#include <map>
#include <optional>
#include <string>

namespace jasminequay
{

/// The answer to a request, or the failure in its place. Results do not cross the suspension of a coroutine,
/// so the failure travels as a value.
struct HttpAnswer {
    unsigned status = 0;
    std::string body;
    std::map<std::string, std::string> headers; ///< By name in lower case.
    bool isConnected = false; ///< Whether the server took the connection.
    bool isRefused = false; ///< Whether the server's machine refused it, or reset it before an answer.
    bool isTooLarge = false; ///< Whether it failed because the body exceeds the limit.
    std::optional<Failure> failure;
};

/// Limits of a request.
struct HttpLimits {
    Duration timeout = std::chrono::seconds(5);
    std::size_t bodySize = 2 << 20;
};

/// Gets a path from a server over a connection of its own.
boost::asio::awaitable<HttpAnswer> httpGet(Endpoint server, std::string path, HttpLimits limits, Step step);

} // namespace jasminequay
