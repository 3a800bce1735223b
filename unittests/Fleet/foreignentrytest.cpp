// Entries of other programs among those of the targets, at a fleet whose instances learn them in different
// ways: from the store's changes, from complete reads and from peers.
#include "fakecluster.h"

#include <gtest/gtest.h>

namespace jasminequay::fleet
{

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Returns an entry at the address of the cluster's target number zero.
static TargetRecord entryOf(const std::string &service)
{
    TargetRecord record;
    record.name = "x-1";
    record.identity = {901, 1};
    record.address = {{0x0a800000}, 8080};
    record.service = service;
    record.dataCentre = "dc-0";
    return record;
}

/// Tells at how many instances target number zero is listed and has its address.
static std::size_t listedAt(FakeCluster &cluster)
{
    const std::uint64_t key = TargetIdentity{1, 1}.key();
    return static_cast<std::size_t>(
        std::count_if(cluster.members.begin(), cluster.members.end(), [key](const FakeMember &member) {
            const KnownTarget *const target = member.engine->targets().find(key);
            return target != nullptr && target->presence == TargetPresence::Listed && !target->isDisplaced;
        }));
}

/// Guards against an entry of another program that ends a living target on one of the ways by which instances
/// learn of it (docs/incidents/9.md).
TEST(ForeignEntries, EndNoTargetHoweverTheyAreLearnt)
{
    FakeCluster cluster({6, 2});
    cluster.run(seconds(6));
    cluster.store.put(entryOf("asset-inventory"));
    cluster.run(seconds(4));
    EXPECT_EQ(listedAt(cluster), 6U) << "from changes";
    cluster.store.forgetHistory();
    cluster.store.faults.areWatchesSilent = true;
    cluster.run(seconds(2));
    cluster.store.faults.areWatchesSilent = false;
    cluster.run(seconds(4));
    EXPECT_EQ(listedAt(cluster), 6U) << "from complete reads";
    for (const std::size_t number : {1U, 4U}) {
        cluster.start(number);
    }
    cluster.run(seconds(4));
    EXPECT_EQ(listedAt(cluster), 6U) << "from peers";
    cluster.store.remove("x-1");
    cluster.run(seconds(4));
    EXPECT_EQ(listedAt(cluster), 6U) << "after its removal";
}

/// Guards against targets that stay unused because they published themselves before the routes named their
/// service, at instances that learnt them from the store and from peers.
TEST(ForeignEntries, CountOnceTheRoutesNameTheirService)
{
    FakeCluster cluster({6, 2});
    cluster.run(seconds(6));
    cluster.store.put(entryOf("guides"));
    cluster.run(seconds(2));
    for (const std::size_t number : {1U, 4U}) {
        cluster.start(number);
    }
    cluster.run(seconds(2));
    EXPECT_EQ(listedAt(cluster), 6U);
    cluster.store.changeRoutes({"desk", "guides"});
    cluster.run(seconds(1));
    EXPECT_EQ(listedAt(cluster), 0U) << "the address belongs to the newer target";
    for (const FakeMember &member : cluster.members) {
        const std::vector<KnownTarget *> &others = member.engine->targets().targetsOfService("desk");
        EXPECT_TRUE(std::none_of(others.begin(), others.end(),
            [](const KnownTarget *target) { return target->record.name == "i-0"; }));
        EXPECT_EQ(member.engine->targets().targetsOfService("guides").size(), 1U);
        EXPECT_EQ(member.control->revision(), cluster.store.revision());
    }
}

/// Guards against living targets that end at some instances because another program removes its copies of
/// their entries: a complete list names the copies first, and peers pass both on (docs/incidents/16.md).
TEST(ForeignEntries, ThatCopyTargetsMayComeAndGo)
{
    FakeCluster cluster({6, 2});
    const std::vector<TargetRecord> targets = cluster.store.readAll().update.targets;
    for (TargetRecord copy : targets) {
        copy.name = "copy-" + std::to_string(copy.identity.id);
        copy.service = "asset-inventory";
        cluster.store.put(copy);
    }
    cluster.run(seconds(6));
    EXPECT_EQ(listedAt(cluster), 6U) << "from complete reads";
    for (const std::size_t number : {1U, 4U}) {
        cluster.cutStore(number);
        cluster.start(number);
    }
    cluster.run(seconds(4));
    EXPECT_EQ(listedAt(cluster), 6U) << "from peers";
    for (const TargetRecord &target : targets) {
        cluster.store.remove("copy-" + std::to_string(target.identity.id));
    }
    cluster.run(seconds(6));
    EXPECT_EQ(listedAt(cluster), 6U) << "after their removal";
    for (const FakeMember &member : cluster.members) {
        EXPECT_EQ(member.engine->targets().targetsOfService("desk").size(), targets.size());
    }
}

} // namespace jasminequay::fleet
