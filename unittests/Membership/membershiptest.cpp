#include "jasminequay/Membership/confirmations.h"
#include "jasminequay/Membership/membertable.h"
#include "jasminequay/Membership/settingsledger.h"

#include <gtest/gtest.h>

#include <memory>

namespace jasminequay
{

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Member tables that exchange heartbeats over a network whose links can be cut.
class MemberNetwork
{
public:
    explicit MemberNetwork(std::size_t size)
    {
        InstanceList list;
        list.version = 1;
        for (std::size_t number = 0; number < size; ++number) {
            const std::string name = nameOf(number);
            list.instances.push_back({name, "dc", endpointOf(number), endpointOf(number), false});
            DigestEntry self;
            self.instance = name;
            self.incarnation = 1;
            tables.push_back(std::make_unique<MemberTable>(
                self, endpointOf(number), endpointOf(number), MembershipTiming{}, now, number + 1));
            tables.back()->setPhase(MemberPhase::Ready);
        }
        for (const auto &table : tables) {
            table->adoptList(list, now);
        }
        frozen.resize(size);
        cuts.assign(size, std::vector<bool>(size));
        run(seconds(4));
    }

    static std::string nameOf(std::size_t number)
    {
        return "m" + std::to_string(number);
    }

    void run(Duration duration)
    {
        for (const TimePoint end = now + duration; now < end;) {
            now += milliseconds(250);
            for (std::size_t from = 0; from < tables.size(); ++from) {
                if (!frozen[from]) {
                    deliver(from, tables[from]->tick(now));
                }
            }
        }
    }

    std::vector<std::unique_ptr<MemberTable>> tables;
    std::vector<bool> frozen;
    std::vector<std::vector<bool>> cuts;
    TimePoint now{seconds(1000)};
    std::size_t digests = 0;
    std::size_t mostEntries = 0;

private:
    static Endpoint endpointOf(std::size_t number)
    {
        return {{0x7f000001}, static_cast<std::uint16_t>(1000 + number)};
    }

