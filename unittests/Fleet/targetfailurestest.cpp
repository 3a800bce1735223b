// Tests of the reports of failed answers between instances.
#include "jasminequay/Fleet/fleetcontrol.h"

#include <gtest/gtest.h>

namespace jasminequay::fleet
{

using std::chrono::milliseconds;
using std::chrono::seconds;

/// An instance of dc-1 with one target.
class TargetFailureReports : public testing::Test
{
protected:
    TargetFailureReports()
        : engine(engineSettings())
        , control(fleetSettings(), engine, now)
    {
        TargetRecord record;
        record.name = "i-1";
        record.identity = {1, 1};
        record.service = "desk";
        record.dataCentre = "dc-1";
        record.revision = 1;
        key = record.identity.key();
        engine.targets().put(record, now);
    }

    static SteeringSettings engineSettings()
    {
        SteeringSettings settings;
        settings.dataCentre = "dc-1";
        settings.features.ejectsOutliers = true;
        return settings;
    }

    static FleetSettings fleetSettings()
    {
        FleetSettings settings;
        settings.control = {{0x0a010001}, 8166};
        settings.dataCentre = "dc-1";
        return settings;
    }

    /// Receives a report from a peer.
    void receive(std::uint32_t peer, const std::string &dataCentre, Duration age = {})
    {
        const Endpoint address{{0x0a010000 + peer}, 8166};
        FleetMessage message;
        message.sender = format(address);
        DigestEntry self;
        self.instance = message.sender;
        self.incarnation = 1;
        self.control = address;
        self.dataCentre = dataCentre;
        message.digest.peerControl = address;
        message.digest.entries.push_back(self);
        message.targetFailures = {{key, 2, age}};
        control.onMessage(message, now);
    }

    TimePoint now = TimePoint(seconds(1000));
    SteeringEngine engine;
    FleetControl control;
    std::uint64_t key = 0;
};

/// Guards against peers that are counted twice, which would give one wrong peer the weight of two.
TEST_F(TargetFailureReports, ReportsOfOnePeerAreNotCorroboration)
{
    receive(2, "dc-1");
    receive(2, "dc-1");
    EXPECT_EQ(engine.outliers().counters().peerFailures, 4U);
    EXPECT_EQ(engine.outliers().counters().ejections, 0U);
}

/// Guards against a cut between data centres that looks like failed targets from the other side.
TEST_F(TargetFailureReports, ReportsOfAnotherDataCentreAreIgnored)
{
    receive(2, "dc-2");
    receive(3, "dc-2");
    EXPECT_EQ(engine.outliers().counters().peerFailures, 0U);
}

/// Guards against reports that a paused peer sends late.
TEST_F(TargetFailureReports, OldReportsAreIgnored)
{
    receive(2, "dc-1", seconds(2));
    EXPECT_EQ(engine.outliers().counters().peerFailures, 0U);
    EXPECT_EQ(engine.outliers().counters().outdatedReports, 1U);
}

TEST_F(TargetFailureReports, ReportsGoToThePeersOfTheDataCentre)
{
    receive(2, "dc-1");
    receive(3, "dc-2");
    const FleetActions actions = control.reportTargetFailures({{key, 1, milliseconds(5)}}, now);
    ASSERT_EQ(actions.messages.size(), 1U);
    EXPECT_EQ(actions.messages[0].to, (std::vector<Endpoint>{{{0x0a010002}, 8166}}));
    EXPECT_EQ(actions.messages[0].message.targetFailures.front().targetKey, key);
}

} // namespace jasminequay::fleet
