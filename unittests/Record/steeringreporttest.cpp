#include "jasminequay/Record/steeringreport.h"

#include <gtest/gtest.h>

namespace jasminequay
{

static const std::string Head = "time=2026-12-04T07:51:55.123Z boot_ms=1 line=1 level=info ";

TEST(LogLine, IsSplitIntoPairs)
{
    const std::optional<LogPairs> pairs = parseLogLine("event=x reason=\"a \\\"b\\\" c=d\" n=5");
    ASSERT_TRUE(pairs);
    EXPECT_EQ(pairs->at("event"), "x");
    EXPECT_EQ(pairs->at("reason"), "a \"b\" c=d");
    EXPECT_EQ(pairs->at("n"), "5");
    EXPECT_FALSE(parseLogLine("free(): invalid pointer"));
    EXPECT_FALSE(parseLogLine("a=\"open"));
    EXPECT_FALSE(parseLogLine(""));
}

TEST(SteeringReport, AddsUpServicesCausesAndWhatWasLeftOut)
{
    SteeringReport report;
    for (int flow = 0; flow < 8; ++flow) {
        report.addLine(
            Head + "event=packet-forward caller=1.1.1.1:1 service=9.9.9.9:80 cause=placed age_ms=100");
    }
    // Collected lines may have the collector's words before them.
    report.addLine("  41.2 edge-1 " + Head + "event=flow-reset service=9.9.9.9:80 cause=target-dead");
    report.addLine(Head + "event=packet-reset service=9.9.9.9:81 cause=no-route age_ms=unproved");
    report.addLine(Head + "event=store-lost reason=\"read-platform x: timeout\"");
    report.addLine(Head + "event=lines-left-out of=packet-forward count=40");
    report.addLine("free(): invalid pointer");
    const ServiceDecisions &service = report.services().at("9.9.9.9:80");
    EXPECT_EQ(service.placed(), 8U);
    EXPECT_EQ(service.broken(), 1U);
    EXPECT_EQ(service.agesMs.size(), 8U);
    EXPECT_EQ(report.services().at("9.9.9.9:81").broken(), 1U);
    EXPECT_EQ(report.leftOut(), 40U);
    EXPECT_EQ(report.foreignLines(), 1U);
    EXPECT_NE(report.table().find("target-dead=1"), std::string::npos);
    EXPECT_NE(report.json().find("\"broken-share\":1.25E-1"), std::string::npos) << report.json();
    EXPECT_NE(report.svg().find("</svg>"), std::string::npos);
}

} // namespace jasminequay
