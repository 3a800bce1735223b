#include "steeringfixture.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <random>
#include <set>
#include <unordered_map>

namespace jasminequay::steering
{

TEST(SteeringToken, IsTheSameInAllVersions)
{
    // Instances of different versions must agree: a change of these values breaks every open flow.
    const TargetIdentity target{0x7f3a91c2, 1'790'000'000'000};
    EXPECT_EQ(steeringToken(target.key(), 0) >> 30, 0U);
    EXPECT_EQ(steeringToken(target.key(), 3) >> 30, 3U);
    EXPECT_EQ(steeringToken(target.key(), 0), steeringToken(target.key(), 0));
    EXPECT_NE(TargetIdentity({1, 1}).key(), TargetIdentity({1, 2}).key());
}

RC_GTEST_PROP(SteeringToken, IsNeverNoToken, (std::uint64_t key))
{
    for (unsigned number = 0; number < TokensPerTarget; ++number) {
        RC_ASSERT(steeringToken(key, number) != NoToken);
    }
}

/// Finds two targets that share token number zero by a birthday search over 30 bits.
static std::pair<TargetIdentity, TargetIdentity> collidingTargets()
{
    std::unordered_map<SteeringToken, TargetIdentity> seen;
    for (std::uint64_t id = 1;; ++id) {
        const TargetIdentity identity{id, 1};
        const auto [position, isNew] = seen.emplace(steeringToken(identity.key(), 0), identity);
        if (!isNew) {
            return {position->second, identity};
        }
    }
}

TEST(SteeringToken, SharedTokensAreNeitherIssuedNorResolved)
{
    const auto [first, second] = collidingTargets();
    TargetDirectory directory;
    TargetRecord record = targetOf(0);
    record.identity = first;
    directory.put(record, Start);
    EXPECT_EQ(directory.tokenFor(*directory.find(first.key()), 0), steeringToken(first.key(), 0));
    TargetRecord other = targetOf(1);
    other.identity = second;
    directory.put(other, Start);
    EXPECT_EQ(directory.findByToken(steeringToken(first.key(), 0)), nullptr);
    const SteeringToken token = directory.tokenFor(*directory.find(first.key()), 0);
    EXPECT_NE(token, steeringToken(first.key(), 0));
    EXPECT_EQ(directory.findByToken(token)->key, first.key());
}

/// Guards against sending a flow to a wrong target at instances that learned of different targets in
/// different orders.
RC_GTEST_PROP(SteeringToken, ResolvesToTheSameTargetAtInstancesWithDifferentViews, (std::uint64_t seed))
{
    std::mt19937_64 random(seed);
    const std::uint32_t targets = 150;
    std::vector<TargetRecord> records;
    for (std::uint32_t number = 0; number < targets; ++number) {
        records.push_back(targetOf(number, 1 + random() % 50, static_cast<std::int64_t>(random() % 4)));
    }
    std::vector<TargetDirectory> instances(5);
    for (TargetDirectory &instance : instances) {
        std::shuffle(records.begin(), records.end(), random);
        for (const TargetRecord &record : records) {
            if (random() % 4 != 0) {
                instance.put(record, Start);
            }
            if (random() % 8 == 0) {
                instance.remove(record.name, 60, Start);
            }
        }
        instance.expire(Start + std::chrono::seconds(10), [](std::uint64_t) {});
    }
    for (TargetDirectory &placing : instances) {
        const std::vector<KnownTarget *> candidates = placing.targetsOfService("desk");
        RC_PRE(!candidates.empty());
        const KnownTarget &chosen = *candidates[random() % candidates.size()];
        const SteeringToken token = placing.tokenFor(chosen, random());
        for (TargetDirectory &other : instances) {
            const KnownTarget *const resolved = other.findByToken(token);
            // RapidCheck's assertions evaluate both sides of "or".
            const bool isRight = resolved == nullptr || resolved->key == chosen.key;
            const bool isResolvedWhereKnown = other.find(chosen.key) == nullptr || resolved != nullptr;
            RC_ASSERT(isRight);
            RC_ASSERT(isResolvedWhereKnown);
        }
    }
}

TEST(SteeringToken, FourThousandTargetsHaveDistinctTokens)
{
    TargetDirectory directory;
    constexpr std::uint32_t Targets = 4100;
    for (std::uint32_t number = 0; number < Targets; ++number) {
        directory.put(targetOf(number), Start);
    }
    std::set<SteeringToken> tokens;
    for (const auto &[key, target] : directory.targets()) {
        const SteeringToken token = directory.tokenFor(target, key);
        ASSERT_NE(token, NoToken);
        EXPECT_TRUE(tokens.insert(token).second);
        EXPECT_EQ(directory.findByToken(token)->key, key);
    }
}

} // namespace jasminequay::steering
