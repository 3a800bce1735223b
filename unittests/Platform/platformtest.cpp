#include "jasminequay/Platform/instancelistparser.h"
#include "jasminequay/Platform/loadreport.h"
#include "jasminequay/Platform/operatorserver.h"
#include "jasminequay/Platform/platformwatch.h"

#include "platformserver.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <filesystem>
#include <fstream>
#include <unistd.h>

namespace jasminequay
{

namespace asio = boost::asio;

constexpr Ipv4Address Loopback{0x7f000001};

/// Runs the context until the condition holds; the limit only ends a test that has failed.
template <typename Condition> static bool runUntil(asio::io_context &context, Condition condition)
{
    const auto limit = std::chrono::steady_clock::now() + std::chrono::seconds(20);
    bool isMet = condition();
    while (!isMet && std::chrono::steady_clock::now() < limit) {
        context.run_one_for(std::chrono::milliseconds(100));
        isMet = condition();
    }
    return isMet;
}

/// Two files that a platform publishes.
class PublishedFiles
{
public:
    PublishedFiles()
        : m_folder(
            std::filesystem::temp_directory_path() / ("jasminequay-platform-" + std::to_string(getpid())))
    {
        std::filesystem::create_directories(m_folder);
    }

    ~PublishedFiles()
    {
        std::filesystem::remove_all(m_folder);
    }

    PublishedFiles(const PublishedFiles &) = delete;
    PublishedFiles &operator=(const PublishedFiles &) = delete;

    [[nodiscard]] std::string path(const std::string &name) const
    {
        return m_folder / name;
    }

    void write(const std::string &name, const std::string &content) const
    {
        std::ofstream(path(name + ".new")) << content;
        std::filesystem::rename(path(name + ".new"), path(name));
    }

private:
    std::filesystem::path m_folder;
};

TEST(InstanceList, NamesWhatIsMissing)
{
    const auto reasonOf = [](const std::string &text) {
        return withFailure(
            [&]() -> Result<std::string> {
                BOOST_LEAF_CHECK(parseInstanceList(text, "192.0.2.1:80"));
                return std::string();
            },
            [](const Failure &failure) { return describe(failure); });
    };
    const std::string item
        = "{instance: a, data-centre: d, state: live, peer-data: 127.0.0.1:1, peer-control: 127.0.0.1:2}";
    EXPECT_EQ(reasonOf("version: 1\ninstances: [" + item + "]"), "");
    EXPECT_EQ(reasonOf("version: 1\ninstances:\n"), "");
    EXPECT_NE(reasonOf("instances: []").find("read-platform 192.0.2.1:80"), std::string::npos);
    EXPECT_NE(reasonOf("version: 1\ninstances: [" + item + ", {instance: b}]").find("instance 2"),
        std::string::npos);
    EXPECT_NE(reasonOf("version: 1\ninstances: [").find("not YAML"), std::string::npos);
}

RC_GTEST_PROP(InstanceList, AnyBytesAreSafe, (const std::string &text))
{
    static_cast<void>(parseInstanceList(text, "p"));
    static_cast<void>(parseLoadReport(text));
}

TEST(LoadReport, IsReadOrRefusedWhole)
{
    EXPECT_EQ(parseLoadReport("outstanding=3 shedding=true\n")->outstanding, 3U);
    EXPECT_TRUE(parseLoadReport("outstanding=3 shedding=true")->isShedding);
    for (const char *const text :
        {"", "shedding=true", "outstanding=-1", "outstanding=3 x=1", "outstanding=99999999999"}) {
        EXPECT_FALSE(parseLoadReport(text)) << text;
    }
}

TEST(PlatformWatch, TakesEachNewerValueAndSurvivesAnOutage)
{
    asio::io_context context(1);
    const PublishedFiles files;
    files.write("settings", "version: 1\n");
    files.write("instances", "version: 1\n");
    const Endpoint address{Loopback, 17811};
    std::uint64_t version = 0;
    std::vector<std::string> taken;
    std::vector<bool> health;
    PlatformWatchHooks hooks;
    hooks.shouldWatch = []() {
        return true;
    };
    hooks.version = [&]() {
        return version;
    };
    hooks.take = [&](const std::string &text) {
        taken.push_back(text);
        ++version;
    };
    hooks.health = [&](bool isFailing) {
        health.push_back(isFailing);
    };
    PlatformWatch watch(context, address, PlatformValue::Settings, hooks, 1);
    watch.start();
    ASSERT_TRUE(runUntil(context, [&]() { return watch.failures() == 1; })) << "nobody listens yet";
    const standin::PlatformServer platform(context, address, files.path("settings"), files.path("instances"));
    ASSERT_TRUE(runUntil(context, [&]() { return taken.size() == 1; }));
    files.write("settings", "version: 2\n" + std::string(1 << 20, '#') + "\n");
    ASSERT_TRUE(runUntil(context, [&]() { return taken.size() == 2; })) << "a value of a megabyte";
    EXPECT_TRUE(health.front());
    EXPECT_FALSE(health.back());
}

TEST(OperatorServer, AnswersWhatTheHandlerSays)
{
    asio::io_context context(1);
    const Endpoint address{Loopback, 17812};
    OperatorServer server(context, [](const std::string &path) {
        return path == "/healthz" ? OperatorPage{200, "ok\n"} : OperatorPage{404, "unknown page\n"};
    });
    ASSERT_TRUE(server.open(address));
    std::vector<HttpAnswer> answers;
    for (const char *const path : {"/healthz", "/other"}) {
        asio::co_spawn(context, httpGet(address, path, {}, Step::ReadPlatform),
            [&](const std::exception_ptr &, HttpAnswer answer) { answers.push_back(std::move(answer)); });
    }
    ASSERT_TRUE(runUntil(context, [&]() { return answers.size() == 2; }));
    EXPECT_EQ(answers[0].status + answers[1].status, 604U);
}

} // namespace jasminequay
