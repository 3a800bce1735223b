#include "jasminequay/Peer/fleetcodec.h"

#include "jasminequay/Fleet/changehistory.h"
#include "jasminequay/Steering/evacuationtable.h"

#include <gtest/gtest.h>

#include <random>

namespace jasminequay
{

static TargetRecord sampleTarget(std::uint32_t number)
{
    return {"i-" + std::to_string(number), {number + 1, 1'790'000'000'000}, {{0x0a800000 + number}, 8080},
        "desk", "dc-1", 2, number % 2 == 1, std::chrono::milliseconds(1500), 70 + number};
}

static FleetMessage sampleNews()
{
    FleetMessage news;
    news.sender = "10.1.0.10:8166";
    DigestEntry self;
    self.instance = news.sender;
    self.incarnation = 5;
    self.heartbeat = 9;
    self.phase = MemberPhase::Ready;
    self.settingsVersion = 7;
    self.isPlatformFailing = true;
    self.control = {{0x0a01000a}, 8166};
    self.dataCentre = "dc-1";
    news.digest.entries.push_back(self);
    news.digest.wantsReply = true;
    news.status = {true, 71, 7, std::chrono::milliseconds(250), true, 68, 70, {{"dc-2", 66, true}}, 3};
    news.changes = {69, 71, 70, {sampleTarget(1)}, {{"i-9", 70}}};
    news.targetLosses = {{0x1234, TargetVerdict::Unreachable}};
    news.targetFailures = {{0x5678, 3, std::chrono::milliseconds(40)}};
    return news;
}

/// Decodes or returns the message of the failure.
static std::optional<FleetMessage> decoded(std::string_view bytes)
{
    return withFailure(
        [&]() -> Result<std::optional<FleetMessage>> {
            BOOST_LEAF_AUTO(news, decodeNews(bytes, "peer"));
            return std::optional(news);
        },
        [](const Failure &) { return std::optional<FleetMessage>(); });
}

static std::optional<FetchResponse> decodedImage(const std::string &bytes)
{
    return withFailure(
        [&]() -> Result<std::optional<FetchResponse>> {
            BOOST_LEAF_AUTO(image, decodeImage(bytes, "peer"));
            return std::optional(image);
        },
        [](const Failure &) { return std::optional<FetchResponse>(); });
}

TEST(FleetCodec, NewsSurviveTheWire)
{
    const std::optional<FleetMessage> news = decoded(encodeNews(sampleNews()));
    ASSERT_TRUE(news);
    EXPECT_EQ(news->sender, "10.1.0.10:8166");
    const DigestEntry &self = news->digest.entries.front();
    EXPECT_EQ(self.control, (Endpoint{{0x0a01000a}, 8166}));
    EXPECT_EQ(self.dataCentre, "dc-1");
    EXPECT_TRUE(self.isPlatformFailing);
    EXPECT_TRUE(news->status.isReading);
    EXPECT_EQ(news->status.routesRevision, 68U);
    EXPECT_EQ(news->status.evacuationsRevision, 70U);
    EXPECT_EQ(news->status.routesOrder(), sampleNews().status.routesOrder());
    EXPECT_EQ(news->status.evacuations, sampleNews().status.evacuations);
    EXPECT_EQ(news->status.age, std::chrono::milliseconds(250));
    EXPECT_EQ(news->changes.after, 69U);
    ASSERT_EQ(news->changes.targets.size(), 1U);
    EXPECT_EQ(news->changes.targets[0].identity, sampleTarget(1).identity);
    EXPECT_TRUE(news->changes.targets[0].isDraining);
    EXPECT_EQ(news->changes.removals[0].revision, 70U);
    EXPECT_EQ(news->targetLosses[0].verdict, TargetVerdict::Unreachable);
    ASSERT_EQ(news->targetFailures.size(), 1U);
    EXPECT_EQ(news->targetFailures[0].targetKey, 0x5678U);
    EXPECT_EQ(news->targetFailures[0].count, 3U);
    EXPECT_EQ(news->targetFailures[0].age, std::chrono::milliseconds(40));
}

TEST(FleetCodec, AReadersMessageIsSmall)
{
    FleetMessage news = sampleNews();
    news.changes = {};
    news.targetLosses.clear();
    news.status.evacuations.clear();
    news.targetFailures.clear();
    EXPECT_LE(encodeNews(news).size(), 128U);
}

/// Guards against control traffic beyond its budget: a report goes to all instances of a data centre.
TEST(FleetCodec, AReportOfAFailureIsSmall)
{
    FleetMessage news = sampleNews();
    news.changes = {};
    news.targetLosses.clear();
    EXPECT_LE(encodeNews(news).size(), 160U);
}

TEST(FleetCodec, WhatNoPeerSentIsRefused)
{
    const std::string good = encodeNews(sampleNews());
    EXPECT_FALSE(decoded(""));
    EXPECT_FALSE(decoded("GET / HTTP/1.1\r\n\r\n"));
    EXPECT_FALSE(decoded(std::string_view(good).substr(0, good.size() - 1)));
    EXPECT_FALSE(decoded(std::string(MaximumNewsSize + 1, 'x')));
    std::mt19937_64 random(20261204);
    for (int round = 0; round < 20000; ++round) {
        std::string bytes = good;
        const std::size_t position = random() % bytes.size();
        const auto before = bytes[position];
        bytes[position] = static_cast<char>(random());
        EXPECT_EQ(decoded(bytes).has_value(), bytes[position] == before);
    }
}

/// Guards against changes that make a message larger than peers take: they would hear nothing of the reader
/// for as long as it repeats them. What does not fit is fetched.
TEST(FleetCodec, ChangesOfAnyLengthFitIntoAMessage)
{
    for (const std::size_t length : {1U, 30U, 200U, 1000U, 100'000U}) {
        ChangeHistory history;
        for (std::uint32_t number = 0; number < 60; ++number) {
            DirectoryChanges changes{number, number + 1, 0, {sampleTarget(number)}, {}};
            changes.targets.front().service = std::string(length, 's');
            changes.removals.push_back({std::string(length, 'n'), number + 1});
            history.add(changes);
            FleetMessage news = sampleNews();
            news.changes = history.all();
            EXPECT_TRUE(decoded(encodeNews(news))) << length << " bytes, change " << number;
        }
    }
}

/// Guards against entries under the evacuation prefix that make messages larger than peers take.
TEST(FleetCodec, AnyEvacuationsFitIntoAMessage)
{
    for (const std::size_t length : {10U, 100U, 200U}) {
        EvacuationTable table;
        for (std::uint32_t number = 0; number < 300; ++number) {
            table.applyChanges({{std::to_string(number) + std::string(length, 'z'), number + 1, true}},
                number + 1, TimePoint{});
        }
        FleetMessage news = sampleNews();
        news.status.evacuations = table.records();
        EXPECT_TRUE(decoded(encodeNews(news))) << length;
        EXPECT_LE(encodeNews(news).size(), 3000U) << length;
    }
}

/// Guards against a slow start of any length that peers take for a short one.
TEST(FleetCodec, DurationsBeyondTheFieldAreCutOff)
{
    FleetMessage news = sampleNews();
    news.changes.targets.front().warmUpLeft = std::chrono::hours(24 * 365);
    EXPECT_GE(decoded(encodeNews(news))->changes.targets.front().warmUpLeft, std::chrono::hours(24 * 49));
}

TEST(FleetCodec, AnImageSurvivesTheWireAndDamageDoesNot)
{
    FetchResponse image;
    image.age = std::chrono::milliseconds(30);
    image.update.revision = 99;
    image.update.isComplete = true;
    image.update.routes = RouteConfiguration{7, std::chrono::seconds(15),
        {{"r", {{1}, 443}, RequestKind::Download, std::chrono::seconds(5), {{"desk", 90}, {"guides", 10}}}},
        {{"desk", "/healthz"}}, {{"desk", {std::chrono::seconds(30), 4.5}}}};
    image.update.routes->era = 2;
    for (std::uint32_t number = 0; number < 150; ++number) {
        image.update.targets.push_back(sampleTarget(number));
    }
    image.update.removals = {{"i-3", 99}};
    image.update.tombstones = {sampleTarget(500)};
    image.routesRevision = 98;
    image.evacuationsRevision = 97;
    image.update.evacuations = {{"dc-1", 90, false}};
    const std::string good = encodeImage(image);
    EXPECT_LT(good.size(), 5000U);
    const std::optional<FetchResponse> back = decodedImage(good);
    ASSERT_TRUE(back);
    EXPECT_EQ(back->update.targets.size(), 150U);
    EXPECT_EQ(back->update.routes->routes[0].kind, RequestKind::Download);
    EXPECT_EQ(back->update.routes->routes[0].services[1].weight, 10);
    EXPECT_EQ(back->update.tombstones[0].name, "i-500");
    EXPECT_EQ(back->routesRevision, 98U);
    EXPECT_EQ(back->update.routes->order(), image.update.routes->order());
    EXPECT_EQ(back->evacuationsRevision, 97U);
    EXPECT_EQ(back->update.evacuations, image.update.evacuations);
    EXPECT_EQ(back->update.routes->healthPaths.at("desk"), "/healthz");
    EXPECT_EQ(back->update.routes->slowStarts.at("desk").duration, std::chrono::seconds(30));
    EXPECT_EQ(back->update.routes->slowStarts.at("desk").flowsPerSecond, 4.5);
    EXPECT_EQ(back->update.removals[0].name, "i-3");
    std::mt19937_64 random(20261204);
    for (int round = 0; round < 10000; ++round) {
        std::string bytes = good;
        bytes[random() % bytes.size()] = static_cast<char>(random());
        bytes.resize(round % 7 == 0 ? random() % bytes.size() : bytes.size());
        decodedImage(bytes);
    }
}

} // namespace jasminequay
