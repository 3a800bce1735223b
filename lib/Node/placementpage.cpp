#include "jasminequay/Node/placementpage.h"

#include "jasminequay/Steering/placementpreview.h"

#include <boost/json.hpp>

namespace jasminequay
{

namespace json = boost::json;

static std::int64_t milliseconds(Duration time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

/// Returns the age of an event in milliseconds; null if it has not happened.
static json::value ageOf(TimePoint event, TimePoint now)
{
    return event == TimePoint{} ? json::value() : json::value(milliseconds(now - event));
}

static json::object describeRoute(const Route &route)
{
    return {{"name", route.name}, {"address", format(route.address)}, {"kind", requestKindName(route.kind)},
        {"priority", route.priority}, {"objective_ms", milliseconds(route.objective)}};
}

static json::object describeInputs(const SteeringControl &control, SteeringEngine &engine, TimePoint now)
{
    return {{"routes_version", engine.routes().configuration().version},
        {"routes_revision", control.fleet().routesRevision()}, {"revision", control.fleet().revision()},
        {"age_ms", ageOf(engine.currentAt(), now)}};
}

static json::object describeTarget(const PreviewedTarget &item, TimePoint now)
{
    const KnownTarget &target = *item.target;
    const Duration warmUpLeft = std::max<Duration>(target.warmUpEndsAt - now, Duration::zero());
    return {{"name", target.record.name}, {"address", format(target.record.address)},
        {"data_centre", target.record.dataCentre}, {"new_flows", item.newFlows},
        {"reason", placementReasonName(item.reason)}, {"slots", target.record.slots},
        {"open_flows", target.openFlows}, {"requests_in_flight", target.pace.inFlight()},
        {"objective_share", target.pace.objectiveShare(now)}, {"warm_up_left_ms", milliseconds(warmUpLeft)},
        {"draining", target.record.isDraining}, {"presence", targetPresenceName(target.presence)},
        {"verdict", targetVerdictName(target.evidence.verdict(now))},
        {"probe", reachabilityName(target.evidence.reachability())},
        {"stalled_flows", target.evidence.stalledFlows()},
        {"progress_age_ms", ageOf(target.evidence.progressAt(), now)}};
}

static json::object describeService(const PreviewedService &service, TimePoint now)
{
    json::array dataCentres;
    for (const auto &[name, dataCentre] : service.dataCentres) {
        const json::value limit = dataCentre.limit ? json::value(*dataCentre.limit) : json::value();
        dataCentres.push_back(
            json::object{{"name", name}, {"targets", dataCentre.targets}, {"silent", dataCentre.isSilent},
                {"full", dataCentre.isFull}, {"limit", limit}, {"objective_share", dataCentre.objectiveShare},
                {"requests_in_flight", dataCentre.requestsInFlight}});
    }
    json::array ranking;
    for (const PreviewedTarget &target : service.ranking) {
        ranking.push_back(describeTarget(target, now));
    }
    return {{"name", service.name}, {"weight", service.weight}, {"targets", service.targets},
        {"data_centres", std::move(dataCentres)}, {"ranking", std::move(ranking)}};
}

std::optional<OperatorPage> placementPage(SteeringControl &control, std::string_view path, TimePoint now)
{
    if (!path.starts_with(PlacementPath)) {
        return std::nullopt;
    }
    const std::optional<Endpoint> address = parseEndpoint(path.substr(PlacementPath.size()));
    if (!address) {
        return OperatorPage{400, "the address of a route is expected, as in 198.18.0.1:443\n"};
    }
    SteeringEngine &engine = control.engine();
    const Route *const route = engine.routes().at(*address);
    if (route == nullptr) {
        return OperatorPage{404, "no route holds " + format(*address) + "\n"};
    }
    const PlacementPreview preview = engine.previewPlacement(*route, now);
    json::array services;
    for (const PreviewedService &service : preview.services) {
        services.push_back(describeService(service, now));
    }
    const json::object page{{"route", describeRoute(*route)},
        {"inputs", describeInputs(control, engine, now)}, {"samples", preview.samples},
        {"refused_as_full", preview.refusedAsFull}, {"without_target", preview.withoutTarget},
        {"services", std::move(services)}};
    return OperatorPage{200, json::serialize(page) + "\n"};
}

} // namespace jasminequay