    void deliver(std::size_t from, const std::vector<OutgoingDigest> &outgoing)
    {
        for (const OutgoingDigest &digest : outgoing) {
            const std::size_t to = std::stoul(digest.to.substr(1));
            ++digests;
            mostEntries = std::max(mostEntries, digest.digest.entries.size());
            if (!frozen[to] && !cuts[from][to]) {
                deliver(to, tables[to]->onDigest(nameOf(from), digest.digest, now));
            }
        }
    }
};

TEST(Membership, AllMembersFindEachOther)
{
    const MemberNetwork network(9);
    for (const auto &table : network.tables) {
        EXPECT_EQ(table->eligible().size(), 9U);
    }
}

TEST(Membership, ASilentMemberIsRemovedAfterItsLeaseAndRejoins)
{
    MemberNetwork network(5);
    network.frozen[2] = true;
    network.run(seconds(4));
    EXPECT_EQ(network.tables[0]->eligible().size(), 4U);
    EXPECT_GT(network.tables[0]->lastLossAt(), network.now - seconds(4));
    network.frozen[2] = false;
    network.run(seconds(3));
    EXPECT_EQ(network.tables[0]->eligible().size(), 5U);
}

/// Guards against a member being taken for dead because one link fails in one or both directions: other
/// members relay its heartbeats.
TEST(Membership, CutLinksRemoveNoMember)
{
    MemberNetwork network(5);
    network.cuts[0][1] = true;
    network.cuts[2][3] = network.cuts[3][2] = true;
    network.run(seconds(20));
    for (const auto &table : network.tables) {
        EXPECT_EQ(table->eligible().size(), 5U);
    }
}

TEST(Membership, AnIsolatedInstanceKeepsItsViewForAWhile)
{
    MemberNetwork network(5);
    for (std::size_t other = 1; other < 5; ++other) {
        network.cuts[other][0] = true;
    }
    network.run(seconds(4));
    EXPECT_EQ(network.tables[0]->eligible().size(), 5U);
    network.run(seconds(10));
    EXPECT_EQ(network.tables[0]->eligible().size(), 1U);
}

TEST(Membership, APausedInstanceIsFencedUntilItsPeersAnswer)
{
    MemberNetwork network(4);
    network.frozen[1] = true;
    network.run(seconds(5));
    network.frozen[1] = false;
    EXPECT_LT(network.tables[1]->leaseUntil(), network.now) << "its lease has run out before it acts";
    const std::vector<OutgoingDigest> questions = network.tables[1]->tick(network.now);
    EXPECT_TRUE(network.tables[1]->isFenced());
    EXPECT_EQ(questions.size(), 3U) << "it sends a heartbeat to every member";
    network.run(seconds(1));
    EXPECT_FALSE(network.tables[1]->isFenced());
    EXPECT_GT(network.tables[1]->rejoinedAt(), network.now - seconds(2));
}

/// Guards against an instance acting on old settings after a pause: it may have been removed from the list
/// meanwhile, so that the others no longer wait for its confirmation.
TEST(Membership, APausedInstanceIsFencedUntilItsSettingsAreCurrent)
{
    MemberNetwork network(4);
    network.frozen[1] = true;
    for (const std::size_t other : {0U, 2U, 3U}) {
        network.tables[other]->setSettingsVersion(5);
    }
    network.run(seconds(5));
    network.frozen[1] = false;
    network.run(seconds(1));
    EXPECT_TRUE(network.tables[1]->isFenced());
    network.tables[1]->setSettingsVersion(5);
    network.run(seconds(1));
    EXPECT_FALSE(network.tables[1]->isFenced());
}

TEST(Membership, ARestartUnderTheSameNameIsALossAndANewMember)
{
    MemberNetwork network(3);
    DigestEntry self;
    self.instance = "m1";
    self.incarnation = 2;
    network.tables[0]->onDigest("m1", {{self}, {}, {}, false}, network.now);
    EXPECT_EQ(network.tables[0]->members().at("m1").known.incarnation, 2U);
    EXPECT_EQ(network.tables[0]->lastLossAt(), network.now);
}

TEST(Membership, OlderListsAndEntriesNotOfTheSenderAreIgnored)
{
    MemberNetwork network(3);
    network.tables[0]->adoptList({}, network.now);
    EXPECT_EQ(network.tables[0]->eligible().size(), 3U);
    DigestEntry claimed;
    claimed.instance = "m2";
    claimed.incarnation = 99;
    network.tables[0]->onDigest("m1", {{claimed}, {}, {}, false}, network.now);
    EXPECT_EQ(network.tables[0]->members().at("m2").known.incarnation, 1U);
}

TEST(Membership, TheWatcherChangesWhenItCannotReachThePlatform)
{
    MemberNetwork network(4);
    const InstanceId watcher = network.tables[0]->platformWatcher();
    for (const auto &table : network.tables) {
        EXPECT_EQ(table->platformWatcher(), watcher);
        table->setPlatformFailing(instanceIdOf(table->self().instance) == watcher);
    }
    network.run(seconds(3));
    const InstanceId next = network.tables[0]->platformWatcher();
    EXPECT_NE(next, watcher);
    for (const auto &table : network.tables) {
        EXPECT_EQ(table->platformWatcher(), next);
    }
}

TEST(Membership, ALeavingMemberOwnsNothingAndStillAnswers)
{
    MemberNetwork network(3);
    network.tables[2]->setPhase(MemberPhase::Leaving);
    network.run(seconds(2));
    EXPECT_EQ(network.tables[0]->eligible().size(), 2U);
    EXPECT_EQ(network.tables[0]->reachable().size(), 2U);
}

/// Guards against false failures and against heartbeats that grow in size or number in a data centre of 83
/// instances, the size expected in two years.
TEST(Membership, NoFalseFailuresAtEightyThreeInstances)
{
    MemberNetwork network(83);
    network.run(seconds(10));
    network.digests = 0;
    network.run(seconds(20));
    for (const auto &table : network.tables) {
        EXPECT_EQ(table->eligible().size(), 83U);
    }
    EXPECT_LE(network.mostEntries, 24U);
    EXPECT_LE(network.digests, 83U * 3 * 80 * 3 / 2);
}

TEST(Ledger, VersionsOnlyIncrease)
{
    SettingsLedger ledger;
    const auto tree = [](int version, const char *group) {
        return "version: " + std::to_string(version) + "\ngroup: " + group + "\n";
    };
    EXPECT_EQ(ledger.offer(tree(2, "a")), OfferOutcome::Accepted);
    EXPECT_EQ(ledger.offer(tree(2, "a")), OfferOutcome::Stale);
    EXPECT_EQ(ledger.offer(tree(2, "b")), OfferOutcome::Conflicting);
    EXPECT_EQ(ledger.offer(tree(1, "a")), OfferOutcome::Stale);
    EXPECT_EQ(ledger.offer("version: 9\n"), OfferOutcome::Refused);
    EXPECT_EQ(ledger.version(), 2U);
    EXPECT_EQ(ledger.configuration().group, "a");
}

TEST(Confirmations, WaitForEveryListedMemberAndForMissingBindings)
{
    MemberNetwork network(3);
    MemberTable &table = *network.tables[0];
    Confirmations confirmations;
    const auto isSettled = [&](TimePoint now) {
        return confirmations.isSettled(table, 7, seconds(2), seconds(30), now);
    };
    EXPECT_TRUE(confirmations.confirm("m1", {7, 1, 0}, 0));
    EXPECT_FALSE(confirmations.confirm("m2", {7, 1, 3}, 2)) << "a binding is missing";
    EXPECT_FALSE(isSettled(network.now));
    EXPECT_TRUE(confirmations.confirm("m2", {7, 1, 3}, 3));
    EXPECT_TRUE(isSettled(network.now));
    EXPECT_FALSE(confirmations.isSettled(table, 8, seconds(2), seconds(30), network.now));
}

TEST(Confirmations, ALostMemberDelaysTheReleaseByTheLifetimeOfItsFlows)
{
    MemberNetwork network(3);
    MemberTable &table = *network.tables[0];
    Confirmations confirmations;
    confirmations.confirm("m1", {7, 1, 0}, 0);
    network.frozen[2] = true;
    network.run(seconds(5));
    EXPECT_FALSE(confirmations.isSettled(table, 7, seconds(2), seconds(30), network.now))
        << "the list still contains the lost member";
    InstanceList list;
    list.version = 2;
    list.instances.push_back({"m0", "dc", {}, {}, false});
    list.instances.push_back({"m1", "dc", {}, {}, false});
    table.adoptList(list, network.now);
    EXPECT_FALSE(confirmations.isSettled(table, 7, seconds(2), seconds(30), network.now));
    EXPECT_TRUE(confirmations.isSettled(table, 7, seconds(2), seconds(30), network.now + seconds(31)));
}

} // namespace jasminequay
