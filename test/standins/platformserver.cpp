#include "platformserver.h"

#include "jasminequay/Support/units.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <yaml-cpp/yaml.h>

#include <fstream>
#include <iterator>

namespace jasminequay::standin
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

constexpr auto Awaited = asio::as_tuple(asio::use_awaitable);
constexpr auto PollInterval = std::chrono::milliseconds(50);

PlatformServer::PlatformServer(
    asio::io_context &context, Endpoint address, std::string settingsFile, std::string instancesFile)
    : m_context(context)
    , m_acceptor(context, {asio::ip::address_v4(address.address.value), address.port})
    , m_settingsFile(std::move(settingsFile))
    , m_instancesFile(std::move(instancesFile))
{
    asio::co_spawn(m_context, accept(), asio::detached);
}

asio::awaitable<void> PlatformServer::accept()
{
    while (true) {
        auto [error, socket] = co_await m_acceptor.async_accept(Awaited);
        if (!error) {
            asio::co_spawn(m_context, serve(std::move(socket)), asio::detached);
        }
    }
}

static std::string contentOf(const std::string &path)
{
    std::ifstream file(path);
    return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
}

static std::uint64_t versionOf(const std::string &text)
{
    try {
        return YAML::Load(text)["version"].as<std::uint64_t>(0);
    } catch (const YAML::Exception &) {
        return 0;
    }
}

/// Returns the value of a query parameter of a path such as "/v1/settings?above=3&wait=20s".
static std::string parameter(const std::string &target, const std::string &name)
{
    const std::size_t start = target.find(name + "=");
    if (start == std::string::npos) {
        return {};
    }
    const std::size_t value = start + name.size() + 1;
    return target.substr(value, target.find('&', value) - value);
}

asio::awaitable<void> PlatformServer::serve(asio::ip::tcp::socket socket)
{
    beast::tcp_stream stream(std::move(socket));
    beast::flat_buffer buffer;
    http::request<http::string_body> request;
    if (const auto [error, size] = co_await http::async_read(stream, buffer, request, Awaited); error) {
        co_return;
    }
    ++m_calls;
    const std::string target(request.target());
    const std::string &file = target.starts_with("/v1/settings") ? m_settingsFile : m_instancesFile;
    const std::uint64_t above = parseNumber(parameter(target, "above")).value_or(0);
    const Duration wait = parseDuration(parameter(target, "wait")).value_or(Duration{});
    const auto deadline = std::chrono::steady_clock::now() + wait;
    std::string text = contentOf(file);
    asio::steady_timer timer(m_context);
    while (versionOf(text) <= above && std::chrono::steady_clock::now() < deadline) {
        timer.expires_after(PollInterval);
        co_await timer.async_wait(asio::use_awaitable);
        text = contentOf(file);
    }
    const bool isNewer = versionOf(text) > above;
    http::response<http::string_body> response(isNewer ? http::status::ok : http::status::no_content, 11);
    response.keep_alive(false);
    response.body() = isNewer ? text : std::string();
    response.prepare_payload();
    co_await http::async_write(stream, response, Awaited);
}

} // namespace jasminequay::standin
