// Guards against an explanation of placement that differs from the decisions of the engine.
#include "steeringfixture.h"

#include "jasminequay/Steering/placementpreview.h"

#include <gtest/gtest.h>

namespace jasminequay::steering
{

static PlacementPreview previewOf(SteeredInstance &instance)
{
    return instance.engine.previewPlacement(*instance.engine.routes().at(Service), instance.now);
}

static const PreviewedTarget &itemOf(const PlacementPreview &preview, const KnownTarget &target)
{
    for (const PreviewedTarget &item : preview.services.front().ranking) {
        if (item.target == &target) {
            return item;
        }
    }
    throw std::out_of_range(target.record.name);
}

TEST(PlacementPreview, NamesWhatDecidesForEachTarget)
{
    SteeredInstance instance(6);
    TargetRecord draining = targetOf(1, 2);
    draining.isDraining = true;
    instance.engine.targets().put(draining, instance.now);
    TargetRecord remote = targetOf(6);
    remote.dataCentre = "dc-2";
    instance.engine.targets().put(remote, instance.now);
    instance.target(2).openFlows = 5;
    instance.target(3).evidence.recordUnansweredOpening(instance.now);
    instance.target(4).openings.recordOpening(instance.now);
    instance.target(5).pace.recordResponse(0.9, instance.now);
    instance.now += std::chrono::milliseconds(200);

    const PlacementPreview preview = previewOf(instance);
    EXPECT_EQ(itemOf(preview, instance.target(0)).newFlows, preview.samples);
    const auto reasonOf = [&](std::uint32_t number) {
        return placementReasonName(itemOf(preview, instance.target(number)).reason);
    };
    EXPECT_EQ(preview.services.front().ranking.front().target, &instance.target(0));
    EXPECT_EQ(reasonOf(0), "chosen");
    EXPECT_EQ(reasonOf(1), "draining");
    EXPECT_EQ(reasonOf(2), "more-load");
    EXPECT_EQ(reasonOf(3), "suspect");
    EXPECT_EQ(reasonOf(4), "opening-unanswered");
    EXPECT_EQ(reasonOf(5), "slower-responses");
    EXPECT_EQ(reasonOf(6), "other-data-centre");
}

/// Guards against a preview that changes the state that it explains.
TEST(PlacementPreview, LeavesTheStateOfTheEngineAsItIs)
{
    SteeredInstance instance(3);
    const SteeringCounters counters = instance.engine.counters();
    previewOf(instance);
    EXPECT_EQ(instance.engine.counters(), counters);
    EXPECT_EQ(instance.engine.flows().size(), 0U);
    for (std::uint32_t number = 0; number < 3; ++number) {
        EXPECT_EQ(instance.target(number).openFlows, 0U);
    }
}

TEST(PlacementPreview, CountsFlowsThatWouldGetNoTarget)
{
    SteeredInstance instance(0);
    const PlacementPreview preview = previewOf(instance);
    EXPECT_EQ(preview.withoutTarget, preview.samples);
    EXPECT_EQ(preview.refusedAsFull, 0U);
}

TEST(PlacementPreview, ShowsABoundedNumberOfTargets)
{
    SteeredInstance instance(200);
    const PlacementPreview preview = previewOf(instance);
    EXPECT_EQ(preview.services.front().targets, 200U);
    EXPECT_LE(preview.services.front().ranking.size(), 20 + preview.samples);
    std::size_t newFlows = 0;
    for (const PreviewedTarget &item : preview.services.front().ranking) {
        newFlows += item.newFlows;
    }
    EXPECT_EQ(newFlows, preview.samples);
}

} // namespace jasminequay::steering
