// Tests `jasminequay explain --route` against an instance that runs as a process of its own.
#include "fakestore.h"
#include "process.h"

#include <boost/json.hpp>
#include <gtest/gtest.h>

#include <boost/asio/ip/udp.hpp>

#include <filesystem>
#include <fstream>
#include <sstream>

#include <sys/wait.h>

namespace jasminequay::platform
{

namespace json = boost::json;

constexpr std::uint16_t TargetPort = 17886;

static std::string entryOf(std::uint16_t port, const std::string &state)
{
    return R"({"service":"s","addr":"127.0.0.1:)" + std::to_string(port)
        + R"(","zone":"z","version":"v1","concurrency":2,"state":")" + state
        + R"(","warmLeftMs":0,"seq":1,"born":5})";
}

class ExplainRouteTest : public testing::Test
{
protected:
    ExplainRouteTest()
        : store(context)
        , target(context, {boost::asio::ip::address_v4::loopback(), TargetPort})
        , directory(
              std::filesystem::temp_directory_path() / ("jasminequay-explain-" + std::to_string(getpid())))
    {
        std::filesystem::create_directory(directory);
        store.put("op/config",
            R"({"version":3,"routes":[{"name":"r","host":"198.18.0.1","prefix":"/443/","type":"idempotent",)"
            R"("service":"s"}],"services":[],"limits":{"idleTimeoutMs":15000}})");
        store.put("servers/i-2a", entryOf(TargetPort, "ready"));
        store.put("servers/i-2b", entryOf(17887, "draining"));
        std::ofstream(directory / "node.yaml")
            << "instance: fk-1\ndata-centre: z\npackets: 127.0.0.1:17881\nreadiness: 127.0.0.1:17882\n"
            << "control: 127.0.0.1:17883\npeer-port: 17884\nstore: " << format(store.address()) << '\n';
    }

    ~ExplainRouteTest() override
    {
        std::filesystem::remove_all(directory);
    }

    /// Runs a command of the tool, lets the store serve meanwhile and returns the exit code.
    int run(const std::string &route, const std::string &control, bool isJson)
    {
        std::filesystem::remove(directory / "output");
        std::vector<std::string> words{JASMINEQUAY_TOOL, "explain", "--instance", control, "--route", route};
        if (isJson) {
            words.emplace_back("--json");
        }
        soak::Process process(words, directory / "output");
        while (!process.hasEnded()) {
            context.run_one_for(std::chrono::milliseconds(5));
        }
        std::ostringstream text;
        text << std::ifstream(directory / "output").rdbuf();
        output = text.str();
        return WEXITSTATUS(process.status());
    }

    /// Repeats the command until the instance knows its routes and targets. The time limit only ends a test
    /// that has failed.
    int runWhenLoaded(const std::string &route)
    {
        const auto limit = std::chrono::steady_clock::now() + std::chrono::seconds(20);
        int code = run(route, "127.0.0.1:17883", true);
        while (code == 3 && std::chrono::steady_clock::now() < limit) {
            code = run(route, "127.0.0.1:17883", true);
        }
        return code;
    }

    boost::asio::io_context context;
    FakeStore store;
    boost::asio::ip::udp::socket target;
    std::filesystem::path directory;
    std::string output;
};

/// Guards against an explanation that differs from what the instance does, and against one that sends
/// packets.
TEST_F(ExplainRouteTest, SaysWhereNewFlowsOfARouteGoAndWhy)
{
    const soak::Process instance(
        {JASMINEQUAY_TOOL, "steer", "--settings", directory / "node.yaml"}, directory / "log");
    ASSERT_EQ(runWhenLoaded("r"), 0) << output;
    const json::value page = json::parse(output);
    EXPECT_EQ(page.at("route").at("address").as_string(), "198.18.0.1:443");
    EXPECT_TRUE(page.at("inputs").at("age_ms").is_null() || page.at("inputs").at("age_ms").is_int64());
    const json::value &service = page.at("services").at(0);
    ASSERT_EQ(service.at("ranking").as_array().size(), 2U) << output;
    const json::value &first = service.at("ranking").at(0);
    EXPECT_EQ(first.at("name").as_string(), "i-2a");
    EXPECT_EQ(first.at("reason").as_string(), "chosen");
    EXPECT_EQ(first.at("new_flows"), page.at("samples"));
    EXPECT_EQ(service.at("ranking").at(1).at("reason").as_string(), "draining");

    EXPECT_EQ(run("198.18.0.1:443", "127.0.0.1:17883", false), 0) << output;
    EXPECT_NE(output.find("1. i-2a at 127.0.0.1:17886 in z: chosen, 32 new flows"), std::string::npos)
        << output;
    EXPECT_EQ(target.available(), 0U) << "nothing may be sent to a target";
}

/// Guards against exit codes that scripts cannot rely on.
TEST_F(ExplainRouteTest, ExitCodesTellAnUnknownRouteFromAnInstanceThatDoesNotAnswer)
{
    EXPECT_EQ(run("r", "127.0.0.1:17883", false), 3) << output;
    EXPECT_EQ(run("r", "nowhere", false), 2) << output;
    const soak::Process instance(
        {JASMINEQUAY_TOOL, "steer", "--settings", directory / "node.yaml"}, directory / "log");
    EXPECT_EQ(runWhenLoaded("other"), 1) << output;
    EXPECT_NE(output.find("knows no route 'other'"), std::string::npos) << output;
}

} // namespace jasminequay::platform
