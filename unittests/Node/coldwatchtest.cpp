// Tests of how the limit of cold targets follows the membership, and of its log events.
#include "jasminequay/Node/coldwatch.h"
#include "jasminequay/Support/logevent.h"

#include <gtest/gtest.h>

namespace jasminequay
{

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// An instance with many cold targets, each of which may get two flows per second.
class ColdWatchTest : public testing::Test
{
protected:
    ColdWatchTest()
        : engine({"dc-1", 1024, seconds(60), milliseconds(1500), {}, {}})
        , members(entryOf("self", "dc-1"), {}, {}, timing(), now, 1)
    {
        setLogSink(
            [this](Severity, std::string_view event, const std::string &) { events.emplace_back(event); });
        engine.coldTargets().setSlowStarts({{"desk", {seconds(30), 2}}});
        engine.coldTargets().start("self", now - hours(1));
    }

    ~ColdWatchTest() override
    {
        setLogSink({});
    }

    static DigestEntry entryOf(const std::string &name, const std::string &dataCentre)
    {
        DigestEntry entry;
        entry.instance = name;
        entry.dataCentre = dataCentre;
        return entry;
    }

    static MembershipTiming timing()
    {
        MembershipTiming timing;
        timing.learnsMembers = true;
        return timing;
    }

    void hear(const std::string &name, const std::string &dataCentre, MemberPhase phase)
    {
        Digest digest;
        digest.entries.push_back(entryOf(name, dataCentre));
        digest.entries.back().heartbeat = ++heartbeat;
        digest.entries.back().phase = phase;
        members.onDigest(name, digest, now);
        watch.tick(engine, members, now);
    }

    /// Returns the flows that this instance may send at once to a hundred cold targets.
    int room()
    {
        now += seconds(2);
        int flows = 0;
        KnownTarget target;
        target.record.service = "desk";
        target.record.dataCentre = "dc-1";
        target.coldUntil = now + hours(1);
        for (target.key = 1; target.key <= 100; ++target.key) {
            while (engine.coldTargets().hasRoom(target, now)) {
                engine.coldTargets().recordFlow(target, now);
                ++flows;
            }
        }
        return flows;
    }

    TimePoint now = TimePoint(hours(2));
    SteeringEngine engine;
    MemberTable members;
    ColdWatch watch;
    std::vector<std::string> events;
    std::uint64_t heartbeat = 0;
};

/// Guards against room that is divided among instances elsewhere, or among too few.
TEST_F(ColdWatchTest, TheRoomIsDividedAmongTheInstancesOfTheDataCentre)
{
    watch.tick(engine, members, now);
    EXPECT_EQ(room(), 200);
    hear("remote", "dc-2", MemberPhase::Ready);
    EXPECT_EQ(room(), 200);
    hear("second", "dc-1", MemberPhase::Ready);
    EXPECT_EQ(room(), 100);
    hear("third", "dc-1", MemberPhase::Ready);
    EXPECT_NEAR(room(), 67, 12);
}

/// Guards against an instance that left keeping its part, and against losing the part of one that is cut off.
TEST_F(ColdWatchTest, OnlyAnInstanceThatLeftGivesUpItsPart)
{
    hear("second", "dc-1", MemberPhase::Ready);
    hear("third", "dc-1", MemberPhase::Leaving);
    for (int beat = 0; beat < 600; ++beat) {
        now += milliseconds(250);
        members.tick(now);
        hear("fourth", "dc-1", MemberPhase::Ready);
    }
    ASSERT_EQ(members.members().size(), 1U);
    EXPECT_NEAR(room(), 67, 12);
}

/// Guards against a log line for each opening.
TEST_F(ColdWatchTest, OnlyTransitionsAreLogged)
{
    for (int tick = 0; tick < 100; ++tick) {
        now += milliseconds(50);
        engine.coldTargets().recordPassedOver("desk", now);
        watch.tick(engine, members, now);
    }
    EXPECT_EQ(events, (std::vector<std::string>{"cold-limit-begun"}));
    now += ColdWatch::QuietTime;
    watch.tick(engine, members, now);
    EXPECT_EQ(events, (std::vector<std::string>{"cold-limit-begun", "cold-limit-ended"}));
}

} // namespace jasminequay
