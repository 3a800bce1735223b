// Tests as of when one instance considers its routes and targets complete, and which of what it receives it
// uses.
#include "jasminequay/Fleet/fleetcontrol.h"

#include <gtest/gtest.h>

namespace jasminequay::fleet
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint Start(std::chrono::hours(1));
constexpr Endpoint OwnControl{{1}, 8166};
constexpr Endpoint PeerControl{{2}, 8166};

static FleetSettings settingsOf(Endpoint control)
{
    FleetSettings settings;
    settings.control = control;
    settings.dataCentre = "dc-0";
    return settings;
}

static RouteConfiguration routesOf(std::uint64_t version)
{
    return {version, seconds(15), {}, {}};
}

/// One instance, and what a peer of its data centre sends to it.
class CurrentDirectory : public testing::Test
{
protected:
    CurrentDirectory()
        : engine({})
        , control(settingsOf(OwnControl), engine, Start)
    {
    }

    /// Returns a message of the peer, which reads the store.
    static FleetMessage messageOf(std::uint64_t revision, std::uint64_t routesVersion, Duration age)
    {
        DigestEntry entry;
        entry.control = PeerControl;
        entry.instance = format(PeerControl);
        entry.dataCentre = "dc-0";
        entry.incarnation = 1;
        FleetMessage message;
        message.sender = entry.instance;
        message.digest.peerControl = PeerControl;
        message.digest.entries.push_back(entry);
        message.status = {true, revision, routesVersion, age, true, revision, revision, {}};
        return message;
    }

    /// Returns the peer's response to a fetch.
    static FetchResponse responseOf(std::uint64_t after, std::uint64_t revision, std::uint64_t routesVersion)
    {
        FetchResponse response;
        response.after = after;
        response.age = milliseconds(100);
        response.update.isComplete = after == 0;
        response.update.revision = revision;
        response.update.routes = routesOf(routesVersion);
        response.routesRevision = revision;
        return response;
    }

    SteeringEngine engine;
    FleetControl control;
};

/// Guards against a fetched directory being taken for newer than it is, when the instance is paused while the
/// response waits in its socket.
TEST_F(CurrentDirectory, AFetchResponseIsNoFresherThanItsRequest)
{
    ASSERT_TRUE(control.onMessage(messageOf(7, 1, milliseconds(100)), Start).fetch);
    control.onFetchResponse(responseOf(0, 7, 1), Start + seconds(5));
    EXPECT_TRUE(control.isLoaded());
    EXPECT_EQ(engine.currentAt(), Start - milliseconds(100));
}

/// Guards against discarding routes that took long to fetch because a message has raised the revision
/// meanwhile: while targets change all the time, the routes would never be in force.
TEST_F(CurrentDirectory, FetchedRoutesAreUsedThoughTargetsHaveChangedMeanwhile)
{
    ASSERT_TRUE(control.onMessage(messageOf(7, 1, milliseconds(100)), Start).fetch);
    control.onFetchResponse(responseOf(0, 7, 1), Start + milliseconds(10));
    for (const std::uint64_t revision : {8U, 9U}) {
        FleetMessage message = messageOf(revision, 2, Duration::zero());
        message.changes = {7, revision, 0, {}, {}};
        const auto at = Start + milliseconds(100) * revision;
        EXPECT_EQ(control.onMessage(message, at).fetch.has_value(), revision == 8) << "one fetch at a time";
    }
    control.onFetchResponse(responseOf(8, 8, 2), Start + seconds(1));
    EXPECT_EQ(engine.routes().configuration().version, 2U);
    EXPECT_EQ(control.revision(), 9U);
    EXPECT_EQ(control.nextRead(Start + seconds(1)).after, 8U);
}

/// Guards against taking an answer that brought only routes, and was handled late, for one that found nothing
/// until the end of its wait: what changed after it is not known yet.
TEST_F(CurrentDirectory, AnAnswerWithRoutesOnlyProvesNothingAfterItsRead)
{
    StoreAnswer answer;
    answer.outcome = StoreOutcome::Answered;
    answer.update.isComplete = true;
    answer.update.revision = 5;
    answer.update.routes = routesOf(1);
    control.onStoreAnswer(answer, Start, Start + milliseconds(10));
    answer.update.isComplete = false;
    answer.update.revision = 6;
    answer.update.routes = routesOf(2);
    const TimePoint startedAt = Start + milliseconds(20);
    control.onStoreAnswer(answer, startedAt, startedAt + seconds(5));
    EXPECT_EQ(engine.currentAt(), startedAt);
}

} // namespace jasminequay::fleet
