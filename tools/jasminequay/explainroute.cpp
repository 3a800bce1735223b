#include "explainroute.h"

#include "explainsteering.h"

#include "jasminequay/Node/placementpage.h"
#include "jasminequay/Peer/fleetcodec.h"

#include <boost/json.hpp>

#include <algorithm>
#include <cmath>
#include <iomanip>
#include <iostream>

namespace jasminequay
{

namespace json = boost::json;

/// Returns the address of the route with a name or address among those that the instance knows.
static std::optional<Endpoint> addressOf(const RouteConfiguration &configuration, const std::string &wanted)
{
    const auto isWanted = [&](const Route &route) {
        return route.name == wanted || format(route.address) == wanted;
    };
    const auto found = std::find_if(configuration.routes.begin(), configuration.routes.end(), isWanted);
    return found == configuration.routes.end() ? std::nullopt : std::optional(found->address);
}

/// Returns a time as text; `null` stands for an event that has not happened.
static std::string timeText(const json::value &value)
{
    return value.is_null() ? "never" : std::to_string(value.to_number<std::int64_t>()) + " ms";
}

static std::string percentText(const json::value &share)
{
    return std::to_string(std::lround(share.to_number<double>() * 100)) + "%";
}

static std::string_view textOf(const json::value &value)
{
    return {value.as_string().data(), value.as_string().size()};
}

static void printDataCentre(const json::object &dataCentre)
{
    const json::value &limit = dataCentre.at("limit");
    std::cout << "  data centre " << textOf(dataCentre.at("name")) << ": " << dataCentre.at("targets")
              << " targets, responses take " << percentText(dataCentre.at("objective_share"))
              << " of the objective, " << dataCentre.at("requests_in_flight") << " requests of this instance"
              << (limit.is_null() ? "" : " of at most " + std::to_string(limit.to_number<double>()))
              << (dataCentre.at("full").as_bool() ? ", full" : "")
              << (dataCentre.at("silent").as_bool() ? ", may be out of reach" : "") << '\n';
}

static void printTarget(std::size_t position, const json::object &target)
{
    std::cout << "  " << std::setw(2) << position << ". " << textOf(target.at("name")) << " at "
              << textOf(target.at("address")) << " in " << textOf(target.at("data_centre")) << ": "
              << textOf(target.at("reason")) << ", " << target.at("new_flows") << " new flows; "
              << target.at("open_flows") << " flows for " << target.at("slots") << " slots, "
              << target.at("requests_in_flight") << " requests, responses take "
              << percentText(target.at("objective_share")) << " of the objective; "
              << textOf(target.at("presence")) << ", " << textOf(target.at("verdict")) << ", probe "
              << textOf(target.at("probe")) << ", " << target.at("stalled_flows")
              << " stalled flows, progress " << (target.at("progress_age_ms").is_null() ? "" : "before ")
              << timeText(target.at("progress_age_ms"));
    if (target.at("draining").as_bool()) {
        std::cout << ", draining";
    }
    if (target.at("warm_up_left_ms").to_number<std::int64_t>() > 0) {
        std::cout << ", warms up for " << timeText(target.at("warm_up_left_ms"));
    }
    std::cout << '\n';
}

static void printService(const json::object &service)
{
    const json::array &ranking = service.at("ranking").as_array();
    std::cout << "service " << textOf(service.at("name")) << ", weight "
              << service.at("weight").to_number<double>() << ", " << service.at("targets") << " targets, "
              << ranking.size() << " shown\n";
    for (const json::value &dataCentre : service.at("data_centres").as_array()) {
        printDataCentre(dataCentre.as_object());
    }
    std::size_t position = 0;
    for (const json::value &target : ranking) {
        printTarget(++position, target.as_object());
    }
}

static void printPage(Endpoint instance, const json::object &page)
{
    const json::object &route = page.at("route").as_object();
    const json::object &inputs = page.at("inputs").as_object();
    const json::value &objective = route.at("objective_ms");
    const bool hasObjective = objective.to_number<std::int64_t>() > 0;
    const json::value &age = inputs.at("age_ms");
    std::cout << "route " << textOf(route.at("name")) << " at " << textOf(route.at("address")) << ", "
              << textOf(route.at("kind")) << ", priority " << route.at("priority") << ", "
              << (hasObjective ? "objective " + timeText(objective) : "no objective") << '\n'
              << "instance " << format(instance) << ": routes version " << inputs.at("routes_version")
              << ", targets up to revision " << inputs.at("revision") << ", "
              << (age.is_null() ? "never proved complete" : "proved complete " + timeText(age) + " before")
              << '\n'
              << "of " << page.at("samples") << " sampled new flows " << page.at("refused_as_full")
              << " would be refused because the service is full, and " << page.at("without_target")
              << " would have no target\n";
    for (const json::value &service : page.at("services").as_array()) {
        printService(service.as_object());
    }
}

Result<ExitCode> explainRoute(Endpoint instance, const std::string &route, bool isJson)
{
    BOOST_LEAF_AUTO(encodedResponse, fetchDirectory(instance));
    BOOST_LEAF_AUTO(known, decodeImage(encodedResponse, format(instance)));
    const std::optional<Endpoint> address
        = known.update.routes ? addressOf(*known.update.routes, route) : std::nullopt;
    if (!address) {
        std::cerr << "jasminequay: " << format(instance) << " knows no route '" << route << "'\n";
        return ExitCode::Mistakes;
    }
    BOOST_LEAF_AUTO(text, fetchPage(instance, std::string(PlacementPath) + format(*address)));
    boost::system::error_code error;
    const json::value page = json::parse(text, error);
    if (error || !page.is_object()) {
        return fail(Step::DecodePeer, format(instance), "the page is not JSON");
    }
    if (isJson) {
        std::cout << text;
        return ExitCode::Success;
    }
    try {
        printPage(instance, page.as_object());
    } catch (const std::exception &) {
        return fail(Step::DecodePeer, format(instance), "the page is that of another version");
    }
    return ExitCode::Success;
}

} // namespace jasminequay
