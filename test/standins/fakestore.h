// A stand-in of the users' store on loopback: items, pages, waiting watches, and the ways in which it fails.
#pragma once

#include "jasminequay/Packet/endpoint.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>

#include <cstdint>
#include <functional>
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

    /// Returns the keys of the items that begin with a prefix.
    [[nodiscard]] std::vector<std::string> keys(const std::string &prefix) const;

    /// Forgets the changes up to now.
    void forgetHistory();

    /// Makes a copy of all items, to which restoreCopy() goes back.
    void makeCopy();

    /// Goes back to the copy: what was written since is gone, and revisions are issued again. A new era
    /// begins.
    void restoreCopy();

    /// Makes stale reads answer with the items as they are now.
    void keepForStaleReads();

    StoreMood mood = StoreMood::Well;
    std::size_t pageSize = 3;
    std::uint32_t era = 0; ///< Named by the header Store-Era of each answer, unless it is 0.
    std::string eraHeader = "Store-Era"; ///< The name of the header as it is sent.
    std::function<void()> onPage; ///< Called after each page of a complete read has been made.
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

    /// What a copy holds.
    struct Data {
        std::map<std::string, Item> items;
        std::vector<Change> history;
        std::uint64_t revision = 10;
        std::uint64_t historyFloor = 0;
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
    Data m_data;
    Data m_copy;
    std::map<std::string, Item> m_staleItems;
    std::uint64_t m_staleRevision = 0;
};

} // namespace jasminequay::platform
