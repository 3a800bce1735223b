// Tests of the limit of new flows to cold targets, with all instances of a fleet.
#include "jasminequay/Steering/coldtargetlimit.h"
#include "steeringfixture.h"

#include <gtest/gtest.h>

#include <array>
#include <cmath>
#include <numeric>
#include <random>
#include <set>

namespace jasminequay::steering
{

using std::chrono::hours;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// The bound that the tests allow: rate times factor, plus slack.
constexpr ColdTargetBound Bound{1.5, 5};
constexpr std::size_t Instances = 68;
constexpr std::size_t Targets = 12;

static std::string nameOf(std::size_t instance)
{
    return "10.1.0." + std::to_string(instance) + ":8166";
}

static std::string dataCentreOf(std::size_t instance)
{
    return instance < 24 ? "dc-1" : (instance < 47 ? "dc-2" : "dc-3");
}

/// The rates that a cold target bears: less than one flow per second, some, and more than there are
/// instances.
class ColdFleet : public testing::TestWithParam<double>
{
protected:
    ColdFleet()
    {
        for (std::size_t instance = 0; instance < Instances; ++instance) {
            addInstance(instance, dataCentreOf(instance), Start);
        }
        for (std::uint32_t number = 0; number < Targets; ++number) {
            KnownTarget &target = targets.emplace_back();
            target.record = targetOf(number);
            target.key = target.record.identity.key();
            target.coldUntil = Start + hours(24);
        }
        now = Start + ColdTargetLimit::JoinTime;
    }

    void addInstance(std::size_t instance, const std::string &dataCentre, TimePoint startedAt)
    {
        ColdTargetLimit &limit = limits.emplace_back(dataCentre);
        dataCentres.push_back(dataCentre);
        limit.setBound(Bound);
        limit.setSlowStarts({{"desk", {seconds(30), GetParam()}}});
        limit.start(nameOf(instance), startedAt);
    }

    /// Tells an instance of those others of its data centre for which `isSeen` holds.
    template <typename Predicate> void show(std::size_t instance, Predicate isSeen)
    {
        std::vector<RosterEntry> others;
        for (std::size_t other = 0; other < limits.size(); ++other) {
            if (other != instance && dataCentres[other] == dataCentres[instance] && isSeen(other)) {
                others.push_back({nameOf(other), false});
            }
        }
        limits[instance].setInstances(others, now);
    }

    void showAll()
    {
        for (std::size_t instance = 0; instance < limits.size(); ++instance) {
            show(instance, [](std::size_t) { return true; });
        }
    }

    /// Lets each instance try to open flows at all targets at random times for a while; `rateOf` gives the
    /// tries per second. Flows reach the targets after up to 20 ms.
    template <typename Rate> void run(Duration lasting, Rate rateOf)
    {
        std::vector<double> rates;
        for (std::size_t instance = 0; instance < limits.size(); ++instance) {
            rates.push_back(rateOf(instance));
        }
        std::discrete_distribution<std::size_t> pick(rates.begin(), rates.end());
        std::exponential_distribution<double> gap(std::accumulate(rates.begin(), rates.end(), 0.0));
        std::uniform_int_distribution<int> delay(500, 20000);
        for (const TimePoint end = now + lasting; now < end;) {
            now += std::chrono::duration_cast<Duration>(std::chrono::duration<double>(gap(random)));
            ColdTargetLimit &limit = limits[pick(random)];
            const std::size_t target = random() % Targets;
            if (limit.hasRoom(targets[target], now)) {
                limit.recordFlow(targets[target], now);
                arrivals[target].insert(now + microseconds(delay(random)));
            }
        }
    }

    void run(Duration lasting)
    {
        run(lasting, [](std::size_t) { return 200.0; });
    }

    /// Returns the most flows that any target received in any span of one second.
    [[nodiscard]] std::size_t peak() const
    {
        std::size_t most = 0;
        for (const auto &times : arrivals) {
            auto first = times.begin();
            std::size_t count = 0;
            for (const TimePoint time : times) {
                ++count;
                while (time - *first >= seconds(1)) {
                    ++first;
                    --count;
                }
                most = std::max(most, count);
            }
        }
        return most;
    }

    /// Returns the flows that an average target received.
    [[nodiscard]] double mean() const
    {
        std::size_t all = 0;
        for (const auto &times : arrivals) {
            all += times.size();
        }
        return static_cast<double>(all) / Targets;
    }

    /// The bound: `coldPerS` x `warmOver` + `warmSlack`.
    [[nodiscard]] static double bound()
    {
        return GetParam() * Bound.factor + Bound.slack;
    }

