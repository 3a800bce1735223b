#include "jasminequay/Support/failure.h"

#include "jasminequay/Support/enumnames.h"

#include <cerrno>
#include <system_error>

namespace jasminequay
{

static constexpr EnumNames<Step, 14> StepNames{{
    {Step::ReadSettings, "read-settings"},
    {Step::ParseTree, "parse-tree"},
    {Step::OpenFabric, "open-fabric"},
    {Step::ReadFabric, "read-fabric"},
    {Step::WriteFabric, "write-fabric"},
    {Step::BindPeer, "bind-peer"},
    {Step::ConnectPeer, "connect-peer"},
    {Step::DecodePeer, "decode-peer"},
    {Step::ReadPlatform, "read-platform"},
    {Step::WatchPlatform, "watch-platform"},
    {Step::ProbeTarget, "probe-target"},
    {Step::OpenRecords, "open-records"},
    {Step::ReadRecords, "read-records"},
    {Step::ServeOperators, "serve-operators"},
}};

std::string_view stepName(Step step)
{
    return nameIn(StepNames, step);
}

std::string describe(const Failure &failure)
{
    std::string line(stepName(failure.step));
    if (!failure.peer.empty()) {
        line += ' ';
        line += failure.peer;
    }
    return line + ": " + failure.message;
}

boost::leaf::error_id fail(Step step, std::string peer, std::string message)
{
    return boost::leaf::new_error(Failure{step, std::move(peer), std::move(message)});
}

std::string systemMessage()
{
    return std::error_code(errno, std::generic_category()).message();
}

} // namespace jasminequay
