// Tests of the evacuation table, and of where new flows go while a data centre is evacuated.
#include "steeringfixture.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>

namespace jasminequay::steering
{

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Guards against an older entry, or an older end, replacing a newer one when messages overtake each other.
TEST(EvacuationTable, TheHigherRevisionWinsInAnyOrder)
{
    std::vector<EvacuationRecord> changes{
        {"dc-1", 5, true}, {"dc-1", 7, false}, {"dc-1", 8, true}, {"dc-2", 6, true}, {"dc-2", 9, false}};
    std::mt19937_64 random(20261206);
    for (int round = 0; round < 100; ++round) {
        std::shuffle(changes.begin(), changes.end(), random);
        EvacuationTable table;
        for (const EvacuationRecord &change : changes) {
            table.mergeAll({change}, 0, Start);
        }
        EXPECT_EQ(table.evacuatedDataCentres(), std::vector<std::string>{"dc-1"});
    }
}

/// Guards against an evacuation that never ends because its removal was not seen.
TEST(EvacuationTable, ACompleteTableEndsWhatItLacks)
{
    EvacuationTable table;
    table.applyChanges({{"dc-1", 5, true}, {"dc-2", 9, true}}, 9, Start);
    table.mergeAll({}, 7, Start);
    EXPECT_FALSE(table.isEvacuated("dc-1"));
    EXPECT_TRUE(table.isEvacuated("dc-2")) << "its entry is newer than the table that lacks it";
    EXPECT_EQ(table.revision(), 9U);
}

/// Guards against a peer of an older version, which sends no table, ending an evacuation.
TEST(EvacuationTable, AMissingTableEndsNothing)
{
    EvacuationTable table;
    table.applyChanges({{"dc-1", 5, true}}, 5, Start);
    table.mergeAll({}, 0, Start);
    EXPECT_TRUE(table.isEvacuated("dc-1"));
}

/// Guards against messages that grow without bound, and against an entry whose end was forgotten coming back
/// from a peer that was paused.
TEST(EvacuationTable, ItsSizeIsBoundedAndForgottenEndsStand)
{
    EvacuationTable table;
    table.applyChanges({{"dc-1", 1, true}, {"dc-2", 2, true}, {"dc-2", 3, false}}, 3, Start);
    for (std::uint64_t revision = 4; revision < 400; revision += 2) {
        const std::string name = "zone-" + std::to_string(revision);
        table.applyChanges({{name, revision, true}, {name, revision + 1, false}}, revision + 1, Start);
    }
    EXPECT_LT(table.records().size(), 100U);
    table.mergeAll({{"dc-1", 1, true}, {"dc-2", 2, true}}, 2, Start);
    EXPECT_EQ(table.evacuatedDataCentres(), std::vector<std::string>{"dc-1"});
}

/// An instance in dc-1 with two targets there and two in dc-2.
class Evacuation : public testing::Test
{
protected:
    Evacuation()
        : instance(2)
    {
        for (const std::uint32_t number : {2U, 3U}) {
            TargetRecord record = targetOf(number);
            record.dataCentre = "dc-2";
            instance.engine.targets().put(record, instance.now);
        }
    }

    void evacuate(const std::string &dataCentre, bool isActive = true)
    {
        ++revision;
        instance.engine.targets().evacuations().applyChanges(
            {{dataCentre, revision, isActive}}, revision, instance.now);
    }

    [[nodiscard]] std::string dataCentreOf(const SteeringDecision &decision)
    {
        return instance.engine.targets().findByToken(decision.token)->record.dataCentre;
    }

