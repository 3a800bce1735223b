#include "store.h"

#include <unistd.h>

#include <cstring>
#include <thread>
#include <vector>

namespace review
{

constexpr double HistorySeconds = 20;
constexpr auto AnswerTime = std::chrono::milliseconds(4);
constexpr std::size_t MaximumPageItems = 500;
constexpr std::size_t MaximumPageBytes = 1'000'000;

static std::string base64(const std::string &value)
{
    static constexpr char Digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string encoded;
    encoded.reserve((value.size() + 2) / 3 * 4);
    for (std::size_t index = 0; index < value.size(); index += 3) {
        std::uint32_t group = 0;
        for (std::size_t part = 0; part < 3; ++part) {
            group = group << 8
                | (index + part < value.size() ? static_cast<unsigned char>(value[index + part]) : 0);
        }
        for (std::size_t digit = 0; digit < 4; ++digit) {
            encoded += index + digit <= value.size() ? Digits[group >> (18 - 6 * digit) & 63] : '=';
        }
    }
    return encoded;
}

/// Returns a parameter of the query of a request, with percent escapes undone.
static std::string parameter(const std::string &target, const std::string &name)
{
    const std::string query = "&" + target.substr(target.find('?') + 1) + "&";
    const std::size_t start = query.find("&" + name + "=");
    if (start == std::string::npos) {
        return {};
    }
    const std::size_t from = start + name.size() + 2;
    const std::string encoded = query.substr(from, query.find('&', from) - from);
    std::string decoded;
    for (std::size_t index = 0; index < encoded.size(); ++index) {
        if (encoded[index] == '%' && index + 2 < encoded.size()) {
            decoded += static_cast<char>(std::stoi(encoded.substr(index + 1, 2), nullptr, 16));
            index += 2;
        } else {
            decoded += encoded[index];
        }
    }
    return decoded;
}

Store::Store(std::vector<Address> addresses, Record &record)
    : m_addresses(std::move(addresses))
    , m_record(record)
{
}

bool Store::start()
{
    for (std::size_t index = 0; index < m_addresses.size(); ++index) {
        if (!listenAt(index)) {
            return false;
        }
    }
    return true;
}

bool Store::listenAt(std::size_t index)
{
    const int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int enabled = 1;
    setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
    const sockaddr_in local = toSocketAddress(m_addresses[index]);
    if (bind(listener, reinterpret_cast<const sockaddr *>(&local), sizeof local) != 0
        || listen(listener, 128) != 0) {
        return false;
    }
    std::thread([this, listener, index]() {
        while (true) {
            const int connection = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (connection >= 0) {
                std::thread([this, connection, index]() {
                    serve(connection, static_cast<int>(index));
                }).detach();
            }
        }
    }).detach();
    return true;
}

std::uint64_t Store::put(const std::string &key, const std::string &value)
{
    const std::string encoded = base64(value);
    const std::lock_guard lock(m_mutex);
    Item &item = m_items[key];
    item.value = encoded;
    item.size = value.size();
    item.revision = ++m_revision;
    item.createRevision = item.createRevision == 0 ? m_revision : item.createRevision;
    m_events.push_back({m_revision, now(), key, item, false});
    m_changed.notify_all();
    return m_revision;
}

void Store::remove(const std::string &key)
{
    const std::lock_guard lock(m_mutex);
    m_items.erase(key);
    m_events.push_back({++m_revision, now(), key, {}, true});
    m_changed.notify_all();
}

void Store::forgetOldEvents()
{
    while (!m_events.empty() && now() - m_events.front().at > HistorySeconds) {
        m_forgottenUpTo = m_events.front().revision;
        m_events.pop_front();
    }
}

template <typename Item> static std::string describeItem(const std::string &key, const Item &item)
{
    return R"({"key":")" + key + R"(","value":")" + item.value + R"(","rev":)" + std::to_string(item.revision)
        + R"(,"createRevision":)" + std::to_string(item.createRevision) + R"(,"lease":0})";
}

std::pair<int, std::string> Store::range(const std::string &prefix, const std::string &after)
{
    const std::lock_guard lock(m_mutex);
    std::string items;
    std::size_t count = 0;
    std::size_t bytes = 0;
    auto position = after.empty() ? m_items.lower_bound(prefix) : m_items.upper_bound(after);
    const auto isWithin = [&]() {
        return position != m_items.end() && position->first.starts_with(prefix);
    };
    for (; isWithin() && count < MaximumPageItems && bytes < MaximumPageBytes; ++position) {
        items += (count++ == 0 ? "" : ",") + describeItem(position->first, position->second);
        bytes += position->second.size;
    }
    return {200,
        R"({"items":[)" + items + R"(],"hasMore":)" + (isWithin() ? "true" : "false") + R"(,"asOf":)"
            + std::to_string(m_revision) + "}"};
}

std::pair<int, std::string> Store::watch(const std::string &prefix, std::uint64_t after, long waitMs)
{
    std::unique_lock lock(m_mutex);
    const auto hasEvents = [&]() {
        for (auto event = m_events.rbegin(); event != m_events.rend() && event->revision > after; ++event) {
            if (event->key.starts_with(prefix)) {
                return true;
            }
        }
        return false;
    };
    forgetOldEvents();
    if (after < m_forgottenUpTo) {
        return {410, "{}"};
    }
    m_changed.wait_for(lock, std::chrono::milliseconds(waitMs), hasEvents);
    std::string events;
    std::size_t count = 0;
    for (const Event &event : m_events) {
        if (event.revision <= after || !event.key.starts_with(prefix)) {
            continue;
        }
        events += count++ == 0 ? "" : ",";
        events += event.isDeleted ? R"({"key":")" + event.key + R"(","rev":)" + std::to_string(event.revision)
                + R"(,"deleted":true})"
                                  : describeItem(event.key, event.item);
    }
    return {200, R"({"events":[)" + events + R"(],"asOf":)" + std::to_string(m_revision) + "}"};
}

std::pair<int, std::string> Store::answer(const std::string &target)
{
    std::this_thread::sleep_for(AnswerTime);
    if (target.starts_with("/v1/kv-range?")) {
        return range(parameter(target, "prefix"), parameter(target, "after"));
    }
    if (target.starts_with("/v1/kv-watch?")) {
        return watch(parameter(target, "prefix"), std::stoull("0" + parameter(target, "after")),
            std::stol("0" + parameter(target, "waitMs")));
    }
    return {404, "{}"};
}

void Store::serve(int connection, int reader)
{
    std::string request;
    char buffer[4096];
    while (request.find("\r\n\r\n") == std::string::npos) {
        const ssize_t size = recv(connection, buffer, sizeof buffer, 0);
        if (size <= 0) {
            close(connection);
            return;
        }
        request.append(buffer, static_cast<std::size_t>(size));
    }
    const std::size_t start = request.find(' ') + 1;
    const std::string target = request.substr(start, request.find(' ', start) - start);
    const bool isWatch = target.starts_with("/v1/kv-watch?");
    if (isWatch) {
        m_lastReader = reader;
    }
    const auto [status, body] = answer(target);
    std::string reply = "HTTP/1.1 " + std::to_string(status)
        + " X\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size())
        + "\r\nConnection: close\r\n\r\n";
    reply += body;
    std::size_t sent = 0;
    while (sent < reply.size()) {
        const ssize_t size = send(connection, reply.data() + sent, reply.size() - sent, MSG_NOSIGNAL);
        if (size <= 0) {
            break;
        }
        sent += static_cast<std::size_t>(size);
    }
    if (isWatch && body.find(R"("key")") != std::string::npos && sent == reply.size()) {
        m_changesSentAt = now();
    }
    m_record.line("store, machine " + std::to_string(reader + 1) + ": " + target + " -> "
        + std::to_string(status) + ", " + std::to_string(body.size()) + " bytes, "
        + (sent == reply.size() ? "taken whole" : "broken off by the reader after " + std::to_string(sent)));
    shutdown(connection, SHUT_WR);
    close(connection);
}

} // namespace review
