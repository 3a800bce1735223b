// Parsing of experiment settings, and the output formats.
#include "jasminequay/Model/experiment.h"

#include <boost/json.hpp>
#include <gtest/gtest.h>

#include <fstream>
#include <iterator>

namespace jasminequay
{

using std::chrono::milliseconds;
using std::chrono::seconds;

static std::string sampleText()
{
    return "data-centres:\n  - {name: dc-1, instances: 2, targets: 3, calls-per-second: 50}\n"
           "loads: [1, 3]\nseeds: [4]\nlength: 4s\nmeasure-from: 1s\nmeasure-to: 3s\nsurge-at: 1s\n";
}

TEST(Experiment, SettingsAreParsed)
{
    const ParsedExperiment parsed = parseExperiment(sampleText()
        + "work: 20ms\nqueue-policy: drop-oldest\npolicies: [unlimited]\n"
          "events:\n  - {change: slow-targets, data-centre: dc-1, factor: 4, at: 1s, lasting: 500ms}\n");
    ASSERT_TRUE(parsed.mistakes.empty()) << describe(parsed.mistakes.front(), "experiment");
    const Experiment &experiment = parsed.experiment;
    EXPECT_EQ(experiment.loads, (std::vector<double>{1, 3}));
    EXPECT_EQ(experiment.seeds, (std::vector<std::uint64_t>{4}));
    EXPECT_EQ(experiment.policies, (std::vector{LoadPolicy::Unlimited}));
    EXPECT_EQ(experiment.plan.work, milliseconds(20));
    EXPECT_EQ(experiment.plan.queuePolicy, QueuePolicy::DropOldest);
    ASSERT_EQ(experiment.plan.events.size(), 1U);
    EXPECT_EQ(experiment.plan.events[0].change, LoadChange::SlowTargets);
    EXPECT_EQ(experiment.plan.events[0].lasting, milliseconds(500));
    EXPECT_EQ(experiment.plan.dataCentres[0].targets, 3U);
}

TEST(Experiment, MistakesNameTheSettingAndItsPosition)
{
    const auto mistakeOf = [](const std::string &line) {
        const ParsedExperiment parsed = parseExperiment(sampleText() + line);
        return parsed.mistakes.empty() ? std::string() : describe(parsed.mistakes.front(), "e.yaml");
    };
    EXPECT_NE(mistakeOf("wrok: 20ms\n").find("wrok"), std::string::npos);
    EXPECT_NE(mistakeOf("work: fast\n").find("e.yaml:9:7: 'fast' is not a duration"), std::string::npos);
    EXPECT_NE(mistakeOf("queue-policy: lifo\n").find("drop-oldest"), std::string::npos);
    EXPECT_NE(mistakeOf("policies: [best]\n").find("limited or unlimited"), std::string::npos);
    EXPECT_NE(mistakeOf("events: 3\n").find("a sequence of mappings"), std::string::npos);
    EXPECT_NE(mistakeOf("fresh-share: 2\n").find("a share from 0 to 1"), std::string::npos);
}

TEST(Experiment, InvalidPlansAreRefused)
{
    EXPECT_FALSE(parseExperiment("loads: [1]\n").mistakes.empty()) << "no data centre";
    EXPECT_FALSE(parseExperiment(sampleText() + "retries: 11\n").mistakes.empty());
    EXPECT_FALSE(parseExperiment("measure-to: 1s\nmeasure-from: 2s\n" + sampleText()).mistakes.empty());
    EXPECT_FALSE(parseExperiment("[").mistakes.empty());
}

TEST(Experiment, RowsAreOrderedByPolicyThenLoadInEveryFormat)
{
    const ParsedExperiment parsed = parseExperiment(sampleText());
    ASSERT_TRUE(parsed.mistakes.empty()) << describe(parsed.mistakes.front(), "experiment");
    const std::vector<ExperimentRow> rows = runExperiment(parsed.experiment);
    ASSERT_EQ(rows.size(), 4U);
    EXPECT_EQ(rows[1].policy, LoadPolicy::Limited);
    EXPECT_EQ(rows[1].load, 3);
    EXPECT_GT(rows[1].calls.offered, 2 * rows[0].calls.offered);
    const std::string table = experimentTable(rows);
    EXPECT_EQ(std::count(table.begin(), table.end(), '\n'), 5);
    const boost::json::value json = boost::json::parse(experimentJson(rows));
    EXPECT_EQ(json.at("rows").as_array().size(), 4U);
    EXPECT_EQ(json.at("rows").at(2).at("policy").as_string(), "unlimited");
    const std::string svg = experimentSvg(rows);
    EXPECT_EQ(svg.rfind("<svg", 0), 0U);
    EXPECT_NE(svg.find("</svg>"), std::string::npos);
}

TEST(Experiment, DocumentedExampleIsValid)
{
    std::ifstream file(std::string(JASMINEQUAY_SOURCE) + "/docs/examples/surge.yaml");
    const ParsedExperiment parsed
        = parseExperiment({std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()});
    EXPECT_TRUE(parsed.mistakes.empty());
    EXPECT_EQ(parsed.experiment.loads.size(), 6U);
}

} // namespace jasminequay
