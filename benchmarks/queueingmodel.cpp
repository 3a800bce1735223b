#include "queueingmodel.h"

#include "jasminequay/Placement/cataloguebuilder.h"
#include "jasminequay/Placement/selection.h"
#include "jasminequay/Support/hash.h"

#include <algorithm>
#include <queue>
#include <random>

namespace jasminequay::bench
{

constexpr std::size_t Slots = 2;
constexpr std::size_t Arrivals = 60000;
constexpr std::size_t LongFlowsPerTarget = 500;
constexpr double SecondsPerService = 1;

namespace
{

struct Departure {
    double at;
    std::size_t owner;
    std::size_t target;

    bool operator>(const Departure &other) const
    {
        return at > other.at;
    }
};

using Departures = std::priority_queue<Departure, std::vector<Departure>, std::greater<>>;

/// Slots that are free from a moment on; serves in the order of arrival.
class SlotQueue
{
public:
    explicit SlotQueue(std::size_t slots)
        : m_freeAt(slots)
    {
    }

    /// Returns when a request that arrives at `at` starts.
    double serve(double at, double duration)
    {
        double &slot = *std::min_element(m_freeAt.begin(), m_freeAt.end());
        const double start = std::max(at, slot);
        slot = start + duration;
        return start;
    }

private:
    std::vector<double> m_freeAt;
};

} // namespace

static Configuration modelConfiguration(const ModelPlan &plan)
{
    Configuration configuration;
    configuration.version = 1;
    ServiceSettings service;
    service.name = "s";
    service.dataCentre = "dc";
    service.address = {{1}, 1};
    service.policy.placement = plan.placement;
    service.policy.bound = plan.bound;
    for (std::uint32_t number = 0; number < plan.targets; ++number) {
        TargetSettings target;
        target.address = {{0x0a020000 + number}, 80};
        target.connectionLimit = 1U << 30;
        target.slots = Slots;
        service.targets.push_back(target);
    }
    configuration.services.push_back(std::move(service));
    return configuration;
}

static TimePoint momentOf(double seconds)
{
    return TimePoint(std::chrono::hours(1)) + Duration(static_cast<Duration::rep>(seconds * 1e9));
}

ModelResult runModel(const ModelPlan &plan)
{
    std::mt19937_64 random(plan.seed);
    const double concurrency = plan.isLongFlows ? static_cast<double>(LongFlowsPerTarget * plan.targets)
                                                : plan.use * static_cast<double>(plan.targets * Slots);
    std::exponential_distribution<double> gap(concurrency / SecondsPerService);
    std::exponential_distribution<double> serviceTime(1 / SecondsPerService);
    std::vector<CatalogueBuilder> builders(plan.owners, CatalogueBuilder("dc"));
    std::vector<const ServiceTable *> tables;
    tables.reserve(plan.owners);
    for (CatalogueBuilder &builder : builders) {
        tables.push_back(builder.apply(modelConfiguration(plan), momentOf(0))->service(0));
    }
    std::vector<SlotQueue> queues(plan.targets, SlotQueue(Slots));
    std::vector<SlotQueue> shortest(plan.targets, SlotQueue(Slots));
    SlotQueue oneQueue(plan.targets * Slots);
    std::vector<std::size_t> outstanding(plan.targets);
    std::vector<std::size_t> shortestOutstanding(plan.targets);
    Departures departures;
    Departures shortestDepartures;
    std::vector<double> imbalances;
    ModelResult result;
    double now = 0;
    double reportedAt = 0;
    for (std::size_t arrival = 0; arrival < Arrivals; ++arrival) {
        now += gap(random);
        while (!departures.empty() && departures.top().at <= now) {
            const Departure departure = departures.top();
            departures.pop();
            --outstanding[departure.target];
            tables[departure.owner]->targets[departure.target].load->removeFlow();
        }
        while (!shortestDepartures.empty() && shortestDepartures.top().at <= now) {
            --shortestOutstanding[shortestDepartures.top().target];
            shortestDepartures.pop();
        }
        // Reports reach the owners half a service time apart; liars report themselves idle.
        if (plan.reports != Reports::None && now - reportedAt > SecondsPerService / 2) {
            reportedAt = now;
            for (const ServiceTable *const table : tables) {
                for (std::size_t target = 0; target < plan.targets; ++target) {
                    const auto count = static_cast<std::uint32_t>(
                        plan.reports == Reports::Lying ? 0 : outstanding[target]);
                    table->targets[target].load->report(count, false, momentOf(now));
                }
            }
        }
        const std::size_t owner = random() % plan.owners;
        const std::uint64_t flow = random();
        const ServiceTable &table = *tables[owner];
        const TargetEntry *const selected = selectTarget(table, flow, momentOf(now));
        const auto target = static_cast<std::size_t>(selected - table.targets.data());
        result.exceptions += selected == table.recoveryTarget(flow) ? 0 : 1;
        selected->load->addFlow();
        ++outstanding[target];
        const double duration = serviceTime(random);
        const double start = plan.isLongFlows ? now : queues[target].serve(now, duration);
        result.wait += start - now;
        departures.push({start + duration, owner, target});
        const auto best = static_cast<std::size_t>(
            std::min_element(shortestOutstanding.begin(), shortestOutstanding.end())
            - shortestOutstanding.begin());
        const double shortestStart = shortest[best].serve(now, duration);
        ++shortestOutstanding[best];
        shortestDepartures.push({shortestStart + duration, 0, best});
        result.joinShortestWait += shortestStart - now;
        result.oneQueueWait += oneQueue.serve(now, duration) - now;
        const std::size_t most = *std::max_element(outstanding.begin(), outstanding.end());
        std::size_t sum = 0;
        for (const std::size_t count : outstanding) {
            sum += count;
        }
        if (arrival > Arrivals / 10) {
            imbalances.push_back(static_cast<double>(most * plan.targets) / static_cast<double>(sum));
        }
    }
    std::sort(imbalances.begin(), imbalances.end());
    for (const double imbalance : imbalances) {
        result.imbalance += imbalance / static_cast<double>(imbalances.size());
    }
    result.imbalance99 = imbalances[imbalances.size() * 99 / 100];
    result.wait /= Arrivals;
    result.oneQueueWait /= Arrivals;
    result.joinShortestWait /= Arrivals;
    result.exceptions /= Arrivals;
    return result;
}

} // namespace jasminequay::bench
