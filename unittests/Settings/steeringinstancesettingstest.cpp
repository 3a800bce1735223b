#include "jasminequay/Settings/steeringinstancesettings.h"

#include <gtest/gtest.h>

#include <fstream>
#include <random>
#include <sstream>

namespace jasminequay
{

static const std::string Whole = R"(instance: "fk-1"
data-centre: "dk-east-a"
packets: "10.1.0.10:8172"
readiness: "10.1.0.10:8167"
control: "10.1.0.10:8166"
store: "10.200.1.7:8169"
peer-port: 7720
seeds:
  - "10.1.0.10:8166"
  - "10.2.0.40:8166"
first-start: true
settings-bound: "3000ms"
grace-period: "6s"
flow-lifetime: "60s"
clock-offset: "-1200ms"
bind-address: "127.0.2.1"
store-reads-per-second: "2000"
features:
  - "health"
  - "cost"
cold-factor: "1.5"
cold-slack: "5"
)";

static std::string replaced(const std::string &from, const std::string &to)
{
    std::string text = Whole;
    text.replace(text.find(from), from.size(), to);
    return text;
}

TEST(SteeringInstanceSettings, AreRead)
{
    const ParsedSteeringInstanceSettings parsed = parseSteeringInstanceSettings(Whole);
    ASSERT_TRUE(parsed.mistakes.empty()) << describe(parsed.mistakes.front(), "node.yaml");
    EXPECT_EQ(parsed.settings.instance, "fk-1");
    EXPECT_EQ(format(parsed.settings.packets), "10.1.0.10:8172");
    EXPECT_EQ(parsed.settings.seeds.size(), 2U);
    EXPECT_TRUE(parsed.settings.isFirstStart);
    EXPECT_EQ(parsed.settings.settingsBound, std::chrono::seconds(3));
    EXPECT_EQ(parsed.settings.clockOffset, std::chrono::milliseconds(-1200));
    EXPECT_EQ(format(parsed.settings.boundAddress()), "127.0.2.1");
    EXPECT_EQ(parsed.settings.storeReadsPerSecond, 2000U);
    EXPECT_TRUE(parsed.settings.features.ejectsOutliers);
    EXPECT_FALSE(parsed.settings.features.admitsByPriority);
    EXPECT_EQ(parsed.settings.coldFactor, 1.5);
    EXPECT_EQ(parsed.settings.coldSlack, 5);
    EXPECT_TRUE(isSteeringInstanceSettings(Whole));
}

TEST(SteeringInstanceSettings, FractionsAndEmptySeedsAreFine)
{
    EXPECT_EQ(parseSteeringInstanceSettings(replaced("6s", "4.5s")).settings.gracePeriod,
        std::chrono::milliseconds(4500));
    const std::string noSeeds = replaced("  - \"10.1.0.10:8166\"\n  - \"10.2.0.40:8166\"\n", "");
    EXPECT_TRUE(parseSteeringInstanceSettings(noSeeds).mistakes.empty());
}

TEST(SteeringInstanceSettings, MistakesAreNamedWithLineAndWhatWasExpected)
{
    struct Case {
        std::string from;
        std::string to;
        std::size_t line;
        std::string expected;
    };
    const std::vector<Case> cases{{"10.1.0.10:8172", "10.1.0.10", 3, "an address with a port"},
        {"7720", "70000", 7, "a port"}, {"10.2.0.40:8166", "host:1", 10, "not an address"},
        {"3000ms", "3000", 12, "a duration"}, {"true", "maybe", 11, "true or false"},
        {"grace-period", "grace", 13, "unknown"}, {"store:", "shop:", 6, "unknown"}};
    for (const Case &each : cases) {
        const Mistakes mistakes = parseSteeringInstanceSettings(replaced(each.from, each.to)).mistakes;
        const bool isNamed = std::any_of(mistakes.begin(), mistakes.end(), [&](const Mistake &mistake) {
            return mistake.line == each.line && mistake.message.find(each.expected) != std::string::npos;
        });
        EXPECT_TRUE(isNamed) << each.to << ": "
                             << (mistakes.empty() ? "no mistake" : describe(mistakes.front(), "node.yaml"));
    }
}

/// Guards against a share of early retransmissions that loads the targets, and against one that is set
/// without a choice of the operators.
TEST(SteeringInstanceSettings, TheSecondTryShareIsAtMostAFifthAndOffByDefault)
{
    EXPECT_EQ(parseSteeringInstanceSettings(Whole).settings.secondTryShare, 0);
    for (const double share : {0.0, 0.02, 0.2}) {
        const ParsedSteeringInstanceSettings parsed
            = parseSteeringInstanceSettings(Whole + "second-try-share: " + std::to_string(share) + "\n");
        EXPECT_TRUE(parsed.mistakes.empty()) << share;
        EXPECT_EQ(parsed.settings.secondTryShare, share);
    }
    for (const char *const share : {"0.201", "1", "-0.1", "nan", "inf", "some"}) {
        const Mistakes mistakes
            = parseSteeringInstanceSettings(Whole + "second-try-share: " + share + "\n").mistakes;
        ASSERT_EQ(mistakes.size(), 1U) << share;
        EXPECT_NE(mistakes.front().message.find("a share from 0 to 0.2"), std::string::npos);
    }
}

TEST(SteeringInstanceSettings, MutatedFilesNeverCrash)
{
    std::mt19937_64 random(20261204);
    for (int round = 0; round < 5000; ++round) {
        std::string text = Whole;
        for (std::uint64_t change = 1 + random() % 5; change > 0; --change) {
            text[random() % text.size()] = static_cast<char>(random());
        }
        parseSteeringInstanceSettings(text);
        isSteeringInstanceSettings(text);
    }
}

/// The template from which the platform writes the file must have only keys that are known.
TEST(SteeringInstanceSettings, TheDeployTemplateHasOnlyKnownKeys)
{
    std::ifstream file(std::string(JASMINEQUAY_SOURCE) + "/deploy/node.yaml");
    ASSERT_TRUE(file);
    const std::string known = Whole;
    std::size_t keys = 0;
    for (std::string line; std::getline(file, line);) {
        while (line.starts_with("{{")) {
            line.erase(0, line.find("}}") + 2);
        }
        const std::size_t colon = line.find(':');
        if (line.empty() || line.starts_with(" ") || colon == std::string::npos) {
            continue;
        }
        EXPECT_NE(known.find(line.substr(0, colon + 1)), std::string::npos) << line;
        ++keys;
    }
    EXPECT_EQ(keys, 16U);
}

} // namespace jasminequay
