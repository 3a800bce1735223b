// Heartbeats and the view of owners.
#include "fixtures.h"

#include "jasminequay/Membership/membertable.h"
#include "jasminequay/Peer/controlmessage.h"

#include <benchmark/benchmark.h>

namespace jasminequay::bench
{

static std::string memberName(std::size_t number)
{
    return "member-" + std::to_string(number);
}

/// Returns the table of one member that has heard of all others.
static MemberTable makeTable(std::size_t members, TimePoint now)
{
    DigestEntry self;
    self.instance = memberName(0);
    self.incarnation = 1796361998757;
    MemberTable table(self, {{0x7f000001}, 1}, {{0x7f000001}, 2}, {}, now, 1);
    InstanceList list;
    list.version = 1;
    for (std::size_t number = 0; number < members; ++number) {
        list.instances.push_back({memberName(number), "dc", {{0x7f000001}, 3}, {{0x7f000001}, 4}, false});
    }
    table.adoptList(list, now);
    return table;
}

static void hearAll(MemberTable &table, std::size_t members, std::uint64_t heartbeat, TimePoint now)
{
    for (std::size_t number = 1; number < members; ++number) {
        Digest digest;
        digest.entries.push_back(
            {memberName(number), 1796361998757, heartbeat, MemberPhase::Ready, 670, false});
        digest.peerData = {{0x7f000001}, 3};
        digest.peerControl = {{0x7f000001}, 4};
        table.onDigest(memberName(number), digest, now);
    }
}

/// One beat: ageing, choosing receivers, making and encoding the heartbeats.
static void heartbeat(benchmark::State &state)
{
    const auto members = static_cast<std::size_t>(state.range(0));
    TimePoint now(std::chrono::seconds(1000));
    MemberTable table = makeTable(members, now);
    table.setPhase(MemberPhase::Ready);
    hearAll(table, members, 100000, now);
    std::size_t bytes = 0;
    std::size_t beats = 0;
    for (auto _ : state) {
        now += std::chrono::microseconds(1);
        for (const OutgoingDigest &outgoing : table.tick(now)) {
            bytes += encodeControl({"member-0", outgoing.digest}).size();
        }
        ++beats;
    }
    state.counters["bytes/beat"] = static_cast<double>(bytes) / static_cast<double>(beats);
}
BENCHMARK(heartbeat)->Arg(3)->Arg(9)->Arg(28)->Arg(83)->Arg(500);

/// Taking one heartbeat of another member.
static void takeHeartbeat(benchmark::State &state)
{
    const auto members = static_cast<std::size_t>(state.range(0));
    const TimePoint now(std::chrono::seconds(1000));
    MemberTable table = makeTable(members, now);
    hearAll(table, members, 1, now);
    Digest digest;
    for (std::size_t number = 1; number <= std::min<std::size_t>(16, members - 1); ++number) {
        digest.entries.push_back({memberName(number), 1796361998757, 2, MemberPhase::Ready, 670, false});
    }
    for (auto _ : state) {
        for (DigestEntry &entry : digest.entries) {
            ++entry.heartbeat;
        }
        benchmark::DoNotOptimize(table.onDigest(memberName(1), digest, now));
    }
}
BENCHMARK(takeHeartbeat)->Arg(9)->Arg(83)->Arg(500);

/// The view of owners after a change of members: services and members vary.
static void ownershipView(benchmark::State &state)
{
    const auto services = static_cast<std::size_t>(state.range(0));
    const TimePoint now(std::chrono::seconds(1000));
    const RoutingSnapshot snapshot = makeSnapshot(makeConfiguration(1, services, 10), {1}, now);
    MemberSets members;
    for (std::uint64_t number = 1; number <= static_cast<std::uint64_t>(state.range(1)); ++number) {
        members.eligible.push_back({number * 7919});
    }
    members.reachable = members.eligible;
    for (auto _ : state) {
        benchmark::DoNotOptimize(
            OwnershipView(*snapshot.catalogue, {7919}, members, *snapshot.ownership, now));
    }
}
BENCHMARK(ownershipView)->Args({74, 9})->Args({74, 83})->Args({440, 83});

} // namespace jasminequay::bench
