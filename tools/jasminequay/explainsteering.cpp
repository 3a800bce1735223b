#include "explainsteering.h"

#include "jasminequay/Node/peerchannel.h"
#include "jasminequay/Peer/fleetcodec.h"
#include "jasminequay/Platform/httpexchange.h"
#include "jasminequay/Steering/steeringengine.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>

#include <iostream>

namespace jasminequay
{

constexpr Duration FetchTimeout = std::chrono::seconds(5);
constexpr std::size_t MaximumResponseSize = 8 << 20;

/// Any moment will do: ages are what matters.
constexpr TimePoint Now = TimePoint(std::chrono::hours(1));

Result<std::string> fetchPage(Endpoint instance, const std::string &path)
{
    boost::asio::io_context context;
    HttpAnswer answer;
    boost::asio::co_spawn(context,
        httpGet(instance, path, {FetchTimeout, MaximumResponseSize}, Step::ConnectPeer),
        [&answer](const std::exception_ptr &failure, HttpAnswer result) {
            if (failure == nullptr) {
                answer = std::move(result);
            }
        });
    context.run();
    if (answer.failure) {
        return fail(answer.failure->step, answer.failure->peer, answer.failure->message);
    }
    if (answer.status != 200) {
        return fail(
            Step::ConnectPeer, format(instance), "status " + std::to_string(answer.status) + " for " + path);
    }
    return answer.body;
}

Result<std::string> fetchDirectory(Endpoint instance)
{
    return fetchPage(instance, std::string(PeerChannel::DirectoryPath));
}

static std::string hexadecimal(SteeringToken token)
{
    char text[16];
    std::snprintf(text, sizeof text, "0x%08x", token);
    return text;
}

static void printRoute(const Route &route, const SteeredFlow &flow)
{
    std::cout << "route " << route.name << " at " << format(route.address) << ", "
              << requestKindName(route.kind) << "; services in the order of this flow:";
    for (const WeightedService *const service : serviceOrder(route, flow.hash())) {
        std::cout << ' ' << service->service << " (weight " << service->weight << ")";
    }
    std::cout << '\n';
}

static void printToken(SteeringEngine &engine, SteeringToken token)
{
    const KnownTarget *const target = engine.targets().findByToken(token);
    std::cout << "token " << hexadecimal(token) << " (" << token << "): ";
    if (target == nullptr) {
        std::cout << "names no known target, or more than one\n";
        return;
    }
    std::cout << target->record.name << " of " << target->record.service << " at "
              << format(target->record.address) << " in " << target->record.dataCentre << ", "
              << targetPresenceName(target->presence) << (target->record.isDraining ? ", draining" : "")
              << "\n";
}

static void printTargets(SteeringEngine &engine, const Route &route, const SteeredFlow &flow)
{
    for (const WeightedService *const service : serviceOrder(route, flow.hash())) {
        std::cout << "targets of " << service->service << ":\n";
        for (const KnownTarget *const target : engine.targets().targetsOfService(service->service)) {
            std::cout << "  " << target->record.name << " at " << format(target->record.address) << " in "
                      << target->record.dataCentre << ", " << target->record.slots << " slots, "
                      << targetPresenceName(target->presence)
                      << (target->record.isDraining ? ", draining: takes no new flow" : "") << ", token "
                      << hexadecimal(engine.targets().tokenFor(*target, flow.hash())) << '\n';
        }
    }
}

Result<ExitCode> explainSteering(const std::string &encodedResponse, const std::string &source,
    const SteeredFlow &flow, SteeringToken token)
{
    BOOST_LEAF_AUTO(known, decodeImage(encodedResponse, source));
    SteeringEngine engine({});
    if (known.update.routes) {
        engine.replaceRoutes(*known.update.routes, Now);
    }
    engine.targets().replaceAll(known.update.targets, known.update.revision, Now);
    for (const TargetRemoval &removal : known.update.removals) {
        engine.targets().remove(removal.name, removal.revision, Now);
    }
    for (const TargetRecord &record : known.update.tombstones) {
        engine.targets().addTombstone(record, Now);
    }
    engine.targets().evacuations().mergeAll(known.update.evacuations, known.evacuationsRevision, Now);
    std::cout << source << ": routes version " << engine.routes().configuration().version << ", revision "
              << describeRevision(known.update.revision) << " of the store, proved "
              << std::chrono::duration_cast<std::chrono::milliseconds>(known.age).count() << " ms before\n";
    if (token != NoToken) {
        printToken(engine, token);
    }
    const Route *const route = engine.routes().at(flow.service);
    if (route == nullptr) {
        std::cout << "no route holds " << format(flow.service)
                  << ": new flows get a reset, open ones too once this is proved\n";
        return ExitCode::Success;
    }
    printRoute(*route, flow);
    printTargets(engine, *route, flow);
    std::cout
        << "a new flow goes to the target with the fewest flows for its slots as the instance sees them; "
           "its log line packet-forward says which, and with which token\n";
    return ExitCode::Success;
}

} // namespace jasminequay
