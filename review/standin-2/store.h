// The platform's store: items, reads and waiting watches over HTTP.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <poll.h>

namespace review
{

using Clock = std::chrono::steady_clock;
using Time = Clock::time_point;

class Store
{
public:
    /// Listens at an address in host byte order.
    void open(std::uint32_t address, std::uint16_t port);
    ~Store();

    /// Writes an item; the same value again changes nothing.
    void put(const std::string &key, const std::string &value);
    void remove(const std::string &key);
    [[nodiscard]] std::string valueOf(const std::string &key) const;

    /// Adds the descriptors to wait for.
    void addDescriptors(std::vector<pollfd> &descriptors) const;

    /// Answers what can be answered now.
    void serve(Time now);

private:
    struct Item {
        std::string value;
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
    };

    /// One write or removal.
    struct Change {
        std::uint64_t revision = 0;
        std::string key;
        Item item;
        bool isDeleted = false;
    };

    struct Connection {
        int descriptor = -1;
        std::string request;
        bool isWaiting = false;
        std::uint64_t after = 0;
        Time until;
    };

    void takeRequest(Connection &connection, Time now);
    void reply(Connection &connection, int status, const std::string &body);
    [[nodiscard]] std::string range(const std::string &prefix, const std::string &after) const;
    [[nodiscard]] std::string changes(std::uint64_t after) const;
    static std::string itemText(const std::string &key, const Item &item);

    int m_listener = -1;
    std::map<std::string, Item> m_items;
    std::vector<Change> m_history;
    std::uint64_t m_revision = 100;
    std::vector<Connection> m_connections;
};

} // namespace review