    std::vector<ColdTargetLimit> limits;
    std::vector<std::string> dataCentres;
    std::vector<KnownTarget> targets;
    std::array<std::multiset<TimePoint>, Targets> arrivals;
    TimePoint now = Start;
    std::mt19937_64 random{20261206};
};

/// Guards against a sum of shares above the room, and against room that nobody uses.
TEST_P(ColdFleet, EqualViewsUseTheRoomAndKeepTheBound)
{
    showAll();
    run(seconds(20));
    const double room = std::floor(std::max(GetParam(), bound() / 2 - 1));
    EXPECT_LE(static_cast<double>(peak()), room);
    EXPECT_GE(mean(), 0.85 * 20 * room);
}

/// Guards against a limit that only holds as long as all instances know the same others.
TEST_P(ColdFleet, AThirdOfTheInstancesMaySeeHalfOfTheMembers)
{
    showAll();
    for (std::size_t instance = 0; instance < Instances; instance += 3) {
        limits[instance] = ColdTargetLimit(dataCentres[instance]);
        limits[instance].setBound(Bound);
        limits[instance].setSlowStarts({{"desk", {seconds(30), GetParam()}}});
        limits[instance].start(nameOf(instance), Start);
        show(instance, [this](std::size_t) { return random() % 2 == 0; });
    }
    run(seconds(20));
    EXPECT_LE(static_cast<double>(peak()), bound());
}

/// Guards against both sides of a network partition using the whole room, also after the fleet has forgotten
/// the members on the other side.
TEST_P(ColdFleet, BothSidesOfAPartitionTogetherKeepTheBound)
{
    showAll();
    now += seconds(10);
    for (std::size_t instance = 0; instance < Instances; ++instance) {
        show(instance, [instance](std::size_t other) { return instance % 2 == other % 2; });
    }
    run(seconds(10));
    now += std::chrono::minutes(30);
    for (ColdTargetLimit &limit : limits) {
        limit.expire(now);
    }
    run(seconds(10));
    EXPECT_LE(static_cast<double>(peak()), bound());
}

/// Guards against instances that join with an incomplete list, also on one side of a partition only.
TEST_P(ColdFleet, JoinersKeepTheBound)
{
    showAll();
    run(seconds(5));
    const TimePoint joinedAt = now;
    for (std::size_t joiner = Instances; joiner < Instances + 6; ++joiner) {
        addInstance(joiner, "dc-1", joinedAt);
    }
    const auto mayKnow = [](std::size_t instance, std::size_t other) {
        return other < Instances || instance % 2 == other % 2;
    };
    for (int second = 0; second < 10; ++second) {
        for (std::size_t instance = 0; instance < limits.size(); ++instance) {
            show(instance, [&](std::size_t other) {
                const bool isMet = instance < Instances || second >= 4 || other % 4 <= std::size_t(second);
                return isMet && mayKnow(instance, other);
            });
        }
        run(seconds(1));
    }
    EXPECT_LE(static_cast<double>(peak()), bound());
}

/// Guards against instances that make up for the others' unused room.
TEST_P(ColdFleet, UnequalLoadKeepsTheBound)
{
    showAll();
    run(seconds(20), [](std::size_t instance) { return instance % 5 == 0 ? 2000.0 : 2.0; });
    EXPECT_LE(static_cast<double>(peak()), bound());
}

/// Guards against instances of other data centres, whose view of the target's instances may be old, and
/// against an instance that starts and knows nobody.
TEST_P(ColdFleet, RemoteAndStartingInstancesSendNothing)
{
    showAll();
    EXPECT_FALSE(limits[30].hasRoom(targets[0], now));
    ColdTargetLimit starting("dc-1");
    starting.setSlowStarts({{"desk", {seconds(30), GetParam()}}});
    EXPECT_FALSE(starting.hasRoom(targets[0], now));
    starting.start("new", now);
    EXPECT_FALSE(starting.hasRoom(targets[0], now + ColdTargetLimit::JoinTime - milliseconds(1)));
    EXPECT_TRUE(starting.hasRoom(targets[0], now + ColdTargetLimit::JoinTime));
}

INSTANTIATE_TEST_SUITE_P(Rates, ColdFleet, testing::Values(0.3, 2.0, 10.0, 25.0, 70.0));

/// Guards against rates below one flow per second becoming no flows, or one per second.
TEST(ColdTargetLimit, ARateBelowOneGivesOneFlowInALongerInterval)
{
    ColdTargetLimit limit("dc-1");
    limit.setSlowStarts({{"desk", {seconds(30), 0.25}}});
    limit.start("self", Start);
    KnownTarget target;
    target.record = targetOf(0);
    target.coldUntil = Start + hours(1);
    int flows = 0;
    for (TimePoint now = Start + seconds(10); now < Start + seconds(50); now += milliseconds(10)) {
        if (limit.hasRoom(target, now)) {
            limit.recordFlow(target, now);
            ++flows;
        }
    }
    EXPECT_EQ(flows, 10);
}

/// Guards against each instance sending its one flow at a rate below one per second.
TEST(ColdTargetLimit, ARateBelowOneIsUsedByOneInstanceOnly)
{
    std::vector<RosterEntry> all;
    for (std::size_t instance = 0; instance < 24; ++instance) {
        all.push_back({nameOf(instance), false});
    }
    KnownTarget target;
    target.record = targetOf(0);
    target.coldUntil = Start + hours(1);
    int senders = 0;
    for (std::size_t instance = 0; instance < 24; ++instance) {
        ColdTargetLimit limit("dc-1");
        limit.setSlowStarts({{"desk", {seconds(30), 0.25}}});
        std::vector<RosterEntry> others = all;
        others.erase(others.begin() + static_cast<std::ptrdiff_t>(instance));
        limit.start(nameOf(instance), Start);
        limit.setInstances(others, Start);
        senders += limit.hasRoom(target, Start + seconds(10)) ? 1 : 0;
    }
    EXPECT_EQ(senders, 1);
}

/// Guards against an instance that has left keeping its room, and one that is cut off losing it.
TEST(InstanceRoster, OnlyInstancesThatLeftLoseTheirPlace)
{
    InstanceRoster roster;
    roster.addSelf("self");
    roster.update({{"left", true}, {"cut", false}}, Start);
    EXPECT_EQ(roster.size(), 3U);
    roster.update({}, Start + seconds(1));
    EXPECT_EQ(roster.size(), 2U);
    roster.expire(Start + seconds(1) + InstanceRoster::VanishedLifetime);
    EXPECT_EQ(roster.size(), 2U);
    roster.expire(Start + seconds(2) + InstanceRoster::VanishedLifetime);
    EXPECT_EQ(roster.size(), 1U);
}

} // namespace jasminequay::steering
