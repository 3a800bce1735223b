#include "platform/storerecords.h"

#include <boost/json.hpp>
#include <gtest/gtest.h>
#include <sodium/utils.h>

#include <random>

namespace jasminequay::platform
{

namespace json = boost::json;

/// Wraps a value into an item as the store returns it.
static json::value itemOf(const std::string &key, const std::string &value)
{
    std::string encoded(sodium_base64_ENCODED_LEN(value.size(), sodium_base64_VARIANT_ORIGINAL), '\0');
    sodium_bin2base64(encoded.data(), encoded.size(), reinterpret_cast<const unsigned char *>(value.data()),
        value.size(), sodium_base64_VARIANT_ORIGINAL);
    encoded.pop_back();
    return json::object{{"key", key}, {"value", encoded}, {"rev", 7}, {"createRevision", 7}, {"lease", 1}};
}

/// The update and the reports that decoding an item gave.
struct DecodedItem {
    DirectoryUpdate update;
    std::vector<std::string> bad;
};

static DecodedItem decodeItem(const json::value &item)
{
    DecodedItem decoded;
    addItem(item, decoded.update, [&](std::string_view key, std::string_view reason) {
        decoded.bad.push_back(std::string(key) + ": " + std::string(reason));
    });
    return decoded;
}

static const std::string GoodTarget = R"({"service":"huvo11a","addr":"10.128.0.9:8080","zone":"dk-east-a",)"
                                      R"("version":"v1","concurrency":2,"state":"ready","warmLeftMs":1500,)"
                                      R"("seq":4,"born":1790000000123})";

static const std::string GoodRoutes
    = R"({"version":7,"routes":[{"name":"r-a","host":"198.18.0.1","prefix":"/8443/","type":"idempotent",)"
      R"("timeoutMs":1500,"sloMs":150,"priority":2,"trafficSplit":[{"service":"s1","weight":90},)"
      R"({"service":"s2","weight":10}],"attempts":2},{"name":"r-b","host":"198.18.0.2","prefix":"/80/",)"
      R"("type":"non_idempotent","service":"s2"}],"services":[{"name":"s1","healthPath":"/healthz"},7],"limits":{"idleTimeoutMs":15000}})";

TEST(StoreRecords, ReadsATarget)
{
    const DecodedItem decoded = decodeItem(itemOf("servers/i-7f3a91c2", GoodTarget));
    ASSERT_EQ(decoded.update.targets.size(), 1U);
    const TargetRecord &target = decoded.update.targets.front();
    EXPECT_EQ(target.name, "i-7f3a91c2");
    EXPECT_EQ(target.identity, (TargetIdentity{0x7f3a91c2, 1790000000123}));
    EXPECT_EQ(format(target.address), "10.128.0.9:8080");
    EXPECT_EQ(target.service, "huvo11a");
    EXPECT_EQ(target.dataCentre, "dk-east-a");
    EXPECT_EQ(target.slots, 2U);
    EXPECT_FALSE(target.isDraining);
    EXPECT_EQ(target.warmUpLeft, std::chrono::milliseconds(1500));
    EXPECT_EQ(target.revision, 7U);
}

TEST(StoreRecords, ReadsRoutes)
{
    const DecodedItem decoded = decodeItem(itemOf("op/config", GoodRoutes));
    ASSERT_TRUE(decoded.update.routes);
    const RouteConfiguration &routes = *decoded.update.routes;
    EXPECT_EQ(routes.version, 7U);
    EXPECT_EQ(routes.idleTimeout, std::chrono::seconds(15));
    ASSERT_EQ(routes.routes.size(), 2U);
    EXPECT_EQ(routes.healthPaths.at("s1"), "/healthz");
    EXPECT_EQ(format(routes.routes[0].address), "198.18.0.1:8443");
    EXPECT_EQ(routes.routes[0].kind, RequestKind::Idempotent);
    EXPECT_EQ(routes.routes[0].timeout, std::chrono::milliseconds(1500));
    ASSERT_EQ(routes.routes[0].services.size(), 2U);
    EXPECT_EQ(routes.routes[0].services[0].weight, 90);
    EXPECT_EQ(routes.routes[1].kind, RequestKind::NonIdempotent);
    EXPECT_EQ(routes.routes[1].services[0].service, "s2");
}

/// Guards against treating the targets of a declared service as entries of another program because the
/// service declares no health check.
TEST(StoreRecords, AServiceWithoutAHealthCheckIsDeclared)
{
    std::string text = GoodRoutes;
    const std::string declared = R"({"name":"s1","healthPath":"/healthz"})";
    text.replace(
        text.find(declared), declared.size(), R"({"name":"s3"},{"name":"s4","healthPath":7},{"name":5})");
    const RouteConfiguration routes = *decodeItem(itemOf("op/config", text)).update.routes;
    EXPECT_EQ(routes.healthPaths.at("s3"), "/");
    EXPECT_EQ(routes.healthPaths.at("s4"), "/");
    EXPECT_EQ(routes.healthPaths.size(), 2U);
}

TEST(StoreRecords, AnUnknownRouteTypeIsNonIdempotent)
{
    std::string text = GoodRoutes;
    text.replace(text.find("\"idempotent\""), 12, "\"something\"");
    EXPECT_EQ(
        decodeItem(itemOf("op/config", text)).update.routes->routes[0].kind, RequestKind::NonIdempotent);
}

TEST(StoreRecords, ADeletedEntryIsARemoval)
{
    const DecodedItem decoded
        = decodeItem(json::object{{"key", "servers/i-1"}, {"rev", 9}, {"deleted", true}});
    ASSERT_EQ(decoded.update.removals.size(), 1U);
    EXPECT_EQ(decoded.update.removals[0].name, "i-1");
    EXPECT_EQ(decoded.update.removals[0].revision, 9U);
}

TEST(StoreRecords, UnrelatedKeysAreIgnoredSilently)
{
    const DecodedItem decoded = decodeItem(itemOf("my/leader", "node-1"));
    EXPECT_TRUE(decoded.update.targets.empty());
    EXPECT_TRUE(decoded.bad.empty());
}

TEST(StoreRecords, MalformedTargetsAreReportedAndRemoved)
{
    const std::vector<std::pair<std::string, std::string>> faults{{"\"service\"", "\"servise\""},
        {"\"huvo11a\"", "7"}, {"\"10.128.0.9:8080\"", "\"10.128.0.900:8080\""},
        {"\"concurrency\":2", "\"x\":2"}, {"\"concurrency\":2", "\"concurrency\":\"two\""},
        {"\"concurrency\":2", "\"concurrency\":-2"}, {"\"ready\"", "\"asleep\""}, {"\"ready\"", "null"},
        {"1500", "\"soon\""}, {"1790000000123", "1.5"}, {"1790000000123", "\"x\""}, {"{", "["}};
    for (const auto &[from, to] : faults) {
        std::string text = GoodTarget;
        text.replace(text.find(from), from.size(), to);
        const DecodedItem decoded = decodeItem(itemOf("servers/i-7f3a91c2", text));
        EXPECT_TRUE(decoded.update.targets.empty()) << text;
        EXPECT_EQ(decoded.update.removals.size(), 1U) << text;
        EXPECT_EQ(decoded.bad.size(), 1U) << text;
    }
    EXPECT_TRUE(decodeItem(itemOf("servers/nothing", GoodTarget)).update.targets.empty());
    json::value item = itemOf("servers/i-1", GoodTarget);
    item.as_object()["value"] = "%%%";
    EXPECT_TRUE(decodeItem(item).update.targets.empty());
}

/// Returns the entry of a target with one field replaced by another text.
static std::string targetWith(const std::string &field, const std::string &replacement)
{
    std::string text = GoodTarget;
    return text.replace(text.find(field), field.size(), replacement);
}

/// Returns a JSON array or object that is nested deeper than any parser's stack bears.
static std::string deeplyNested(const std::string &open, const std::string &close)
{
    constexpr int Levels = 100'000;
    std::string text;
    for (int level = 0; level < Levels; ++level) {
        text += open;
    }
    text += "1";
    for (int level = 0; level < Levels; ++level) {
        text += close;
    }
    return text;
}

/// Guards against an extreme entry of another program that ends the process, or is taken for a target: deep
/// nesting, numbers out of range, ports out of range, texts of any length. Operators of similar systems saw
/// processes end again and again. A reason is short, whatever the entry holds, as it is logged and
/// remembered.
TEST(StoreRecords, ExtremeEntriesNameNoTargetAndGetAShortReason)
{
    const std::string longText(900'000, 'x');
    std::vector<std::string> extreme{deeplyNested("[", "]"), deeplyNested("{\"a\":", "}"),
        targetWith("\"v1\"", deeplyNested("[", "]")), targetWith("\"v1\"", deeplyNested("{\"a\":", "}")),
        targetWith("\"ready\"", "\"" + longText + "\""), targetWith("huvo11a", longText),
        targetWith("dk-east-a", longText), targetWith("10.128.0.9", longText),
        targetWith("\"version\":\"v1\",", ""), targetWith("\"v1\"", "1"), targetWith("\"seq\":4,", ""),
        targetWith("\"seq\":4", "\"seq\":\"4\"")};
    for (const std::string port : {"0", "65536", "70000", "-1", "4294967376", "99999999999999999999",
             "8080.0", "0x50", "", " 80", "80 "}) {
        extreme.push_back(targetWith(":8080", ":" + port));
    }
    for (const std::string number :
        {"1e400", "-1e400", "1e99999999999", "99999999999999999999", "1e300", "0.5", "-1", "[]"}) {
        extreme.push_back(targetWith("\"concurrency\":2", "\"concurrency\":" + number));
        extreme.push_back(targetWith("1790000000123", number));
    }
    for (const std::string number : {"1e400", "-1e400", "-1", "[]", "\"1\""}) {
        extreme.push_back(targetWith("1500", number));
    }
    for (const std::string &text : extreme) {
        const DecodedItem decoded = decodeItem(itemOf("servers/i-7f3a91c2", text));
        EXPECT_TRUE(decoded.update.targets.empty()) << text.substr(0, 300);
        EXPECT_EQ(decoded.update.removals.size(), 1U) << text.substr(0, 300);
        ASSERT_EQ(decoded.bad.size(), 1U) << text.substr(0, 300);
        EXPECT_LT(decoded.bad.front().size(), 300U) << decoded.bad.front().substr(0, 300);
    }
    for (const char *const id :
        {"i-1ffffffffffffffff", "i-99999999999999999999999999", "i-", "i-0", "/", ""}) {
        const DecodedItem decoded = decodeItem(itemOf("servers/" + std::string(id), GoodTarget));
        EXPECT_TRUE(decoded.update.targets.empty()) << id;
    }
}

TEST(StoreRecords, AMalformedRouteDoesNotHideTheOthers)
{
    std::string text = GoodRoutes;
    text.replace(text.find("/8443/"), 6, "/none/");
    const DecodedItem decoded = decodeItem(itemOf("op/config", text));
    ASSERT_TRUE(decoded.update.routes);
    EXPECT_EQ(decoded.update.routes->routes.size(), 1U);
    EXPECT_EQ(decoded.bad.size(), 1U);
}

/// Guards against crashes on malformed entries: random changes of valid entries are decoded, and a decoded
/// target must have an id.
TEST(StoreRecords, MutatedItemsNeverCrash)
{
    std::mt19937_64 random(20261204);
    for (int round = 0; round < 20000; ++round) {
        const bool isRoutes = round % 2 == 0;
        std::string text = isRoutes ? GoodRoutes : GoodTarget;
        for (std::uint64_t change = 1 + random() % 4; change > 0; --change) {
            text[random() % text.size()] = static_cast<char>(random());
        }
        text.resize(random() % 10 == 0 ? random() % text.size() : text.size());
        const DecodedItem decoded = decodeItem(itemOf(isRoutes ? "op/config" : "servers/i-7f3a91c2", text));
        for (const TargetRecord &target : decoded.update.targets) {
            EXPECT_NE(target.identity.id, 0U);
        }
    }
    for (const char *const item : {"null", "7", "[]", "{}", R"({"key":1})", R"({"key":"op/config"})",
             R"({"key":"op/config","rev":1})", R"({"key":"servers/i-1","rev":1,"value":7})"}) {
        decodeItem(json::parse(item));
    }
}

TEST(StoreRecords, TargetIdsEndInHexadecimalDigits)
{
    EXPECT_EQ(parseTargetId("i-7f3a91c2"), 0x7f3a91c2U);
    EXPECT_EQ(parseTargetId("i-ffffffffffffffff"), 0xffffffffffffffffU);
    EXPECT_FALSE(parseTargetId("i-"));
    EXPECT_FALSE(parseTargetId(""));
    EXPECT_FALSE(parseTargetId("i-xyz"));
    EXPECT_FALSE(parseTargetId("i-0"));
    EXPECT_FALSE(parseTargetId("i-1ffffffffffffffff"));
}

/// Guards against an evacuation that is ignored because of its value: operators write it in a hurry.
TEST(StoreRecords, AnEvacuationCountsWhateverItsValue)
{
    for (const std::string value : {"{}", "", "null", "{\"a\":", "[[[", "\xff"}) {
        const DecodedItem decoded = decodeItem(itemOf("op/evacuate/dk-east-a", value));
        ASSERT_EQ(decoded.update.evacuations.size(), 1U) << value;
        EXPECT_EQ(decoded.update.evacuations.front(), (EvacuationRecord{"dk-east-a", 7, true}));
        EXPECT_TRUE(decoded.bad.empty());
    }
    const DecodedItem bare = decodeItem(json::object{{"key", "op/evacuate/z"}, {"rev", 9}, {"value", 3}});
    EXPECT_EQ(bare.update.evacuations.front(), (EvacuationRecord{"z", 9, true}));
}

TEST(StoreRecords, ADeletedEvacuationHasEnded)
{
    const DecodedItem decoded
        = decodeItem(json::object{{"key", "op/evacuate/dk-east-a"}, {"rev", 12}, {"deleted", true}});
    ASSERT_EQ(decoded.update.evacuations.size(), 1U);
    EXPECT_EQ(decoded.update.evacuations.front(), (EvacuationRecord{"dk-east-a", 12, false}));
}

TEST(StoreRecords, KeysThatNameNoDataCentreAreReported)
{
    for (const std::string &key : {std::string("op/evacuate/"), "op/evacuate/" + std::string(201, 'z')}) {
        const DecodedItem decoded = decodeItem(itemOf(key, "{}"));
        EXPECT_TRUE(decoded.update.evacuations.empty());
        EXPECT_EQ(decoded.bad.size(), 1U);
    }
    EXPECT_TRUE(decodeItem(itemOf("op/evacuate", "{}")).update.evacuations.empty());
}

} // namespace jasminequay::platform
