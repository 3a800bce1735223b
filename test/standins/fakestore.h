// A stand-in of the users' store on loopback: items, pages, waiting watches, and the ways in which it fails.
#pragma once

#include "jasminequay/Packet/endpoint.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace jasminequay::platform
{

/// How the store treats calls.
enum class StoreMood : std::uint8_t {
    Well,
    TurnsAway, ///< 503.
    TooMany, ///< 429.
    Resets, ///< Closes each connection without an answer.
    Silent, ///< Takes the request and never answers.
    Garbled, ///< Answers with bytes that are no JSON.
};

/// Serves items over HTTP.
class FakeStore
{
public:
    explicit FakeStore(boost::asio::io_context &context);

    /// Returns where it listens.
    [[nodiscard]] Endpoint address() const;

    /// Writes an item.
    void put(const std::string &key, const std::string &value);

    /// Removes an item.
    void remove(const std::string &key);

    /// Forgets the changes up to now.
    void forgetHistory();

    /// Makes stale reads answer with the items as they are now.
    void keepForStaleReads();

    StoreMood mood = StoreMood::Well;
    std::size_t pageSize = 3;
    std::vector<std::string> requests; ///< The targets of all requests.

private:
    struct Item {
        std::string value;
        std::uint64_t revision = 0;
    };

    struct Change {
        std::uint64_t revision = 0;
        std::string key;
    };

    boost::asio::awaitable<void> accept();
    boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket socket);
    boost::asio::awaitable<std::pair<unsigned, std::string>> answer(std::string target);
    [[nodiscard]] std::string range(const std::string &after, bool isStale) const;
    [[nodiscard]] std::string changes(std::uint64_t after) const;
    [[nodiscard]] static boost::json::object itemOf(const std::string &key, const Item &item);

    boost::asio::io_context &m_context;
    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::steady_timer m_changed;
    std::map<std::string, Item> m_items;
    std::map<std::string, Item> m_staleItems;
    std::uint64_t m_staleRevision = 0;
    std::vector<Change> m_history;
    std::uint64_t m_revision = 10;
    std::uint64_t m_historyFloor = 0;
};

} // namespace jasminequay::platform
