#include "store.h"

#include "sockets.h"

#include <algorithm>

#include <sys/socket.h>
#include <unistd.h>

namespace review
{

constexpr std::size_t PageSize = 500;

static std::string base64(const std::string &text)
{
    static constexpr char Digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string encoded;
    for (std::size_t start = 0; start < text.size(); start += 3) {
        std::uint32_t bits = 0;
        for (std::size_t offset = 0; offset < 3; ++offset) {
            bits <<= 8;
            bits |= start + offset < text.size() ? static_cast<std::uint8_t>(text[start + offset]) : 0;
        }
        for (unsigned digit = 0; digit < 4; ++digit) {
            const bool isPadding = start + digit > text.size();
            encoded += isPadding ? '=' : Digits[(bits >> (18 - 6 * digit)) & 63];
        }
    }
    return encoded;
}

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
        if (encoded[position] == '%') {
            text += static_cast<char>(std::stoi(encoded.substr(position + 1, 2), nullptr, 16));
            position += 2;
        } else {
            text += encoded[position];
        }
    }
    return text;
}

void Store::open(std::uint32_t address, std::uint16_t port)
{
    m_listener = listenAt(address, port);
}

Store::~Store()
{
    for (const Connection &connection : m_connections) {
        close(connection.descriptor);
    }
    close(m_listener);
}

void Store::put(const std::string &key, const std::string &value)
{
    Item &item = m_items[key];
    if (item.revision != 0 && item.value == value) {
        return;
    }
    item.value = value;
    item.revision = ++m_revision;
    item.created = item.created == 0 ? m_revision : item.created;
    m_history.push_back({m_revision, key, item, false});
}

void Store::remove(const std::string &key)
{
    if (m_items.erase(key) > 0) {
        m_history.push_back({++m_revision, key, {}, true});
    }
}

std::string Store::valueOf(const std::string &key) const
{
    const auto found = m_items.find(key);
    return found == m_items.end() ? std::string() : found->second.value;
}

std::string Store::itemText(const std::string &key, const Item &item)
{
    return R"({"key":")" + key + R"(","value":")" + base64(item.value) + R"(","rev":)"
        + std::to_string(item.revision) + R"(,"createRevision":)" + std::to_string(item.created)
        + R"(,"lease":0})";
}

std::string Store::range(const std::string &prefix, const std::string &after) const
{
    std::string items;
    std::size_t count = 0;
    auto position = after.empty() ? m_items.begin() : m_items.upper_bound(after);
    for (; position != m_items.end() && count < PageSize; ++position) {
        if (position->first.starts_with(prefix)) {
            items += (count++ == 0 ? "" : ",") + itemText(position->first, position->second);
        }
    }
    return R"({"items":[)" + items + R"(],"hasMore":)" + (position == m_items.end() ? "false" : "true")
        + R"(,"asOf":)" + std::to_string(m_revision) + "}";
}

std::string Store::changes(std::uint64_t after) const
{
    std::string events;
    for (const Change &change : m_history) {
        if (change.revision <= after) {
            continue;
        }
        events += events.empty() ? "" : ",";
        events += change.isDeleted ? R"({"key":")" + change.key + R"(","rev":)"
                + std::to_string(change.revision) + R"(,"deleted":true})"
                                   : itemText(change.key, change.item);
    }
    return R"({"events":[)" + events + R"(],"asOf":)" + std::to_string(m_revision) + "}";
}

void Store::addDescriptors(std::vector<pollfd> &descriptors) const
{
    descriptors.push_back({m_listener, POLLIN, 0});
    for (const Connection &connection : m_connections) {
        descriptors.push_back({connection.descriptor, POLLIN, 0});
    }
}

void Store::reply(Connection &connection, int status, const std::string &body)
{
    const std::string text = "HTTP/1.1 " + std::to_string(status)
        + " Status\r\nContent-Type: application/json\r\nConnection: close\r\nContent-Length: "
        + std::to_string(body.size()) + "\r\n\r\n" + body;
    sendAll(connection.descriptor, text);
    close(connection.descriptor);
    connection.descriptor = -1;
}

void Store::takeRequest(Connection &connection, Time now)
{
    const std::size_t begin = connection.request.find(' ') + 1;
    const std::string target = connection.request.substr(begin, connection.request.find(' ', begin) - begin);
    if (target.starts_with("/v1/kv-range")) {
        reply(connection, 200, range(parameter(target, "prefix"), parameter(target, "after")));
    } else if (target.starts_with("/v1/kv-watch")) {
        connection.isWaiting = true;
        connection.after = std::stoull(parameter(target, "after"));
        connection.until = now + std::chrono::milliseconds(std::stoi(parameter(target, "waitMs")));
    } else {
        reply(connection, 404, "{}");
    }
}

void Store::serve(Time now)
{
    for (int descriptor = accept(m_listener, nullptr, nullptr); descriptor >= 0;
         descriptor = accept(m_listener, nullptr, nullptr)) {
        setNonBlocking(descriptor);
        Connection connection;
        connection.descriptor = descriptor;
        m_connections.push_back(connection);
    }
    for (Connection &connection : m_connections) {
        char buffer[4096];
        const ssize_t size = recv(connection.descriptor, buffer, sizeof buffer, MSG_DONTWAIT);
        if (size > 0) {
            connection.request.append(buffer, static_cast<std::size_t>(size));
        } else if (size == 0) {
            close(connection.descriptor);
            connection.descriptor = -1;
            continue;
        }
        if (!connection.isWaiting && connection.request.ends_with("\r\n\r\n")) {
            takeRequest(connection, now);
        }
        if (connection.isWaiting && (m_revision > connection.after || now >= connection.until)) {
            reply(connection, 200, changes(connection.after));
        }
    }
    std::erase_if(m_connections, [](const Connection &connection) { return connection.descriptor < 0; });
}

} // namespace review
