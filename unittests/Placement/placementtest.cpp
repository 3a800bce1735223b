#include "jasminequay/Placement/cataloguebuilder.h"
#include "jasminequay/Placement/instanceorder.h"
#include "jasminequay/Placement/rendezvous.h"
#include "jasminequay/Placement/selection.h"
#include "jasminequay/Support/hash.h"

#include <gtest/gtest.h>

namespace jasminequay
{

using std::chrono::seconds;

constexpr TimePoint Now(seconds(1000));

static Configuration configurationOf(std::uint64_t version, std::size_t targets, PlacementPolicy placement)
{
    Configuration configuration;
    configuration.version = version;
    for (std::uint32_t number = 0; number < 2; ++number) {
        ServiceSettings service;
        service.name = "service-" + std::to_string(number);
        service.dataCentre = "dc";
        service.address = {{0x0a010000 + number}, 443};
        service.policy.placement = placement;
        for (std::uint32_t index = 0; index < targets; ++index) {
            TargetSettings target;
            target.address = {{0x0a020000 + number * 256 + index}, 80};
            target.connectionLimit = 1000000;
            target.slots = 2;
            service.targets.push_back(target);
        }
        configuration.services.push_back(service);
    }
    return configuration;
}

static const ServiceTable &firstTable(CatalogueBuilder &builder, const Configuration &configuration)
{
    return *builder.apply(configuration, Now)->service(0);
}

TEST(Rendezvous, SharesAreProportionalToWeights)
{
    int heavy = 0;
    constexpr int Keys = 20000;
    for (std::uint64_t key = 0; key < Keys; ++key) {
        heavy += rendezvousScore(key, 1, 3) > rendezvousScore(key, 2, 1) ? 1 : 0;
    }
    EXPECT_NEAR(heavy, Keys * 0.75, Keys * 0.02);
}

TEST(Rendezvous, RemovingATargetMovesOnlyItsFlows)
{
    CatalogueBuilder before("dc");
    CatalogueBuilder after("dc");
    Configuration configuration = configurationOf(1, 8, PlacementPolicy::Hash);
    const ServiceTable &whole = firstTable(before, configuration);
    const Endpoint removed = configuration.services[0].targets[3].address;
    configuration.services[0].targets.erase(configuration.services[0].targets.begin() + 3);
    const ServiceTable &rest = firstTable(after, configuration);
    for (std::uint64_t flow = 0; flow < 5000; ++flow) {
        const Endpoint chosen = whole.preferredTarget(flow)->settings.address;
        if (chosen != removed) {
            EXPECT_EQ(rest.preferredTarget(flow)->settings.address, chosen);
        }
    }
}

TEST(Selection, BoundedKeepsEveryTargetUnderItsBound)
{
    CatalogueBuilder builder("dc");
    Configuration configuration = configurationOf(1, 10, PlacementPolicy::Bounded);
    configuration.services[0].policy.bound = 1.25;
    const ServiceTable &table = firstTable(builder, configuration);
    for (std::uint64_t flow = 0; flow < 2000; ++flow) {
        selectTarget(table, hashWords(flow, 1), Now)->load->addFlow();
    }
    for (const TargetEntry &target : table.targets) {
        EXPECT_LE(target.load->outstanding(), 251U);
    }
}

TEST(Selection, LeastDistributesFlowsEvenly)
{
    CatalogueBuilder builder("dc");
    const ServiceTable &table = firstTable(builder, configurationOf(1, 7, PlacementPolicy::Least));
    for (std::uint64_t flow = 0; flow < 700; ++flow) {
        selectTarget(table, hashWords(flow, 1), Now)->load->addFlow();
    }
    for (const TargetEntry &target : table.targets) {
        EXPECT_EQ(target.load->outstanding(), 100U);
    }
}

TEST(Selection, FullSheddingAndDrainingTargetsGetNothing)
{
    CatalogueBuilder builder("dc");
    Configuration configuration = configurationOf(1, 4, PlacementPolicy::Bounded);
    configuration.services[0].targets[0].state = TargetState::Draining;
    configuration.services[0].targets[1].connectionLimit = 1;
    const ServiceTable &table = firstTable(builder, configuration);
    table.targets[1].load->addFlow();
    table.targets[2].load->report(0, true, Now);
    for (const PlacementPolicy policy :
        {PlacementPolicy::Hash, PlacementPolicy::Bounded, PlacementPolicy::Least}) {
        ServiceTable varied = table;
        varied.policy.placement = policy;
        for (std::uint64_t flow = 0; flow < 200; ++flow) {
            ASSERT_EQ(selectTarget(varied, flow, Now), &varied.targets[3]);
        }
        varied.targets[3].load->report(0, true, Now);
        EXPECT_EQ(selectTarget(varied, 1, Now), nullptr);
        varied.targets[3].load->report(0, false, Now);
    }
}

TEST(Selection, SlowStartRaisesTheShareOfColdTargets)
{
    CatalogueBuilder builder("dc");
    Configuration configuration = configurationOf(1, 2, PlacementPolicy::Hash);
    configuration.services[0].targets[0].state = TargetState::Cold;
    configuration.services[0].policy.slowStart = seconds(30);
    const ServiceTable &table = firstTable(builder, configuration);
    const auto share = [&](TimePoint now) {
        int count = 0;
        for (std::uint64_t flow = 0; flow < 4000; ++flow) {
            count += selectTarget(table, flow, now) == table.targets.data() ? 1 : 0;
        }
        return count / 4000.0;
    };
    EXPECT_NEAR(share(Now), 1 / 11.0, 0.03);
    EXPECT_NEAR(share(Now + seconds(15)), 1 / 3.0, 0.04);
    EXPECT_NEAR(share(Now + seconds(30)), 0.5, 0.04);
}

/// A target with a wrong report must not distort placement: a report below the exact count is ignored, and a
/// higher one counts only up to a bound and until it expires.
TEST(TargetLoad, ReportsOnlyRaiseTheCountWithinABoundAndExpire)
{
    TargetLoad load;
    for (int flow = 0; flow < 10; ++flow) {
        load.addFlow();
    }
    load.report(0, false, Now);
    EXPECT_EQ(load.effectiveCount(2, Now), 10);
    load.report(1000, false, Now);
    EXPECT_EQ(load.effectiveCount(2, Now), 17);
    EXPECT_LT(load.effectiveCount(2, Now + seconds(3)), 14);
    EXPECT_EQ(load.effectiveCount(2, Now + seconds(6)), 10);
}

TEST(Catalogue, ChangeOfOneServiceKeepsTheTablesOfOthers)
{
    CatalogueBuilder builder("dc");
    Configuration configuration = configurationOf(1, 4, PlacementPolicy::Hash);
    const auto before = builder.apply(configuration, Now);
    configuration.version = 2;
    configuration.services[0].targets.pop_back();
    const auto after = builder.apply(configuration, Now);
    EXPECT_NE(before->service(0), after->service(0));
    EXPECT_EQ(before->service(1), after->service(1));
}

TEST(Catalogue, OlderVersionsAreIgnored)
{
    CatalogueBuilder builder("dc");
    const auto current = builder.apply(configurationOf(5, 4, PlacementPolicy::Hash), Now);
    EXPECT_EQ(builder.apply(configurationOf(4, 2, PlacementPolicy::Hash), Now), current);
}

TEST(Catalogue, MovedTargetGetsANewIdAndStaysQuarantinedUntilConfirmed)
{
    CatalogueBuilder builder("dc");
    Configuration configuration = configurationOf(1, 4, PlacementPolicy::Hash);
    const TargetId before = builder.apply(configuration, Now)->service(0)->targets.back().id;
    configuration.version = 2;
    configuration.services[1].targets.push_back(configuration.services[0].targets.back());
    configuration.services[0].targets.pop_back();
    const auto moved = builder.apply(configuration, Now);
    EXPECT_EQ(moved->target(before).target, nullptr)
        << "bindings of the old service still point at the target";
    EXPECT_TRUE(moved->service(1)->targets.back().isQuarantined);
    EXPECT_EQ(builder.quarantine().endpoints.size(), 1U);
    configuration.version = 3;
    configuration.services[0].policy.bound = 3;
    EXPECT_TRUE(builder.apply(configuration, Now)->service(1)->targets.back().isQuarantined)
        << "a later version must not end the quarantine";
    EXPECT_FALSE(builder.releaseQuarantine()->service(1)->targets.back().isQuarantined);
    EXPECT_FALSE(builder.hasQuarantine());
}

TEST(InstanceOrder, LosingOneInstanceMovesOnlyItsServices)
{
    std::vector<InstanceId> instances;
    for (std::uint64_t number = 1; number <= 9; ++number) {
        instances.push_back({number * 1000});
    }
    std::vector<InstanceId> rest(instances.begin() + 1, instances.end());
    int moved = 0;
    for (int service = 0; service < 300; ++service) {
        const std::string name = "service-" + std::to_string(service);
        const InstanceId before = firstInstances(name, instances, 1).front();
        const InstanceId after = firstInstances(name, rest, 1).front();
        moved += before != after ? 1 : 0;
        if (before != instances.front()) {
            EXPECT_EQ(before, after);
        } else {
            EXPECT_EQ(after, firstInstances(name, instances, 2).back())
                << "the next instance in the order takes over";
        }
    }
    EXPECT_NEAR(moved, 300 / 9.0, 20);
}

} // namespace jasminequay
