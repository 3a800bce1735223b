#include "jasminequay/Record/burnreport.h"
#include "jasminequay/Record/recordwriter.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <filesystem>
#include <unistd.h>

namespace jasminequay
{

static FlowRecord flowRecord(EndCause cause, std::uint32_t bytes = 100)
{
    FlowRecord record;
    record.flow = {{{0x0a090001}, 4000}, {{0x0a010001}, 443}, Protocol::Tcp};
    record.service = "codebook";
    record.division = "fjernkode";
    record.target = {{0x0a020001}, 8443};
    record.cause = cause;
    record.isOwner = true;
    record.bytesUp = bytes;
    record.packetsUp = 1;
    return record;
}

static ConnectionRecord recordNumber(std::uint64_t sequence, const FlowRecord &flow, std::int64_t at = 1000)
{
    return {RecordKind::Flow, "fk-1", 1, sequence, at, flow};
}

RC_GTEST_PROP(ConnectionRecord, SurvivesItsLine, (const std::string &name, std::uint32_t bytes))
{
    FlowRecord flow = flowRecord(EndCause::Finished, bytes);
    flow.division = name;
    std::erase_if(flow.division, [](char character) { return character == '\n' || character == '\0'; });
    const ConnectionRecord record = recordNumber(7, flow);
    std::string reason;
    const std::optional<ConnectionRecord> again = parseRecord(formatRecord(record), reason);
    RC_ASSERT(again.has_value());
    RC_ASSERT(formatRecord(*again) == formatRecord(record));
}

RC_GTEST_PROP(ConnectionRecord, AnyLineIsSafe, (const std::string &line))
{
    std::string reason;
    const bool isRecord = parseRecord(line, reason).has_value();
    RC_ASSERT(isRecord == reason.empty());
}

TEST(RecordReader, StatesGapsOpenEndsAndBadLinesAndCountsNothingTwice)
{
    RecordReader reader;
    const std::string first = formatRecord(recordNumber(2, flowRecord(EndCause::Interim)));
    reader.readLine(first, "file", 1);
    reader.readLine(first, "copy", 1);
    reader.readLine(formatRecord(recordNumber(5, flowRecord(EndCause::Finished))), "file", 2);
    reader.readLine("record=flow instance=", "file", 3);
    EXPECT_EQ(reader.records().size(), 2U);
    ASSERT_EQ(reader.gaps().size(), 2U);
    EXPECT_EQ(reader.gaps()[0].first, 1U);
    EXPECT_EQ(reader.gaps()[1].last, 4U);
    ASSERT_EQ(reader.openEnds().size(), 1U);
    ASSERT_EQ(reader.badLines().size(), 1U);
    EXPECT_EQ(reader.badLines()[0].line, 3U);
    EXPECT_NE(burnTable({}, reader).find("records 3 to 4"), std::string::npos);
    EXPECT_NE(burnJson({}, reader).find("no-stop-record"), std::string::npos);
}

TEST(RecordWriter, WritesAWholeSequence)
{
    const std::string path
        = std::filesystem::temp_directory_path() / ("jasminequay-records-" + std::to_string(getpid()));
    RecordWriter writer("fk-1", 9);
    ASSERT_TRUE(writer.open(path, 1));
    ASSERT_TRUE(writer.write({flowRecord(EndCause::Interim), flowRecord(EndCause::Finished)}, 2));
    ASSERT_TRUE(writer.close(3));
    RecordReader reader;
    ASSERT_TRUE(reader.readFile(path));
    std::filesystem::remove(path);
    EXPECT_TRUE(reader.gaps().empty());
    EXPECT_TRUE(reader.openEnds().empty());
    const TrafficSum sum = sumTraffic(reader.records()).at({"fjernkode", "codebook"});
    EXPECT_EQ(sum.bytesUp, 200U);
    EXPECT_EQ(sum.flows, 1U);
}

TEST(RecordWriter, AFileThatCannotBeOpenedIsNamed)
{
    RecordWriter writer("fk-1", 9);
    const std::string reason = withFailure(
        [&]() -> Result<std::string> {
            BOOST_LEAF_CHECK(writer.open("/nowhere/records", 1));
            return std::string();
        },
        [](const Failure &failure) { return describe(failure); });
    EXPECT_EQ(reason, "open-records /nowhere/records: No such file or directory");
}

TEST(Burn, IsTheShareOfBadEventsOverTheAllowedShareInEachWindow)
{
    Configuration configuration;
    ServiceSettings service;
    service.name = "codebook";
    service.policy.objectiveWhole = 99;
    configuration.services.push_back(service);
    std::vector<ConnectionRecord> records;
    constexpr std::int64_t Now = 10'000'000;
    for (std::uint64_t number = 1; number <= 100; ++number) {
        const bool isOld = number > 50;
        const EndCause cause = number <= 2 ? EndCause::Reset : EndCause::Finished;
        records.push_back(recordNumber(number, flowRecord(cause), isOld ? Now - 3'000'000 : Now - 1000));
    }
    const std::vector<ServiceBurn> burns = computeBurn(records, configuration, Now);
    ASSERT_EQ(burns.size(), 1U);
    const auto &whole = burns[0].cells[static_cast<std::size_t>(Objective::Whole)];
    EXPECT_EQ(whole[0].events, 50U);
    EXPECT_NEAR(whole[0].rate(), 4.0, 1e-9);
    EXPECT_EQ(whole[1].events, 100U);
    EXPECT_NEAR(whole[1].rate(), 2.0, 1e-9);
    EXPECT_NE(burnSvg(burns, RecordReader{}).find("codebook whole-answer 5m"), std::string::npos);
}

} // namespace jasminequay
