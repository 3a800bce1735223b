// Tests of single promises, each under the fault that is most likely to break it.
#include "fleetwork.h"

#include "jasminequay/Record/trafficsum.h"

#include <gtest/gtest.h>

namespace jasminequay
{

using std::chrono::milliseconds;
using std::chrono::seconds;

static void startFleet(
    FakeFleet &fleet, const std::vector<std::string> &names, const std::vector<ServiceSpec> &services)
{
    for (const std::string &name : names) {
        fleet.start(name);
    }
    fleet.publish(makeSettingsText(1, services));
    fleet.run(seconds(6));
}

/// Moves the last target of "codebook" to "bundles".
static std::vector<ServiceSpec> withMovedTarget()
{
    std::vector<ServiceSpec> services = defaultServices();
    services[1].targets.push_back(services[0].targets.back());
    services[0].targets.pop_back();
    return services;
}

/// Promise 2: while one instance is frozen on the old version, the moved target stays in quarantine and the
/// new service does not use it. Once the new service uses it, no packet of the old service reaches it.
TEST(Isolation, MovedTargetIsUnusedUntilAFrozenInstanceConfirms)
{
    FakeFleet fleet(7);
    FleetWorkload work(fleet, defaultServices());
    startFleet(fleet, {"a", "b", "c"}, defaultServices());
    work.openPeriodically(milliseconds(50));
    fleet.run(seconds(3));
    fleet.freeze("b", true);
    fleet.publish(makeSettingsText(2, withMovedTarget()));
    fleet.run(seconds(5));
    EXPECT_TRUE(fleet.at("a").control.settings().hasQuarantine());
    EXPECT_EQ(work.misdelivered(), 0U) << "the address still belongs to its old owner";
    fleet.freeze("b", false);
    work.moveTarget("10.2.0.4:80", "bundles");
    fleet.run(seconds(6));
    EXPECT_EQ(work.misdelivered(), 0U);
    for (const std::string &name : fleet.names()) {
        EXPECT_FALSE(fleet.at(name).control.settings().hasQuarantine()) << name;
    }
    EXPECT_GT(work.lastNewFlowAt("10.2.0.4:80"), fleet.now() - seconds(3))
        << "the moved target is never used";
}

/// Promise 2: an instance that joins while a moved target is in quarantine adopts the quarantine, although it
/// knows no earlier version to compare with.
TEST(Isolation, JoiningInstanceAdoptsTheQuarantineOfItsPeers)
{
    FakeFleet fleet(8);
    FleetWorkload work(fleet, defaultServices());
    startFleet(fleet, {"a", "b", "c"}, defaultServices());
    fleet.freeze("b", true);
    fleet.publish(makeSettingsText(2, withMovedTarget()));
    fleet.run(seconds(3));
    fleet.start("joiner");
    fleet.run(seconds(4));
    EXPECT_TRUE(fleet.at("joiner").control.settings().hasQuarantine());
    work.openPeriodically(milliseconds(20));
    fleet.run(seconds(3));
    EXPECT_EQ(work.misdelivered(), 0U);
    EXPECT_EQ(work.lastNewFlowAt("10.2.0.4:80"), TimePoint{})
        << "the target is used before all instances have confirmed";
}

/// Promise 4: a flow that is refused as "not run" has never reached a target, at the connection limit and
/// while owners change.
TEST(Refusal, RefusedFlowsReachNoTargetWhileOwnersFail)
{
    std::vector<ServiceSpec> services = defaultServices();
    for (ServiceSpec &service : services) {
        service.settings += "\n        connection-limit: 3";
    }
    for (const std::uint64_t seed : {1, 2, 3}) {
        FakeFleet fleet(seed);
        FleetWorkload work(fleet, services);
        startFleet(fleet, {"a", "b", "c", "d"}, services);
        work.openPeriodically(milliseconds(30));
        fleet.run(seconds(6));
        fleet.kill("b");
        fleet.run(seconds(4));
        fleet.start("b");
        fleet.run(seconds(8));
        EXPECT_GT(work.refused(), 50U) << "the limit refused too few flows to test";
        EXPECT_EQ(work.refusedButDelivered(), 0U);
        EXPECT_EQ(work.misdelivered(), 0U);
    }
}

/// Promise 5: a flow that may not run twice stays at one target while targets drain and return, instances
/// have different settings versions, owners fail and messages are lost.
TEST(AtMostOnce, HoldsWhileTargetsChangeAndOwnersFail)
{
    for (const std::uint64_t seed : {1, 2, 3, 4, 5, 6}) {
        SCOPED_TRACE(seed);
        FakeFleet fleet(seed);
        FleetWorkload work(fleet, defaultServices());
        startFleet(fleet, {"a", "b", "c", "d", "e"}, defaultServices());
        fleet.faults = {0.2, 0.1, milliseconds(2), milliseconds(50)};
        work.openPeriodically(milliseconds(20));
        fleet.run(seconds(2));
        std::vector<ServiceSpec> services = defaultServices();
        std::uint64_t version = 1;
        for (std::size_t round = 0; round < 4; ++round) {
            services[2].targets[round].state = "draining";
            fleet.freeze("e", round % 2 == 0);
            fleet.publish(makeSettingsText(++version, services));
            fleet.run(milliseconds(700));
            if (round == 1) {
                fleet.kill("b");
            }
            fleet.run(milliseconds(900));
            services[2].targets[round].state = "serving";
        }
        fleet.unlist("b");
        fleet.run(seconds(20));
        EXPECT_EQ(work.flowsAtSeveralTargets("reserve"), 0U);
        EXPECT_GT(work.answered(), 300U) << "the service answered too few flows";
    }
}

/// Promise 5: requests that await an answer from a target that the settings remove, or remove and add again,
/// reach no other target, whichever instance receives the resent datagram.
TEST(AtMostOnce, HoldsForRequestsAtATargetThatIsRemoved)
{
    for (const std::uint64_t seed : {1, 2, 3}) {
        SCOPED_TRACE(seed);
        FakeFleet fleet(seed);
        FleetWorkload work(fleet, defaultServices());
        startFleet(fleet, {"a", "b", "c", "d"}, defaultServices());
        work.setTargetsSilent(true);
        for (int flow = 0; flow < 100; ++flow) {
            work.openUdp("reserve");
        }
        fleet.run(milliseconds(400));
        std::vector<ServiceSpec> services = defaultServices();
        services[2].targets.erase(services[2].targets.begin());
        fleet.publish(makeSettingsText(2, services));
        fleet.run(seconds(2));
        fleet.publish(makeSettingsText(3, defaultServices()));
        fleet.run(milliseconds(300));
        services[2].targets.front().state = "draining";
        fleet.publish(makeSettingsText(4, services));
        fleet.run(seconds(6));
        EXPECT_EQ(work.flowsAtSeveralTargets("reserve"), 0U);
    }
}

/// Returns a service whose flows may stay idle for longer than instances cache their bindings.
static std::vector<ServiceSpec> idleService()
{
    return {{"names", "10.1.0.4:53", "udp", "placement: least\n        idle-timeout: 10m",
        {{"10.2.3.1:53"}, {"10.2.3.2:53"}, {"10.2.3.3:53"}, {"10.2.3.4:53"}, {"10.2.3.5:53"}}}};
}

static void openIdleFlows(FakeFleet &fleet, FleetWorkload &work)
{
    startFleet(fleet, {"a", "b", "c"}, idleService());
    for (int flow = 0; flow < 200; ++flow) {
        work.openUdp("names");
        fleet.run(milliseconds(10));
    }
    fleet.run(seconds(45));
    EXPECT_EQ(work.answered(), 200U);
}

/// Promise 1: flows whose bindings only their owner still has are handed over when it leaves.
TEST(IdleFlows, SurviveARollingReplacement)
{
    FakeFleet fleet(4);
    FleetWorkload work(fleet, idleService());
    openIdleFlows(fleet, work);
    for (const std::string &name : fleet.names()) {
        fleet.start(name + "-new");
        fleet.run(seconds(4));
        fleet.leave(name);
        fleet.run(seconds(5));
        fleet.kill(name);
        fleet.unlist(name);
    }
    work.resendAllUdp();
    fleet.run(seconds(15));
    EXPECT_EQ(work.answered(), 200U);
    EXPECT_EQ(work.flowsAtSeveralTargets("names"), 0U);
}

/// Bindings that differ from the choice of the service table are recovered from the backup when their owner
/// fails.
TEST(IdleFlows, SurviveTheFailureOfTheirOwner)
{
    FakeFleet fleet(4);
    FleetWorkload work(fleet, idleService());
    openIdleFlows(fleet, work);
    for (const std::string &name : fleet.names()) {
        if (fleet.at(name).control.owns(0)) {
            fleet.kill(name);
        }
    }
    EXPECT_EQ(fleet.names().size(), 2U);
    fleet.run(seconds(4));
    work.resendAllUdp();
    fleet.run(seconds(15));
    EXPECT_EQ(work.answered(), 200U);
    EXPECT_EQ(work.flowsAtSeveralTargets("names"), 0U);
}

/// Promise 6: a draining target gets no new flow later than three seconds after the platform publishes the
/// drain, also from instances that cannot reach the platform.
TEST(Drain, NoNewFlowAfterThreeSeconds)
{
    for (const std::uint64_t seed : {1, 2, 3}) {
        FakeFleet fleet(seed);
        FleetWorkload work(fleet, defaultServices());
        startFleet(fleet, {"a", "b", "c", "d", "e", "f", "g", "h", "i"}, defaultServices());
        work.openPeriodically(milliseconds(20));
        fleet.run(seconds(2));
        std::vector<ServiceSpec> services = defaultServices();
        services[0].targets[1].state = "draining";
        services[1].targets[1].state = "draining";
        services[2].targets[1].state = "draining";
        const TimePoint published = fleet.now();
        fleet.publish(makeSettingsText(2, services));
        fleet.run(seconds(10));
        for (const char *const target : {"10.2.0.2:80", "10.2.1.2:80", "10.2.2.2:53"}) {
            EXPECT_LT(work.lastNewFlowAt(target), published + seconds(3)) << target;
        }
        EXPECT_EQ(work.broken(), 0U) << work.brokenFlowReasons();
    }
}

/// Promise 8: a version is in force at nine instances within five seconds. Neither an older version from the
/// platform nor conflicting content with the same version number reverts it.
TEST(Settings, TakeEffectWithinFiveSecondsAndNeverRevert)
{
    FakeFleet fleet(3);
    const std::vector<std::string> names{"a", "b", "c", "d", "e", "f", "g", "h", "i"};
    startFleet(fleet, names, defaultServices());
    std::vector<ServiceSpec> services = defaultServices();
    services[0].targets.pop_back();
    fleet.publish(makeSettingsText(2, services));
    fleet.run(seconds(5));
    for (const std::string &name : names) {
        EXPECT_EQ(fleet.at(name).control.settings().version(), 2U) << name;
        EXPECT_EQ(fleet.at(name).control.settings().confirmations().confirmedBy(
                      fleet.at(name).control.members(), 2),
            8U)
            << name;
    }
    fleet.publish(makeSettingsText(1, defaultServices()));
    fleet.run(seconds(3));
    fleet.publish(makeSettingsText(2, defaultServices()));
    fleet.start("late");
    fleet.run(seconds(5));
    for (const std::string &name : fleet.names()) {
        EXPECT_EQ(fleet.at(name).control.settings().version(), 2U) << name;
        EXPECT_EQ(fleet.at(name)
                      .control.settings()
                      .catalogue()
                      ->serviceAt(*parseEndpoint("10.1.0.1:443"), Protocol::Tcp)
                      ->targets.size(),
            3U)
            << name;
    }
}

/// Settings with mistakes are refused and have no effect.
TEST(Settings, MistakesLeaveTheLastGoodVersionInForce)
{
    FakeFleet fleet(3);
    startFleet(fleet, {"a", "b"}, defaultServices());
    fleet.publish("version: 2\ngroup: [");
    fleet.run(seconds(2));
    std::vector<ServiceSpec> services = defaultServices();
    services[1].targets.push_back(services[0].targets.front());
    fleet.publish(makeSettingsText(3, services));
    fleet.run(seconds(2));
    for (const std::string &name : fleet.names()) {
        EXPECT_EQ(fleet.at(name).control.settings().version(), 1U) << name;
    }
}

/// The records of all instances sum exactly to the bytes that the fabric carried to and from the targets,
/// also when instances join and leave.
TEST(Records, SumsEqualTheBytesOfTheTargets)
{
    FakeFleet fleet(11);
    FleetWorkload work(fleet, defaultServices());
    startFleet(fleet, {"a", "b", "c"}, defaultServices());
    work.openPeriodically(milliseconds(40));
    fleet.run(seconds(5));
    fleet.start("d");
    fleet.run(seconds(3));
    fleet.leave("a");
    fleet.run(seconds(2));
    fleet.unreachable.insert("a");
    fleet.run(seconds(3));
    work.openPeriodically({});
    fleet.run(seconds(12));
    std::vector<ConnectionRecord> records;
    for (const std::string &name : fleet.names()) {
        FakeInstance &instance = fleet.at(name);
        instance.engine.flushRecords();
        instance.step(fleet.now());
        for (const FlowRecord &flow : instance.records) {
            records.push_back({RecordKind::Flow, name, 1, records.size() + 1, 0, flow});
        }
    }
    TrafficSum total;
    for (const auto &[key, sum] : sumTraffic(records)) {
        total.bytesUp += sum.bytesUp;
        total.bytesDown += sum.bytesDown;
        total.flows += sum.flows;
    }
    EXPECT_EQ(total.bytesUp, work.targetBytes().first);
    EXPECT_EQ(total.bytesDown, work.targetBytes().second);
}

/// The failure of an instance loses exactly the bytes that it had not yet written to records, which are at
/// most those that it forwarded in one record interval.
TEST(Records, InstanceFailureLosesAtMostOneInterval)
{
    FakeFleet fleet(12);
    FleetWorkload work(fleet, defaultServices());
    startFleet(fleet, {"a", "b", "c"}, defaultServices());
    work.openPeriodically(milliseconds(40));
    fleet.run(seconds(5));
    const std::uint64_t forwardedBefore = fleet.at("b").counters().bytesToTargets;
    // The record interval of the settings is two seconds, and one pass of the sweep takes up to half a
    // second.
    fleet.run(milliseconds(2600));
    const std::uint64_t forwarded = fleet.at("b").counters().bytesToTargets;
    std::uint64_t written = 0;
    for (const FlowRecord &record : fleet.at("b").records) {
        written += record.bytesUp;
    }
    fleet.kill("b");
    work.openPeriodically({});
    fleet.run(seconds(20));
    std::uint64_t total = 0;
    for (const FlowRecord &record : fleet.records) {
        total += record.bytesUp;
    }
    for (const std::string &name : fleet.names()) {
        fleet.at(name).engine.flushRecords();
        fleet.at(name).step(fleet.now());
        for (const FlowRecord &record : fleet.at(name).records) {
            total += record.bytesUp;
        }
    }
    const std::uint64_t lost = work.targetBytes().first - total;
    EXPECT_EQ(lost, forwarded - written);
    EXPECT_LE(lost, forwarded - forwardedBefore);
    EXPECT_GT(lost, 0U) << "nothing was lost, so the test checks nothing";
}

/// Nine instances send less than 4096 bytes of control messages per second each while flows open and end.
TEST(Control, StaysWithinItsBandwidthBudget)
{
    FakeFleet fleet(5);
    FleetWorkload work(fleet, defaultServices());
    startFleet(fleet, {"a", "b", "c", "d", "e", "f", "g", "h", "i"}, defaultServices());
    work.openPeriodically(milliseconds(10));
    const std::uint64_t before = fleet.controlBytes();
    fleet.run(seconds(10));
    EXPECT_LT((fleet.controlBytes() - before) / 9 / 10, 4096U);
}

} // namespace jasminequay
