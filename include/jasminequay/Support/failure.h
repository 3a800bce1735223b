// The error that environment failures carry through Boost.LEAF results: the step, the peer and what went
// wrong.
#pragma once

#include <boost/leaf/error.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <boost/leaf/result.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace jasminequay
{

/// The step during which a failure arose.
enum class Step : std::uint8_t {
    ReadSettings,
    ParseTree,
    OpenFabric,
    ReadFabric,
    WriteFabric,
    BindPeer,
    ConnectPeer,
    DecodePeer,
    ReadPlatform,
    WatchPlatform,
    ProbeTarget,
    OpenRecords,
    ReadRecords,
    ServeOperators,
};

/// Returns the name of a step as it stands in logs.
std::string_view stepName(Step step);

/// An environment failure. Messages start in lower case, have no full stop and name the thing at fault.
struct Failure {
    Step step;
    std::string peer; ///< The address or name of the other side; empty where there is none.
    std::string message;
};

/// Returns the failure as one line: "step peer: message".
std::string describe(const Failure &failure);

/// The outcome of an operation on the environment.
template <typename T> using Result = boost::leaf::result<T>;

/// Makes an error that carries a Failure.
boost::leaf::error_id fail(Step step, std::string peer, std::string message);

/// Returns the text of the current errno value.
std::string systemMessage();

/// Runs an operation that returns a Result; on failure passes the Failure to the handler and returns its
/// value.
template <typename Operation, typename Handler> auto withFailure(Operation &&operation, Handler &&handler)
{
    return boost::leaf::try_handle_all(
        std::forward<Operation>(operation), [&handler](const Failure &failure) { return handler(failure); },
        [&handler]() {
            return handler(Failure{Step::ReadSettings, {}, "unknown failure"});
        });
}

} // namespace jasminequay
