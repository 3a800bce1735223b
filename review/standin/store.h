// A stand-in of the platform's metadata store: items, pages, watches and a history of 20 s.
#pragma once

#include "base.h"

#include <atomic>
#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace review
{

class Store
{
public:
    /// Each machine gets an address of its own, so that the store knows who reads.
    Store(std::vector<Address> addresses, Record &record);

    /// Listens and serves each connection in a thread of its own.
    [[nodiscard]] bool start();

    /// Writes an item. Returns its revision; the write is acknowledged when this returns.
    std::uint64_t put(const std::string &key, const std::string &value);

    /// Returns the index of the address at which changes were last read; -1 if there was none.
    [[nodiscard]] int lastReader() const
    {
        return m_lastReader;
    }

    /// Returns when the last answer with changes was sent whole.
    [[nodiscard]] double changesSentAt() const
    {
        return m_changesSentAt;
    }

    /// Removes an item.
    void remove(const std::string &key);

private:
    struct Item {
        std::string value; ///< In base64.
        std::size_t size = 0; ///< In bytes, decoded.
        std::uint64_t revision = 0;
        std::uint64_t createRevision = 0;
    };
    struct Event {
        std::uint64_t revision = 0;
        double at = 0;
        std::string key;
        Item item;
        bool isDeleted = false;
    };

    [[nodiscard]] bool listenAt(std::size_t index);
    void serve(int connection, int reader);
    std::pair<int, std::string> answer(const std::string &target);
    std::pair<int, std::string> range(const std::string &prefix, const std::string &after);
    std::pair<int, std::string> watch(const std::string &prefix, std::uint64_t after, long waitMs);
    void forgetOldEvents();

    std::vector<Address> m_addresses;
    std::atomic<int> m_lastReader = -1;
    std::atomic<double> m_changesSentAt = 0;
    Record &m_record;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, Item> m_items;
    std::deque<Event> m_events;
    std::uint64_t m_revision = 1;
    std::uint64_t m_forgottenUpTo = 0; ///< The newest revision that the history no longer holds.
};

} // namespace review
