#include "jasminequay/Settings/instancesettings.h"
#include "jasminequay/Settings/settingkey.h"
#include "jasminequay/Settings/treeparser.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <random>

namespace jasminequay
{

static std::string contentOf(const std::filesystem::path &path)
{
    std::ifstream file(path);
    return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
}

static const std::filesystem::path Docs = std::filesystem::path(JASMINEQUAY_SOURCE) / "docs";

static const std::string SoundTree = R"(version: 3
group: g
defaults:
  division: d
  bound: 1.5
data-centres:
  dc-1:
    defaults:
      bound: 2
    services:
      s:
        address: 10.1.0.1:443
        protocol: tcp
        targets:
          - {address: 10.2.0.1:80}
      t:
        address: 10.1.0.2:443
        protocol: tcp
        bound: 3
        targets:
          - {address: 10.2.0.2:80, weight: 2, state: cold}
  dc-2: {}
)";

static std::string replaced(std::string text, const std::string &before, const std::string &after)
{
    const std::size_t place = text.find(before);
    EXPECT_NE(place, std::string::npos) << before;
    return text.replace(place, before.size(), after);
}

TEST(Tree, EachLevelInheritsAndOverrides)
{
    const ParsedTree tree = parseTree(SoundTree);
    ASSERT_TRUE(tree.mistakes.empty()) << describe(tree.mistakes.front(), "tree");
    const ServiceSettings &first = tree.configuration.services.at(0);
    const ServiceSettings &second = tree.configuration.services.at(1);
    EXPECT_EQ(first.policy.bound, 2);
    EXPECT_EQ(first.policy.origin(PolicyKey::Bound).level, Level::DataCentre);
    EXPECT_EQ(second.policy.bound, 3);
    EXPECT_EQ(second.policy.origin(PolicyKey::Bound).level, Level::Service);
    EXPECT_EQ(first.policy.origin(PolicyKey::Division).level, Level::Group);
    EXPECT_EQ(first.policy.origin(PolicyKey::Slots).level, Level::Default);
}

/// Every mistake is named with its place.
TEST(Tree, MistakesAreNamedWithLineColumnAndNode)
{
    struct Case {
        const char *before;
        const char *after;
        std::size_t line;
        const char *node;
        const char *message;
    };
    const Case cases[] = {
        {"bound: 1.5", "bound: 0.5", 5, "defaults/bound", "not a bound"},
        {"bound: 1.5", "bund: 1.5", 5, "defaults/bund", "unknown"},
        {"bound: 1.5", "bound: 1.5\n  bound: 2", 6, "defaults/bound", "twice"},
        {"bound: 1.5", "idle-timeout: 5", 5, "defaults/idle-timeout", "with a unit"},
        {"version: 3", "version: 0", 1, "version", "not a whole number above zero"},
        {"  division: d\n", "", 10, "data-centres/dc-1/services/s", "division"},
        {"10.1.0.2:443", "10.1.0.1:443", 16, "data-centres/dc-1/services/t/address", "already held"},
        {"10.2.0.2:80", "10.2.0.1:80", 20, "data-centres/dc-1/services/t/targets", "already held"},
        {"10.2.0.2:80", "10.2.0.2", 20, "data-centres/dc-1/services/t/targets/0/address",
            "address with a port"},
        {"weight: 2", "weight: -2", 20, "data-centres/dc-1/services/t/targets/0/weight", "not a weight"},
        {"state: cold", "state: warm", 20, "data-centres/dc-1/services/t/targets/0/state", "not a state"},
        {"protocol: tcp", "protocol: sctp", 13, "data-centres/dc-1/services/s/protocol", "not a protocol"},
    };
    for (const Case &mistaken : cases) {
        const ParsedTree tree = parseTree(replaced(SoundTree, mistaken.before, mistaken.after));
        ASSERT_FALSE(tree.mistakes.empty()) << mistaken.after;
        const Mistake &mistake = tree.mistakes.front();
        EXPECT_EQ(mistake.node, mistaken.node) << mistaken.after;
        EXPECT_NE(mistake.message.find(mistaken.message), std::string::npos) << mistake.message;
        EXPECT_NEAR(static_cast<double>(mistake.line), static_cast<double>(mistaken.line), 1)
            << mistaken.after;
        EXPECT_GT(mistake.column, 0U);
    }
}

TEST(Tree, AllMistakesComeAtOnce)
{
    const std::string text
        = replaced(replaced(SoundTree, "bound: 1.5", "bound: x"), "weight: 2", "weight: y");
    EXPECT_EQ(parseTree(text).mistakes.size(), 2U);
}

/// Thousands of mutated trees each get an answer, whatever the bytes.
TEST(Tree, MutatedTreesAlwaysGetAnAnswer)
{
    std::mt19937_64 random(20261204);
    const std::string sources[] = {SoundTree, contentOf(Docs / "examples/fjernkode.yaml")};
    const std::string alphabet = ":-{}[]&*!|>'\"%@`, \n\t#?a0\\\x01\xff";
    for (int round = 0; round < 4000; ++round) {
        std::string text = sources[random() % 2].substr(0, 2000);
        const std::size_t changes = 1 + random() % 6;
        for (std::size_t change = 0; change < changes; ++change) {
            const std::size_t place = random() % text.size();
            switch (random() % 3) {
            case 0:
                text[place] = alphabet[random() % alphabet.size()];
                break;
            case 1:
                text.erase(place, random() % 20);
                break;
            default:
                text.insert(place, text.substr(random() % text.size(), random() % 30));
            }
            text += text.empty() ? "x" : "";
        }
        for (const Mistake &mistake : parseTree(text).mistakes) {
            ASSERT_FALSE(mistake.message.empty());
        }
        static_cast<void>(parseInstanceSettings(text));
    }
}

RC_GTEST_PROP(Tree, RandomBytesAlwaysGetAnAnswer, (const std::string &text))
{
    RC_ASSERT(!parseTree(text).mistakes.empty());
    RC_ASSERT(!parseInstanceSettings(text).mistakes.empty());
}

TEST(Tree, DeepAndLargeDocumentsAreRefused)
{
    EXPECT_FALSE(parseTree(std::string(100000, '[')).mistakes.empty());
    EXPECT_FALSE(parseTree(std::string(100000, '-')).mistakes.empty());
    EXPECT_FALSE(parseTree(std::string(MaximumTreeSize + 1, ' ')).mistakes.empty());
}

TEST(Examples, HaveNoMistakesAndTheSizesOfTheDeployments)
{
    for (const char *const name : {"fjernkode.yaml", "portage.yaml", "demo.yaml"}) {
        const ParsedTree tree = parseTree(contentOf(Docs / "examples" / name));
        ASSERT_TRUE(tree.mistakes.empty()) << name << ": " << describe(tree.mistakes.front(), name);
        EXPECT_GT(tree.configuration.services.size(), 1U);
    }
    const ParsedInstanceSettings instance = parseInstanceSettings(contentOf(Docs / "examples/instance.yaml"));
    ASSERT_TRUE(instance.mistakes.empty()) << describe(instance.mistakes.front(), "instance.yaml");
}

TEST(Reference, NamesEverySetting)
{
    const std::string page = contentOf(Docs / "settings.md");
    for (const SettingKey &key : settingKeys()) {
        const std::string row = "| `" + std::string(key.name) + "` | " + std::string(key.unit) + " | `"
            + key.print(ServicePolicy{}) + "` |";
        EXPECT_NE(page.find(row), std::string::npos) << "the page lacks: " << row;
    }
}

} // namespace jasminequay
