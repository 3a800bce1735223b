#include "publication.h"

#include <boost/json.hpp>

namespace jasminequay::soak
{

namespace json = boost::json;

constexpr Duration Settled = std::chrono::milliseconds(3500);
constexpr std::uint16_t RoutePort = 443;
constexpr const char *EvacuationPrefix = "op/evacuate/";

Publication::Publication(platform::FakeStore &store, Promises &promises)
    : m_store(store)
    , m_promises(promises)
{
}

Endpoint Publication::addRoute(const std::string &service, bool mayRepeat, TimePoint now)
{
    ++m_routes;
    const Endpoint address{{0xc6120000U + m_routes}, RoutePort};
    m_version += 1 + m_routes % 3;
    PublishedRoute route;
    route.service = service;
    route.mayRepeat = mayRepeat;
    route.addedVersion = m_version;
    route.addedAt = now;
    m_promises.routes[address] = route;
    publish();
    return address;
}

void Publication::dropRoute(Endpoint address, TimePoint now)
{
    m_version += 2;
    PublishedRoute &route = m_promises.routes.at(address);
    route.droppedVersion = m_version;
    route.droppedAt = now;
    publish();
}

void Publication::publish()
{
    json::array routes;
    for (const auto &[address, route] : m_promises.routes) {
        if (route.droppedVersion == 0) {
            routes.push_back(json::object{{"name", "route-" + std::to_string(address.address.value & 0xffff)},
                {"host", format(address.address)}, {"prefix", "/" + std::to_string(address.port) + "/"},
                {"type", route.mayRepeat ? "idempotent" : "non_idempotent"}, {"service", route.service}});
        }
    }
    const json::object limits{{"idleTimeoutMs", 15000}};
    m_store.put("op/config",
        json::serialize(json::object{
            {"version", m_version}, {"routes", routes}, {"services", json::array()}, {"limits", limits}}));
}

void Publication::putTarget(const RunningTarget &running)
{
    const bool isLeaving = running.state.drainingAt != TimePoint{};
    m_store.put("servers/" + running.target->name(),
        json::serialize(json::object{{"service", running.state.service},
            {"addr", format(running.target->address())}, {"zone", running.dataCentre}, {"version", "1"},
            {"concurrency", 2}, {"state", isLeaving ? "draining" : "ready"}, {"warmLeftMs", 0}, {"seq", 1},
            {"born", running.startedAt}}));
}

void Publication::removeTarget(const std::string &name)
{
    m_store.remove("servers/" + name);
}

void Publication::putGarbage(std::uint64_t choice)
{
    static const std::vector<std::string> garbage{"{}", "no JSON", R"({"service":7,"addr":"127.0.0.1:1"})",
        R"({"service":"desk","addr":"nowhere","zone":"z1","state":"ready","concurrency":2})",
        std::string(300, '\xff'),
        R"({"service":"desk","addr":"127.0.0.1:1","zone":"z1","state":"asleep","concurrency":2,"warmLeftMs":0})"};
    m_store.put("servers/i-" + std::to_string(9000 + choice % 5), garbage[choice % garbage.size()]);
}

void Publication::putUnrelated()
{
    m_store.put("zz/other", "x");
}

void Publication::putForeignEntry(Endpoint address, std::uint64_t choice)
{
    m_store.put("servers/x-" + std::to_string(9000 + choice % 5),
        json::serialize(json::object{{"service", "asset-inventory"}, {"addr", format(address)},
            {"zone", "z1"}, {"version", "1"}, {"concurrency", 2}, {"state", "ready"}, {"warmLeftMs", 0},
            {"seq", 1}, {"born", choice % 1000}}));
}

void Publication::evacuate(const std::string &dataCentre)
{
    m_evacuated.insert(dataCentre);
    m_store.put(EvacuationPrefix + dataCentre, "{}");
}

void Publication::endEvacuation(const std::string &dataCentre)
{
    m_evacuated.erase(dataCentre);
    m_store.remove(EvacuationPrefix + dataCentre);
}

void Publication::writeAgain(const std::vector<RunningTarget> &targets)
{
    std::set<std::string> wanted;
    publish();
    for (const RunningTarget &running : targets) {
        if (running.target) {
            wanted.insert("servers/" + running.target->name());
            putTarget(running);
        }
    }
    for (const std::string &dataCentre : m_evacuated) {
        wanted.insert(EvacuationPrefix + dataCentre);
        evacuate(dataCentre);
    }
    for (const char *const prefix : {"servers/i-", EvacuationPrefix}) {
        for (const std::string &key : m_store.keys(prefix)) {
            if (!wanted.contains(key)) {
                m_store.remove(key);
            }
        }
    }
}

std::vector<Endpoint> Publication::settledRoutes(TimePoint now) const
{
    std::vector<Endpoint> settled;
    for (const auto &[address, route] : m_promises.routes) {
        if (route.droppedVersion == 0 && now - route.addedAt > Settled) {
            settled.push_back(address);
        }
    }
    return settled;
}

} // namespace jasminequay::soak