    SteeredInstance instance;
    std::uint64_t revision = 1;
};

TEST_F(Evacuation, NewFlowsAvoidTheDataCentreUntilItEnds)
{
    EXPECT_EQ(dataCentreOf(instance.open(1)), "dc-1");
    evacuate("dc-1");
    for (std::uint32_t caller = 2; caller < 40; ++caller) {
        EXPECT_EQ(dataCentreOf(instance.open(caller)), "dc-2");
    }
    evacuate("dc-1", false);
    EXPECT_EQ(dataCentreOf(instance.open(40)), "dc-1");
}

/// Guards against resetting or moving flows that were open when the evacuation began.
TEST_F(Evacuation, OpenFlowsStay)
{
    const SteeringDecision opened = instance.open(1);
    evacuate("dc-1");
    const SteeringDecision data = instance.take(dataOf(1, opened.token, 1001, 5000, 100));
    EXPECT_EQ(data.action, SteeringAction::Forward);
    EXPECT_EQ(data.target, opened.target);
    EXPECT_TRUE(instance.engine.sweep(instance.now + seconds(1), 100).empty());
}

/// Guards against a copy of an opening packet, or a duplicated datagram, reaching the target that got the
/// first one before the evacuation.
TEST_F(Evacuation, CopiesDoNotReturnToTheEarlierTarget)
{
    EXPECT_EQ(dataCentreOf(instance.take(openingOf(1))), "dc-1");
    evacuate("dc-1");
    EXPECT_EQ(instance.take(openingOf(1)).action, SteeringAction::Drop);
    EXPECT_EQ(dataCentreOf(instance.take(openingOf(1, 1), milliseconds(200))), "dc-2");
    // A caller that reuses its port, long after its earlier opening packet.
    EXPECT_EQ(dataCentreOf(instance.take(openingOf(2))), "dc-2");
    evacuate("dc-1", false);
    evacuate("dc-2");
    EXPECT_EQ(dataCentreOf(instance.take(openingOf(2), seconds(3))), "dc-1");
}

/// Guards against silence, or a flow to an evacuated target, where nothing else is left. Neither depends on
/// whether the store answers now.
TEST_F(Evacuation, OpeningsAreRefusedAtOnceIfNothingElseIsLeft)
{
    evacuate("dc-1");
    evacuate("dc-2");
    const SteeringDecision refused = instance.take(openingOf(1));
    EXPECT_EQ(refused.action, SteeringAction::Reset);
    EXPECT_EQ(refused.cause, SteeringCause::Evacuated);
    EXPECT_EQ(instance.take(openingOf(1, 1), milliseconds(200)).action, SteeringAction::Reset);
    EXPECT_EQ(instance.take(openingOf(2), seconds(30)).action, SteeringAction::Reset);
}

/// Guards against refusing all callers of an evacuated data centre that is cut off from the store and from
/// the others: only its own targets can serve them. With word from the store, the evacuation holds.
TEST_F(Evacuation, ADataCentreThatIsCutOffUsesItsOwnTargets)
{
    evacuate("dc-1");
    EXPECT_EQ(dataCentreOf(instance.take(openingOf(1))), "dc-2");
    EXPECT_EQ(dataCentreOf(instance.take(openingOf(2), milliseconds(190))), "dc-2")
        << "the other data centre does not answer, but the store does";
    EXPECT_EQ(dataCentreOf(instance.take(openingOf(3), seconds(3))), "dc-2") << "one flow finds out";
    EXPECT_EQ(dataCentreOf(instance.take(openingOf(4), milliseconds(190))), "dc-1");
}

/// Guards against an evacuation that is ignored while the store answers: changes in quick succession prove
/// the state at the begin of each wait only, so the proof may be older than what counts as current, and an
/// opening on its way to another data centre looked like silence (docs/incidents/17.md, soak drills seed 1).
TEST_F(Evacuation, HoldsWhileTheStoreAnswersWithChanges)
{
    evacuate("dc-1");
    instance.now += seconds(3);
    instance.engine.markCurrentAt(instance.now - milliseconds(1400));
    instance.engine.targets().observe(instance.now);
    for (std::uint32_t caller = 1; caller < 10; ++caller) {
        EXPECT_EQ(dataCentreOf(instance.take(openingOf(caller), milliseconds(20))), "dc-2") << caller;
    }
}

TEST_F(Evacuation, OpeningsAreRefusedIfTheOtherTargetsDrain)
{
    evacuate("dc-1");
    for (const std::uint32_t number : {2U, 3U}) {
        TargetRecord record = targetOf(number, 2);
        record.dataCentre = "dc-2";
        record.isDraining = true;
        instance.engine.targets().put(record, instance.now);
    }
    EXPECT_EQ(instance.take(openingOf(1)).cause, SteeringCause::Evacuated);
}

/// Guards against a flow of another service of the route being refused because the first one's targets are
/// evacuated.
TEST_F(Evacuation, AnotherServiceOfTheRouteTakesTheFlow)
{
    RouteConfiguration routes = routesOf(2);
    routes.routes.front().services.push_back({"spare", 0.001});
    instance.engine.replaceRoutes(routes, instance.now);
    TargetRecord record = targetOf(9);
    record.service = "spare";
    record.dataCentre = "dc-3";
    instance.engine.targets().put(record, instance.now);
    evacuate("dc-1");
    evacuate("dc-2");
    EXPECT_EQ(dataCentreOf(instance.take(openingOf(1))), "dc-3");
}

/// Guards against ending an open flow by refusing a late duplicate of its opening packet.
TEST_F(Evacuation, ALateDuplicateOfAnOpenFlowIsNotRefused)
{
    instance.open(1);
    evacuate("dc-1");
    evacuate("dc-2");
    EXPECT_EQ(instance.take(openingOf(1), milliseconds(300)).action, SteeringAction::Drop);
}

} // namespace jasminequay::steering
