#include "fakestore.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <sodium/utils.h>

namespace jasminequay::platform
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
namespace json = boost::json;

constexpr auto Awaited = asio::as_tuple(asio::use_awaitable);

/// Returns a parameter of a request's query, with percent escapes undone.
static std::string parameter(const std::string &target, const std::string &name)
{
    const std::string query = "&" + target.substr(target.find('?') + 1) + "&";
    const std::size_t start = query.find("&" + name + "=");
    if (start == std::string::npos) {
        return {};
    }
    const std::size_t from = start + name.size() + 2;
    const std::string encoded = query.substr(from, query.find('&', from) - from);
    std::string text;
    for (std::size_t position = 0; position < encoded.size(); ++position) {
        if (encoded[position] != '%') {
            text += encoded[position];
            continue;
        }
        text += static_cast<char>(std::stoi(encoded.substr(position + 1, 2), nullptr, 16));
        position += 2;
    }
    return text;
}

static std::string base64(const std::string &value)
{
    std::string encoded(sodium_base64_ENCODED_LEN(value.size(), sodium_base64_VARIANT_ORIGINAL), '\0');
    sodium_bin2base64(encoded.data(), encoded.size(), reinterpret_cast<const unsigned char *>(value.data()),
        value.size(), sodium_base64_VARIANT_ORIGINAL);
    encoded.pop_back();
    return encoded;
}

FakeStore::FakeStore(asio::io_context &context)
    : m_context(context)
    , m_acceptor(context, asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0))
    , m_changed(context, asio::steady_timer::time_point::max())
{
    asio::co_spawn(m_context, accept(), asio::detached);
}

Endpoint FakeStore::address() const
{
    return {{0x7f000001}, m_acceptor.local_endpoint().port()};
}

void FakeStore::put(const std::string &key, const std::string &value)
{
    m_data.items[key] = {value, ++m_data.revision};
    m_data.history.push_back({m_data.revision, key});
    m_changed.cancel();
}

void FakeStore::remove(const std::string &key)
{
    m_data.items.erase(key);
    m_data.history.push_back({++m_data.revision, key});
    m_changed.cancel();
}

std::vector<std::string> FakeStore::keys(const std::string &prefix) const
{
    std::vector<std::string> found;
    for (const auto &[key, item] : m_data.items) {
        if (key.starts_with(prefix)) {
            found.push_back(key);
        }
    }
    return found;
}

void FakeStore::forgetHistory()
{
    m_data.historyFloor = m_data.revision;
    m_data.history.clear();
    m_changed.cancel();
}

void FakeStore::makeCopy()
{
    m_copy = m_data;
}

void FakeStore::restoreCopy()
{
    m_data = m_copy;
    ++era;
    keepForStaleReads();
    m_changed.cancel();
}

void FakeStore::keepForStaleReads()
{
    m_staleItems = m_data.items;
    m_staleRevision = m_data.revision;
}

json::object FakeStore::itemOf(const std::string &key, const Item &item)
{
    return {{"key", key}, {"value", base64(item.value)}, {"rev", item.revision},
        {"createRevision", item.revision}, {"lease", 0}};
}

std::string FakeStore::range(const std::string &after, bool isStale) const
{
    const std::map<std::string, Item> &items = isStale ? m_staleItems : m_data.items;
    json::array page;
    auto position = after.empty() ? items.begin() : items.upper_bound(after);
    for (; position != items.end() && page.size() < pageSize; ++position) {
        page.push_back(itemOf(position->first, position->second));
    }
    return json::serialize(json::object{{"items", page}, {"hasMore", position != items.end()},
        {"asOf", isStale ? m_staleRevision : m_data.revision}});
}

std::string FakeStore::changes(std::uint64_t after) const
{
    json::array events;
    for (const Change &change : m_data.history) {
        if (change.revision <= after) {
            continue;
        }
        const auto item = m_data.items.find(change.key);
        if (item == m_data.items.end()) {
            events.push_back(json::object{{"key", change.key}, {"rev", change.revision}, {"deleted", true}});
        } else if (item->second.revision == change.revision) {
            events.push_back(itemOf(item->first, item->second));
        }
    }
    return json::serialize(json::object{{"events", events}, {"asOf", m_data.revision}});
}

asio::awaitable<std::pair<unsigned, std::string>> FakeStore::answer(std::string target)
{
    if (target.starts_with("/v1/kv-range?")) {
        const bool isStale = parameter(target, "staleOk") == "1";
        co_return std::pair(200U, range(parameter(target, "after"), isStale));
    }
    if (!target.starts_with("/v1/kv-watch?")) {
        co_return std::pair(404U, std::string("{}"));
    }
    const std::uint64_t after = std::stoull(parameter(target, "after"));
    const auto deadline = std::chrono::steady_clock::now()
        + std::chrono::milliseconds(std::stoi(parameter(target, "waitMs")));
    while (after == m_data.revision && std::chrono::steady_clock::now() < deadline) {
        m_changed.expires_at(deadline);
        co_await m_changed.async_wait(Awaited);
    }
    if (after < m_data.historyFloor || after > m_data.revision) {
        co_return std::pair(410U, std::string("{}"));
    }
    co_return std::pair(200U, changes(after));
}

asio::awaitable<void> FakeStore::accept()
{
    while (true) {
        auto [error, socket] = co_await m_acceptor.async_accept(Awaited);
        if (error) {
            co_return;
        }
        asio::co_spawn(m_context, serve(std::move(socket)), asio::detached);
    }
}

asio::awaitable<void> FakeStore::serve(asio::ip::tcp::socket socket)
{
    beast::tcp_stream stream(std::move(socket));
    beast::flat_buffer buffer;
    http::request<http::string_body> request;
    if (const auto [error, size] = co_await http::async_read(stream, buffer, request, Awaited); error) {
        co_return;
    }
    requests.emplace_back(request.target());
    std::pair<unsigned, std::string> reply(200U, "no JSON {");
    switch (mood) {
    case StoreMood::Well:
        reply = co_await answer(requests.back());
        break;
    case StoreMood::TurnsAway:
        reply = {503U, "{}"};
        break;
    case StoreMood::TooMany:
        reply = {429U, "{}"};
        break;
    case StoreMood::Resets:
        co_return;
    case StoreMood::Silent: {
        asio::steady_timer never(m_context, asio::steady_timer::time_point::max());
        co_await never.async_wait(Awaited);
        co_return;
    }
    case StoreMood::Garbled:
        break;
    }
    const std::uint32_t eraOfAnswer = era;
    if (onPage && request.target().starts_with("/v1/kv-range?")) {
        onPage();
    }
    http::response<http::string_body> response(static_cast<http::status>(reply.first), 11);
    response.body() = reply.second;
    if (eraOfAnswer > 0) {
        response.set(eraHeader, std::to_string(eraOfAnswer));
    }
    response.prepare_payload();
    co_await http::async_write(stream, response, Awaited);
}

} // namespace jasminequay::platform
