// Stand-ins for a small deployment on loopback: the platform's store, the routers of one zone, endpoints and
// clients, as the users' pages describe them. One thread, real clock. Plays one scenario against instances of
// the project that run as separate processes, and judges what clients and endpoints see.
//
// rig MODE TROUBLE BASE_PORT INSTANCES RECORD FOLDER    FOLDER has the pid of instance N in N.pid
#include <arpa/inet.h>
#include <csignal>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace
{

using Bytes = std::string;

// The bounds of the deployment, from the settings that the instances get.
constexpr std::int64_t StableMs = 4000;
constexpr std::int64_t DrainMs = 3000;
constexpr std::int64_t HeartbeatMs = 1200;
constexpr std::int64_t StoreAnswerMs = 4;

constexpr std::uint8_t Syn = 128, Ack = 4, Fin = 32, Rst = 8;
constexpr std::size_t HeadSize = 36;
constexpr std::uint16_t EndpointPort = 0; // offset from the base port
constexpr std::uint16_t StorePort = 1;
constexpr std::uint16_t DataPort = 2;
constexpr std::uint16_t ReadyPort = 3;
constexpr std::uint16_t ControlPort = 4;
constexpr std::uint16_t PeerPort = 5;

std::uint16_t basePort = 0;
FILE *record = nullptr;

std::int64_t now()
{
    using namespace std::chrono;
    static const auto start = steady_clock::now();
    return duration_cast<milliseconds>(steady_clock::now() - start).count();
}

std::int64_t wallMs()
{
    using namespace std::chrono;
    return duration_cast<milliseconds>(system_clock::now().time_since_epoch()).count();
}

std::int64_t trafficStart = 0;

__attribute__((format(printf, 1, 2))) void note(const char *format, ...)
{
    std::fprintf(record, "%8.3f ", static_cast<double>(now() - trafficStart) / 1000);
    va_list arguments;
    va_start(arguments, format);
    std::vfprintf(record, format, arguments);
    va_end(arguments);
    std::fputc('\n', record);
}

[[noreturn]] void cannotRun(const char *what)
{
    std::fprintf(stderr, "rig: %s: %s\n", what, std::strerror(errno));
    std::exit(2);
}

std::uint32_t address(unsigned net, unsigned host)
{
    return 0x7f000000U | (net << 8) | host;
}

sockaddr_in toSockaddr(std::uint32_t ip, std::uint16_t port)
{
    sockaddr_in found{};
    found.sin_family = AF_INET;
    found.sin_addr.s_addr = htonl(ip);
    found.sin_port = htons(port);
    return found;
}

std::string textOf(std::uint32_t ip)
{
    char text[INET_ADDRSTRLEN];
    const in_addr raw{htonl(ip)};
    return inet_ntop(AF_INET, &raw, text, sizeof text);
}

int openSocket(int type, std::uint32_t ip, std::uint16_t port)
{
    const int descriptor = socket(AF_INET, type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const int yes = 1;
    setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
    const sockaddr_in local = toSockaddr(ip, port);
    if (descriptor < 0 || bind(descriptor, reinterpret_cast<const sockaddr *>(&local), sizeof local) != 0) {
        cannotRun("bind");
    }
    if (type == SOCK_STREAM && listen(descriptor, 64) != 0) {
        cannotRun("listen");
    }
    return descriptor;
}

// --- the event loop -------------------------------------------------------------------------------------

std::map<int, std::function<void()>> readers;
std::multimap<std::int64_t, std::function<void()>> timers;

void after(std::int64_t delay, std::function<void()> action)
{
    timers.emplace(now() + delay, std::move(action));
}

void closeSocket(int &descriptor)
{
    if (descriptor >= 0) {
        readers.erase(descriptor);
        close(descriptor);
        descriptor = -1;
    }
}

void runUntil(std::int64_t end)
{
    while (now() < end) {
        while (!timers.empty() && timers.begin()->first <= now()) {
            const auto action = std::move(timers.begin()->second);
            timers.erase(timers.begin());
            action();
        }
        const std::int64_t next = timers.empty() ? end : std::min(end, timers.begin()->first);
        std::vector<pollfd> polled;
        for (const auto &[descriptor, reader] : readers) {
            polled.push_back({descriptor, POLLIN, 0});
        }
        poll(polled.data(), polled.size(), static_cast<int>(std::max<std::int64_t>(0, next - now())));
        for (const pollfd &entry : polled) {
            const auto reader = readers.find(entry.fd);
            if (entry.revents != 0 && reader != readers.end()) {
                const auto action = reader->second;
                action();
            }
        }
    }
}

// --- HTTP: one request a connection ---------------------------------------------------------------------

struct Connection {
    int descriptor;
    Bytes input;
};

using Answer = std::function<void(const Bytes &)>;

void sendAnswer(int descriptor, const Bytes &head, const Bytes &body)
{
    const Bytes bytes = "HTTP/1.1 " + head + "\r\nContent-Length: " + std::to_string(body.size())
        + "\r\nConnection: close\r\n\r\n" + body;
    (void)!write(descriptor, bytes.data(), bytes.size());
}

void serveHttp(int listener, std::function<void(const Bytes &target, int descriptor)> handler)
{
    readers[listener] = [listener, handler] {
        const int accepted = accept4(listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (accepted < 0) {
            return;
        }
        auto input = std::make_shared<Bytes>();
        readers[accepted] = [accepted, input, handler] {
            char buffer[4096];
            const ssize_t size = read(accepted, buffer, sizeof buffer);
            if (size <= 0) {
                int descriptor = accepted;
                closeSocket(descriptor);
                return;
            }
            input->append(buffer, static_cast<std::size_t>(size));
            if (input->find("\r\n\r\n") == Bytes::npos) {
                return;
            }
            readers.erase(accepted);
            const std::size_t from = input->find(' ') + 1;
            handler(input->substr(from, input->find(' ', from) - from), accepted);
        };
    };
}

// --- the store ------------------------------------------------------------------------------------------

struct Item {
    Bytes value;
    std::uint64_t revision = 0;
};

struct Event {
    std::uint64_t revision;
    Bytes key;
    Bytes value;
    bool isDeleted;
};

std::map<Bytes, Item> items;
std::vector<Event> history;
std::uint64_t revision = 10;

struct Watch {
    std::uint64_t after;
    int descriptor;
    bool isDone = false;
};
std::vector<std::shared_ptr<Watch>> watches;

Bytes base64(const Bytes &value)
{
    static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    Bytes encoded;
    for (std::size_t at = 0; at < value.size(); at += 3) {
        const auto byteAt = [&](std::size_t index) {
            return index < value.size() ? static_cast<unsigned char>(value[index]) : 0U;
        };
        const unsigned word = byteAt(at) << 16 | byteAt(at + 1) << 8 | byteAt(at + 2);
        for (int part = 0; part < 4; ++part) {
            const bool isPadding = part > static_cast<int>(std::min<std::size_t>(value.size() - at, 3));
            encoded += isPadding ? '=' : digits[word >> (18 - 6 * part) & 63];
        }
    }
    return encoded;
}

Bytes itemText(const Bytes &key, const Bytes &value, std::uint64_t itemRevision)
{
    const Bytes number = std::to_string(itemRevision);
    return "{\"key\":\"" + key + "\",\"value\":\"" + base64(value) + "\",\"rev\":" + number
        + ",\"createRevision\":" + number + ",\"lease\":0}";
}

Bytes parameter(const Bytes &target, const Bytes &name)
{
    const Bytes query = "&" + target.substr(target.find('?') + 1) + "&";
    const std::size_t at = query.find("&" + name + "=");
    if (at == Bytes::npos) {
        return {};
    }
    const std::size_t from = at + name.size() + 2;
    return query.substr(from, query.find('&', from) - from);
}

std::int64_t watchAnsweredAt = -1000; ///< When a watch was last answered.

void answerWatch(Watch &watch)
{
    watchAnsweredAt = now();
    Bytes events;
    for (const Event &event : history) {
        if (event.revision > watch.after) {
            events += events.empty() ? "" : ",";
            events += event.isDeleted ? "{\"key\":\"" + event.key
                    + "\",\"rev\":" + std::to_string(event.revision) + ",\"deleted\":true}"
                                      : itemText(event.key, event.value, event.revision);
        }
    }
    sendAnswer(watch.descriptor, "200 OK\r\nContent-Type: application/json",
        "{\"events\":[" + events + "],\"asOf\":" + std::to_string(revision) + "}");
    closeSocket(watch.descriptor);
    watch.isDone = true;
}

void writeStore(const Bytes &key, const Bytes &value, bool isDeleted)
{
    ++revision;
    if (isDeleted) {
        items.erase(key);
    } else {
        items[key] = {value, revision};
    }
    history.push_back({revision, key, value, isDeleted});
    for (const auto &watch : watches) {
        if (!watch->isDone) {
            answerWatch(*watch);
        }
    }
    watches.clear();
}

void handleStore(const Bytes &target, int descriptor)
{
    int open = descriptor;
    if (target.rfind("/v1/kv-range?", 0) == 0) {
        Bytes list;
        for (const auto &[key, item] : items) {
            list += (list.empty() ? "" : ",") + itemText(key, item.value, item.revision);
        }
        sendAnswer(open, "200 OK\r\nContent-Type: application/json",
            "{\"items\":[" + list + "],\"hasMore\":false,\"asOf\":" + std::to_string(revision) + "}");
        closeSocket(open);
    } else if (target.rfind("/v1/kv-watch?", 0) == 0) {
        auto watch = std::make_shared<Watch>(Watch{std::stoull(parameter(target, "after")), descriptor});
        if (watch->after < revision) {
            answerWatch(*watch);
            return;
        }
        watches.push_back(watch);
        after(std::stoll(parameter(target, "waitMs")) + StoreAnswerMs, [watch] {
            if (!watch->isDone) {
                answerWatch(*watch);
            }
        });
    } else {
        sendAnswer(open, "404 Not Found", "{}");
        closeSocket(open);
    }
}

void putConfig(unsigned version, const std::vector<std::uint32_t> &routes)
{
    Bytes list;
    for (const std::uint32_t host : routes) {
        list += (list.empty() ? "" : ",")
            + ("{\"name\":\"r-" + std::to_string(host & 255) + "\",\"host\":\"" + textOf(host)
                + "\",\"prefix\":\"/8443/\",\"type\":\"non_idempotent\",\"timeoutMs\":2000,\"sloMs\":200,"
                  "\"priority\":1,\"service\":\"codebook\",\"attempts\":2}");
    }
    writeStore("op/config",
        "{\"version\":" + std::to_string(version) + ",\"routes\":[" + list
            + "],\"services\":[{\"name\":\"codebook\",\"healthPath\":\"/healthz\",\"maxConns\":2000,"
              "\"protocol\":\"h1\",\"tls\":false}],\"limits\":{\"maxHeaderBytes\":16384,"
              "\"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}",
        false);
    note("store: configuration %u with %zu routes, revision %llu", version, routes.size(),
        static_cast<unsigned long long>(revision));
}

// --- packets --------------------------------------------------------------------------------------------

struct Packet {
    std::uint32_t echo = 0;
    std::uint8_t flags = 0;
    std::uint32_t seq = 0, ack = 0;
    std::uint32_t src = 0, dst = 0;
    std::uint16_t sport = 0, dport = 0;
    Bytes data;
    bool isGenuine = false; ///< Written by an end.
    bool isOwnReset = false; ///< A reset of the system's own.
};

void put(Bytes &bytes, std::size_t at, std::uint64_t value, int size)
{
    for (int index = size - 1; index >= 0; --index, value >>= 8) {
        bytes[at + static_cast<std::size_t>(index)] = static_cast<char>(value & 255);
    }
}

std::uint64_t get(const Bytes &bytes, std::size_t at, int size)
{
    std::uint64_t value = 0;
    for (int index = 0; index < size; ++index) {
        value = value << 8 | static_cast<unsigned char>(bytes[at + static_cast<std::size_t>(index)]);
    }
    return value;
}

/// A keyed sum over all fields but echo, pad, BOUNCED and the sum itself; never 0.
std::uint32_t sumOf(Bytes bytes)
{
    put(bytes, 2, 0, 4);
    put(bytes, 7, 0, 5);
    put(bytes, 20, 0, 4);
    std::uint32_t sum = 0x5a17c3d1U;
    for (const char byte : bytes) {
        sum = (sum ^ static_cast<unsigned char>(byte)) * 16777619U;
    }
    return sum | 1U;
}

Bytes encode(const Packet &packet)
{
    Bytes bytes(HeadSize, '\0');
    bytes += packet.data;
    put(bytes, 0, packet.data.size(), 2);
    put(bytes, 2, packet.echo, 4);
    put(bytes, 6, packet.flags, 1);
    put(bytes, 12, packet.seq, 4);
    put(bytes, 16, packet.ack, 4);
    put(bytes, 24, packet.dport, 2);
    put(bytes, 26, packet.sport, 2);
    put(bytes, 28, packet.src, 4);
    put(bytes, 32, packet.dst, 4);
    put(bytes, 20, sumOf(bytes), 4);
    return bytes;
}

Packet decode(const Bytes &bytes)
{
    Packet packet;
    if (bytes.size() < HeadSize || get(bytes, 0, 2) != bytes.size() - HeadSize) {
        return packet;
    }
    packet.echo = static_cast<std::uint32_t>(get(bytes, 2, 4));
    packet.flags = static_cast<std::uint8_t>(get(bytes, 6, 1));
    packet.seq = static_cast<std::uint32_t>(get(bytes, 12, 4));
    packet.ack = static_cast<std::uint32_t>(get(bytes, 16, 4));
    packet.dport = static_cast<std::uint16_t>(get(bytes, 24, 2));
    packet.sport = static_cast<std::uint16_t>(get(bytes, 26, 2));
    packet.src = static_cast<std::uint32_t>(get(bytes, 28, 4));
    packet.dst = static_cast<std::uint32_t>(get(bytes, 32, 4));
    packet.data = bytes.substr(HeadSize);
    const auto sum = static_cast<std::uint32_t>(get(bytes, 20, 4));
    packet.isGenuine = sum == sumOf(bytes);
    packet.isOwnReset = sum == 0 && packet.flags == Rst && packet.data.empty();
    return packet;
}

void sendDatagram(int descriptor, const Bytes &bytes, std::uint32_t ip, std::uint16_t port)
{
    const sockaddr_in to = toSockaddr(ip, port);
    (void)!sendto(
        descriptor, bytes.data(), bytes.size(), 0, reinterpret_cast<const sockaddr *>(&to), sizeof to);
}

Bytes receiveDatagram(int descriptor, std::uint32_t *from = nullptr)
{
    char buffer[2048];
    sockaddr_in sender{};
    socklen_t length = sizeof sender;
    const ssize_t size
        = recvfrom(descriptor, buffer, sizeof buffer, 0, reinterpret_cast<sockaddr *>(&sender), &length);
    if (from != nullptr) {
        *from = ntohl(sender.sin_addr.s_addr);
    }
    return size > 0 ? Bytes(buffer, static_cast<std::size_t>(size)) : Bytes();
}

// --- the routers of the zone ----------------------------------------------------------------------------

Bytes pidFolder;

void terminate(std::size_t instance)
{
    std::FILE *const file
        = std::fopen((pidFolder + "/" + std::to_string(instance + 1) + ".pid").c_str(), "r");
    int process = 0;
    if (file == nullptr || std::fscanf(file, "%d", &process) != 1 || process <= 1) {
        cannotRun("pid of an instance");
    }
    std::fclose(file);
    note("instance %zu gets SIGTERM", instance + 1);
    kill(process, SIGTERM);
}

struct Instance {
    std::uint32_t ip = 0;
    unsigned misses = 2;
    bool isInRotation = false;
    unsigned probeCycle = 0; ///< Replaced when the routers' probes are set to another phase.
};
std::vector<Instance> instances;
int routerSocket = -1;

void probe(std::size_t index)
{
    Instance &instance = instances[index];
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const sockaddr_in to = toSockaddr(instance.ip, basePort + ReadyPort);
    connect(descriptor, reinterpret_cast<const sockaddr *>(&to), sizeof to);
    after(5, [descriptor] {
        const Bytes request = "GET /v1/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        (void)!send(descriptor, request.data(), request.size(), MSG_NOSIGNAL);
    });
    after(100, [descriptor, index] {
        char buffer[256] = {};
        const ssize_t size = read(descriptor, buffer, sizeof buffer - 1);
        const bool isGood = size > 0 && std::strncmp(buffer, "HTTP/1.1 200", 12) == 0;
        close(descriptor);
        Instance &probed = instances[index];
        probed.misses = isGood ? 0 : probed.misses + 1;
        const bool wasInRotation = probed.isInRotation;
        probed.isInRotation = isGood || (probed.isInRotation && probed.misses < 2);
        if (probed.isInRotation != wasInRotation) {
            note("router: instance %zu is %s rotation", index + 1, probed.isInRotation ? "in" : "out of");
        }
    });
    const unsigned cycle = instance.probeCycle;
    after(500, [index, cycle] {
        if (instances[index].probeCycle == cycle) {
            probe(index);
        }
    });
}

void route(const Bytes &bytes, const Packet &packet)
{
    std::vector<const Instance *> usable;
    for (const Instance &instance : instances) {
        if (instance.isInRotation) {
            usable.push_back(&instance);
        }
    }
    if (2 * usable.size() < instances.size()) {
        usable.clear();
        for (const Instance &instance : instances) {
            usable.push_back(&instance);
        }
    }
    std::uint32_t hash = packet.src * 2654435761U ^ packet.sport * 40503U ^ packet.dst ^ packet.dport;
    hash = (hash ^ hash >> 15) * 2246822519U;
    hash ^= hash >> 13;
    sendDatagram(routerSocket, bytes, usable[hash % usable.size()]->ip, basePort + DataPort);
}

// --- the network between the instances ------------------------------------------------------------------

/// Instances know each other by addresses at which this passes everything on: datagrams, and the connections
/// to their control pages.
struct Mesh {
    std::vector<int> sockets; ///< By the instance that is reached there.
    /// Called with each datagram: returns whether it is passed on.
    std::function<bool(std::size_t from, std::size_t to)> onDatagram;
};
Mesh mesh;

void passOn(int from, int to)
{
    readers[from] = [from, to] {
        char buffer[16384];
        const ssize_t size = read(from, buffer, sizeof buffer);
        if (size > 0) {
            (void)!write(to, buffer, static_cast<std::size_t>(size));
            return;
        }
        if (size < 0 && errno == EAGAIN) {
            return;
        }
        readers.erase(from);
        shutdown(to, SHUT_WR);
        if (!readers.contains(to)) {
            close(from);
            close(to);
        }
    };
}

void openMesh()
{
    for (std::size_t index = 0; index < instances.size(); ++index) {
        const std::uint32_t known = address(3, static_cast<unsigned>(index) + 1);
        mesh.sockets.push_back(openSocket(SOCK_DGRAM, known, basePort + PeerPort));
        readers[mesh.sockets.back()] = [index] {
            char buffer[9000];
            sockaddr_in sender{};
            socklen_t length = sizeof sender;
            const ssize_t size = recvfrom(mesh.sockets[index], buffer, sizeof buffer, 0,
                reinterpret_cast<sockaddr *>(&sender), &length);
            for (std::size_t from = 0; size > 0 && from < instances.size(); ++from) {
                if (instances[from].ip == ntohl(sender.sin_addr.s_addr) && mesh.onDatagram(from, index)) {
                    sendDatagram(mesh.sockets[from], Bytes(buffer, static_cast<std::size_t>(size)),
                        instances[index].ip, basePort + PeerPort);
                }
            }
        };
        const int listener = openSocket(SOCK_STREAM, known, basePort + ControlPort);
        readers[listener] = [listener, index] {
            const int caller = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
            const int server = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
            const sockaddr_in to = toSockaddr(instances[index].ip, basePort + ControlPort);
            if (caller < 0 || connect(server, reinterpret_cast<const sockaddr *>(&to), sizeof to) != 0) {
                close(caller);
                close(server);
                return;
            }
            passOn(caller, server);
            passOn(server, caller);
        };
    }
}

// --- endpoints ------------------------------------------------------------------------------------------

using FlowKey = std::pair<std::uint32_t, std::uint16_t>; ///< The client's address and port.

struct ServedFlow {
    std::uint32_t firstSeq = 0, received = 0, sent = 0;
    std::uint32_t echo = 0;
    std::uint32_t route = 0;
    std::uint16_t routePort = 0;
    bool isOpen = false, isEnded = false;
    std::uint64_t request = 0; ///< The request that it works on or has answered last.
    Bytes unacknowledged;
    std::uint32_t answerSeq = 0;
    unsigned repeats = 0;
};

constexpr std::int64_t WorkMs = 39;

struct Endpoint {
    Bytes name;
    std::uint64_t id = 0;
    std::uint32_t ip = 0;
    std::int64_t born = 0;
    std::int64_t disruptedAt = -1000000; ///< When it, its links or its machine's clock were last disrupted.
    std::int64_t drainAcknowledgedAt = -1;
    bool isRunning = false, isDraining = false;
    unsigned incarnation = 0;
    std::uint64_t seq = 0;
    int udp = -1, tcp = -1;
    std::map<FlowKey, ServedFlow> flows;
};

std::map<std::uint64_t, std::vector<Bytes>> runs; ///< By request: where it ran.
std::vector<std::unique_ptr<Endpoint>> endpoints;
unsigned brokenFlow = 0, brokenDrain = 0, unasked = 0, lostRequests = 0;

void publish(Endpoint &endpoint)
{
    char text[400];
    std::snprintf(text, sizeof text,
        "{\"service\":\"codebook\",\"addr\":\"%s:%u\",\"zone\":\"dk-east-a\",\"version\":\"v1\","
        "\"concurrency\":2,\"state\":\"%s\",\"warmLeftMs\":0,\"seq\":%llu,\"born\":%lld}",
        textOf(endpoint.ip).c_str(), basePort + EndpointPort, endpoint.isDraining ? "draining" : "ready",
        static_cast<unsigned long long>(++endpoint.seq), static_cast<long long>(endpoint.born));
    writeStore("servers/" + endpoint.name, text, false);
    note("store: %s of start %u says %s, born %lld, revision %llu", endpoint.name.c_str(),
        endpoint.incarnation, endpoint.isDraining ? "draining" : "ready",
        static_cast<long long>(endpoint.born), static_cast<unsigned long long>(revision));
}

void reply(Endpoint &endpoint, const FlowKey &key, const ServedFlow &flow, std::uint8_t flags,
    std::uint32_t seq, Bytes data)
{
    const Packet packet{flow.echo, flags, seq, flow.received, flow.route, key.first, flow.routePort,
        key.second, std::move(data)};
    sendDatagram(endpoint.udp, encode(packet), key.first, basePort + DataPort);
}

void repeatAnswer(
    Endpoint &endpoint, unsigned incarnation, FlowKey key, std::uint64_t request, std::int64_t interval)
{
    after(interval, [&endpoint, incarnation, key, request, interval] {
        const auto found = endpoint.flows.find(key);
        if (!endpoint.isRunning || endpoint.incarnation != incarnation || found == endpoint.flows.end()
            || found->second.request != request || found->second.unacknowledged.empty()
            || ++found->second.repeats > 8) {
            return;
        }
        ServedFlow &flow = found->second;
        reply(endpoint, key, flow, Ack, flow.answerSeq, flow.unacknowledged);
        repeatAnswer(endpoint, incarnation, key, request, std::min<std::int64_t>(2 * interval, 1600));
    });
}

void answerRequest(Endpoint &endpoint, unsigned incarnation, FlowKey key, std::uint64_t request)
{
    const auto found = endpoint.flows.find(key);
    if (!endpoint.isRunning || endpoint.incarnation != incarnation || found == endpoint.flows.end()) {
        return;
    }
    ServedFlow &flow = found->second;
    flow.unacknowledged = Bytes(600, 'a');
    put(flow.unacknowledged, 0, request, 8);
    flow.answerSeq = flow.sent;
    flow.sent += 600;
    flow.repeats = 0;
    reply(endpoint, key, flow, Ack, flow.answerSeq, flow.unacknowledged);
    repeatAnswer(endpoint, incarnation, key, request, 200);
    if (endpoint.isDraining) {
        reply(endpoint, key, flow, Fin | Ack, flow.sent, {});
        flow.isEnded = true;
    }
}

/// A sound end repeats what has not been acknowledged, its answer to an opening too.
void repeatOpeningAnswer(
    Endpoint &endpoint, unsigned incarnation, FlowKey key, std::int64_t interval, unsigned repeats)
{
    after(interval, [&endpoint, incarnation, key, interval, repeats] {
        const auto found = endpoint.flows.find(key);
        if (!endpoint.isRunning || endpoint.incarnation != incarnation || found == endpoint.flows.end()
            || found->second.isOpen) {
            return;
        }
        if (repeats == 8) {
            endpoint.flows.erase(found);
            return;
        }
        reply(endpoint, key, found->second, Syn | Ack, found->second.firstSeq, {});
        repeatOpeningAnswer(
            endpoint, incarnation, key, std::min<std::int64_t>(2 * interval, 1600), repeats + 1);
    });
}

void takeOpening(Endpoint &endpoint, const FlowKey &key, const Packet &packet)
{
    const auto [position, isNew] = endpoint.flows.try_emplace(key);
    ServedFlow &flow = position->second;
    if (isNew) {
        flow.firstSeq = static_cast<std::uint32_t>(std::rand());
        flow.received = packet.seq + 1;
        flow.sent = flow.firstSeq + 1;
        flow.route = packet.dst;
        flow.routePort = packet.dport;
        const std::int64_t acknowledged = endpoint.drainAcknowledgedAt;
        if (acknowledged >= 0 && now() - acknowledged > DrainMs) {
            ++brokenDrain;
            note("BROKEN DRAIN: %s took the opening of flow %u %lld ms after the store had accepted that it "
                 "drains",
                endpoint.name.c_str(), key.second, static_cast<long long>(now() - acknowledged));
        }
    }
    flow.echo = packet.echo;
    if (isNew) {
        repeatOpeningAnswer(endpoint, endpoint.incarnation, key, 200, 0);
    }
    reply(endpoint, key, flow, Syn | Ack, flow.firstSeq, {});
}

void takePacket(Endpoint &endpoint)
{
    const Bytes datagram = receiveDatagram(endpoint.udp);
    if (datagram.size() < 8 + HeadSize) {
        return;
    }
    const std::uint64_t meant = get(datagram, 0, 8);
    const Packet packet = decode(datagram.substr(8));
    if (meant != 0 && meant != endpoint.id) {
        return;
    }
    if (!packet.isGenuine) {
        ++unasked;
        note("BROKEN UNASKED: %s got a packet that no sender wrote so", endpoint.name.c_str());
        return;
    }
    const FlowKey key{packet.src, packet.sport};
    if ((packet.flags & Syn) != 0) {
        takeOpening(endpoint, key, packet);
        return;
    }
    if ((packet.flags & Rst) != 0) {
        endpoint.flows.erase(key);
        return;
    }
    const auto found = endpoint.flows.find(key);
    const bool isHeld
        = found != endpoint.flows.end() && (found->second.isOpen || packet.ack == found->second.firstSeq + 1);
    if (!isHeld) {
        const Packet reset{
            packet.echo, Rst, packet.ack, packet.seq, packet.dst, packet.src, packet.dport, packet.sport, {}};
        sendDatagram(endpoint.udp, encode(reset), packet.src, basePort + DataPort);
        return;
    }
    ServedFlow &flow = found->second;
    flow.isOpen = true;
    flow.echo = packet.echo;
    if (!flow.unacknowledged.empty() && packet.ack == flow.sent) {
        flow.unacknowledged.clear();
    }
    if (!packet.data.empty() && packet.seq == flow.received) {
        flow.received += static_cast<std::uint32_t>(packet.data.size());
        flow.request = get(packet.data, 0, 8);
        runs[flow.request].push_back(endpoint.name);
        note("run: request %llu at %s", static_cast<unsigned long long>(flow.request), endpoint.name.c_str());
        const std::uint64_t request = flow.request;
        const unsigned incarnation = endpoint.incarnation;
        after(WorkMs,
            [&endpoint, incarnation, key, request] { answerRequest(endpoint, incarnation, key, request); });
    }
    if ((packet.flags & Fin) != 0) {
        flow.received = packet.seq + static_cast<std::uint32_t>(packet.data.size()) + 1;
        reply(endpoint, key, flow, Fin | Ack, flow.sent, {});
        endpoint.flows.erase(found);
    }
}

void beat(Endpoint &endpoint, unsigned incarnation)
{
    after(HeartbeatMs, [&endpoint, incarnation] {
        if (endpoint.isRunning && endpoint.incarnation == incarnation) {
            ++endpoint.seq; // a change of seq alone is no change of the entry
            beat(endpoint, incarnation);
        }
    });
}

/// Starts an endpoint; `clockOffset` is how far its machine's time of day is from the true one.
void start(Endpoint &endpoint, std::int64_t clockOffset)
{
    endpoint.udp = openSocket(SOCK_DGRAM, endpoint.ip, basePort + EndpointPort);
    endpoint.tcp = openSocket(SOCK_STREAM, endpoint.ip, basePort + EndpointPort);
    readers[endpoint.udp] = [&endpoint] {
        takePacket(endpoint);
    };
    serveHttp(endpoint.tcp, [&endpoint](const Bytes &, int descriptor) {
        int open = descriptor;
        sendAnswer(open,
            (endpoint.isDraining ? "503 Service Unavailable" : "200 OK") + Bytes("\r\nX-Instance-Id: ")
                + endpoint.name,
            "");
        closeSocket(open);
    });
    endpoint.isRunning = true;
    endpoint.isDraining = false;
    endpoint.seq = 0;
    ++endpoint.incarnation;
    endpoint.born = wallMs() + clockOffset;
    note("endpoint %s: start %u", endpoint.name.c_str(), endpoint.incarnation);
    publish(endpoint);
    beat(endpoint, endpoint.incarnation);
}

/// The process ends and discards its flows.
void stop(Endpoint &endpoint)
{
    closeSocket(endpoint.udp);
    closeSocket(endpoint.tcp);
    endpoint.flows.clear();
    endpoint.isRunning = false;
    endpoint.drainAcknowledgedAt = -1;
}

Endpoint &addEndpoint(unsigned number)
{
    endpoints.push_back(std::make_unique<Endpoint>());
    Endpoint &endpoint = *endpoints.back();
    endpoint.id = 0x7f3a91c0ULL + number;
    char name[32];
    std::snprintf(name, sizeof name, "i-%llx", static_cast<unsigned long long>(endpoint.id));
    endpoint.name = name;
    endpoint.ip = address(2, number);
    return endpoint;
}

// --- clients --------------------------------------------------------------------------------------------

constexpr std::uint32_t FirstRoute = 0xc6120001U; // 198.18.0.1
constexpr std::uint32_t AddedRoute = 0xc6120002U; // 198.18.0.2
constexpr std::uint16_t RoutePort = 8443;
std::int64_t ShortestFlowMs = 2000, LongestFlowMs = 9000;
std::int64_t PauseMs = 400;

struct Client {
    std::uint32_t ip = 0;
    std::uint32_t route = FirstRoute;
    int udp = -1;
    std::uint16_t port = 2000;
    enum { Idle, Opening, Open } stage = Idle;
    std::uint32_t seq = 0, ack = 0, echo = 0;
    std::int64_t closesAt = 0; ///< When it closes its flow.
    std::uint64_t request = 0; ///< The request that waits for its answer; 0 for none.
    Bytes unacknowledged;
    unsigned generation = 0; ///< Of the flow.
};

std::vector<std::unique_ptr<Client>> clients;
std::uint64_t lastRequest = 0;
unsigned sentRequests = 0, answeredRequests = 0, failedRequests = 0, failedOpenings = 0;
bool isTrafficOn = true;

void openFlow(Client &client);

void sendPacket(Client &client, std::uint8_t flags, std::uint32_t seq, std::uint32_t ack, const Bytes &data)
{
    const Packet packet{client.echo, flags, seq, ack, client.ip, client.route, client.port, RoutePort, data};
    route(encode(packet), packet);
}

void endFlow(Client &client, std::int64_t pause)
{
    client.stage = Client::Idle;
    client.request = 0;
    ++client.generation;
    after(pause, [&client] {
        if (isTrafficOn) {
            openFlow(client);
        }
    });
}

void sendRequest(Client &client);

void repeatRequest(
    Client &client, unsigned generation, std::uint64_t request, std::int64_t interval, std::int64_t deadline)
{
    after(interval, [&client, generation, request, interval, deadline] {
        if (client.generation != generation || client.request != request) {
            return;
        }
        if (now() >= deadline) {
            ++failedRequests;
            endFlow(client, PauseMs);
            return;
        }
        sendPacket(client, Ack, client.seq, client.ack, client.unacknowledged);
        repeatRequest(client, generation, request, std::min<std::int64_t>(2 * interval, 1600), deadline);
    });
}

void sendRequest(Client &client)
{
    if (now() > client.closesAt || !isTrafficOn) {
        sendPacket(client, Fin | Ack, client.seq, client.ack, {});
        endFlow(client, PauseMs);
        return;
    }
    client.request = ++lastRequest;
    note("sent: request %llu by client %s port %u", static_cast<unsigned long long>(client.request),
        textOf(client.ip).c_str(), client.port);
    ++sentRequests;
    client.unacknowledged = Bytes(900, 'q');
    put(client.unacknowledged, 0, client.request, 8);
    sendPacket(client, Ack, client.seq, client.ack, client.unacknowledged);
    repeatRequest(client, client.generation, client.request, 200, now() + 2000);
}

void openFlow(Client &client)
{
    ++client.port;
    ++client.generation;
    client.stage = Client::Opening;
    client.seq = static_cast<std::uint32_t>(std::rand());
    client.ack = 0;
    client.echo = 0;
    const unsigned generation = client.generation;
    for (const auto &[delay, copy] :
        std::vector<std::pair<std::int64_t, unsigned>>{{0, 0}, {200, 1}, {600, 2}}) {
        after(delay, [&client, generation, copy] {
            if (client.generation == generation && client.stage == Client::Opening) {
                sendPacket(client, Syn, client.seq, copy, {});
            }
        });
    }
    after(1400, [&client, generation] {
        if (client.generation == generation && client.stage == Client::Opening) {
            ++failedOpenings;
            endFlow(client, PauseMs);
        }
    });
}

/// The endpoint that holds the open flow of a client, if there is one.
Endpoint *holderOf(const Client &client)
{
    for (const auto &endpoint : endpoints) {
        const auto found = endpoint->flows.find({client.ip, client.port});
        if (endpoint->isRunning && found != endpoint->flows.end() && found->second.isOpen
            && !found->second.isEnded) {
            return endpoint.get();
        }
    }
    return nullptr;
}

void takeOwnReset(Client &client, const Packet &packet)
{
    if (client.stage == Client::Opening) {
        ++failedOpenings;
        endFlow(client, PauseMs);
        return;
    }
    if (std::abs(static_cast<std::int32_t>(packet.seq - client.ack)) > 76800) {
        return;
    }
    Endpoint *const holder = holderOf(client);
    const bool isCounted = holder != nullptr && now() - holder->disruptedAt > StableMs;
    if (isCounted) {
        ++brokenFlow;
        const bool hasRun = client.request != 0 && runs.contains(client.request);
        lostRequests += client.request != 0 ? 1 : 0;
        note("BROKEN FLOW: client %s port %u gets a reset of the system on an open flow of %s (start %u), "
             "which lives undisturbed for %lld ms%s",
            textOf(client.ip).c_str(), client.port, holder->name.c_str(), holder->incarnation,
            static_cast<long long>(now() - holder->disruptedAt),
            hasRun ? "; its request has run and is never answered" : "");
    } else {
        note("client %s port %u gets a reset of the system; its endpoint has gone or was disturbed",
            textOf(client.ip).c_str(), client.port);
    }
    failedRequests += client.request != 0 ? 1 : 0;
    endFlow(client, PauseMs);
}

void takeFromServer(Client &client)
{
    std::uint32_t from = 0;
    const Packet packet = decode(receiveDatagram(client.udp, &from));
    if (packet.dport != client.port || client.stage == Client::Idle) {
        return;
    }
    if (packet.isOwnReset) {
        takeOwnReset(client, packet);
        return;
    }
    if (!packet.isGenuine) {
        note("BROKEN MIXED: a packet that no sender wrote so reached client %s", textOf(client.ip).c_str());
        return;
    }
    client.echo = packet.echo;
    if ((packet.flags & Rst) != 0) {
        const Endpoint *const holder = client.stage == Client::Open ? holderOf(client) : nullptr;
        if (holder != nullptr && holder->ip != from && now() - holder->disruptedAt > StableMs) {
            ++brokenFlow;
            lostRequests += client.request != 0 ? 1 : 0;
            note("BROKEN FLOW: client %s port %u gets a reset of the endpoint at %s on an open flow of %s, "
                 "which lives undisturbed%s",
                textOf(client.ip).c_str(), client.port, textOf(from).c_str(), holder->name.c_str(),
                client.request != 0 ? "; its request is never answered" : "");
        }
        failedRequests += client.request != 0 ? 1 : 0;
        failedOpenings += client.stage == Client::Opening ? 1 : 0;
        endFlow(client, PauseMs);
        return;
    }
    if ((packet.flags & Syn) != 0) {
        if (client.stage == Client::Opening) {
            client.stage = Client::Open;
            client.closesAt = now() + ShortestFlowMs + std::rand() % (LongestFlowMs - ShortestFlowMs);
            ++client.seq;
            client.ack = packet.seq + 1;
            sendRequest(client);
        }
        return;
    }
    if (!packet.data.empty() && packet.seq == client.ack && client.request != 0
        && get(packet.data, 0, 8) == client.request) {
        ++answeredRequests;
        note("answered: request %llu", static_cast<unsigned long long>(client.request));
        client.request = 0;
        client.seq += static_cast<std::uint32_t>(client.unacknowledged.size());
        client.ack += static_cast<std::uint32_t>(packet.data.size());
        sendPacket(client, Ack, client.seq, client.ack, {});
        const unsigned generation = client.generation;
        after(PauseMs, [&client, generation] {
            if (client.generation == generation && client.stage == Client::Open) {
                sendRequest(client);
            }
        });
    }
    if ((packet.flags & Fin) != 0) {
        failedRequests += client.request != 0 ? 1 : 0;
        sendPacket(client, Fin | Ack, client.seq, client.ack + 1, {});
        endFlow(client, PauseMs);
    }
}

// --- scenarios ------------------------------------------------------------------------------------------

void at(std::int64_t time, std::function<void()> action)
{
    timers.emplace(trafficStart + time, std::move(action));
}

constexpr std::int64_t ClockStepMs = -2400;

/// An endpoint that has just started crashes, and starts again under its id while its machine's clock has
/// been set back. `drains`: it is emptied and taken away some seconds later.
void playClock(bool isTroubled, bool drains)
{
    Endpoint &young = addEndpoint(4);
    at(2000, [&young] { start(young, 0); });
    if (isTroubled) {
        at(3200, [&young] {
            note("endpoint %s: crash", young.name.c_str());
            stop(young);
            young.disruptedAt = now();
        });
        at(3300, [&young] {
            note("the clock of the machine of %s is set back by 2400 ms", young.name.c_str());
            young.disruptedAt = now();
        });
        at(3800, [&young] {
            start(young, ClockStepMs);
            young.disruptedAt = now();
        });
        at(9300, [&young] {
            note("the clock of the machine of %s is right again", young.name.c_str());
            young.disruptedAt = now();
        });
    }
    if (drains) {
        at(7000, [&young] {
            young.isDraining = true;
            publish(young);
            young.drainAcknowledgedAt = now();
        });
        at(7000 + DrainMs + 3400, [&young] {
            note("endpoint %s: end", young.name.c_str());
            stop(young);
            writeStore("servers/" + young.name, "", true);
        });
    }
}

void addClients(unsigned first, unsigned number, std::uint32_t routeAddress, std::int64_t spread)
{
    for (unsigned index = first; index < first + number; ++index) {
        clients.push_back(std::make_unique<Client>());
        Client &client = *clients.back();
        client.ip = address(9, index + 1);
        client.route = routeAddress;
        client.udp = openSocket(SOCK_DGRAM, client.ip, basePort + DataPort);
        readers[client.udp] = [&client] {
            takeFromServer(client);
        };
        after((index - first) * spread, [&client] { openFlow(client); });
    }
}

/// What the mesh has seen of the instances' messages.
struct PeerTraffic {
    std::vector<unsigned> announcements; ///< By instance: messages right after an answer of the store.
    std::vector<std::vector<std::int64_t>> heartbeatAt; ///< By sender and receiver: the last other message.
    std::int64_t announcedAt = 0;
    bool isDropping = false; ///< Whether the next message of the reader to the dropped receiver is lost.
    std::size_t reader = 0, leaving = 0, dropped = 0;
};
PeerTraffic peerTraffic;

bool seeDatagram(std::size_t from, std::size_t to)
{
    PeerTraffic &seen = peerTraffic;
    if (now() - watchAnsweredAt <= 25) {
        ++seen.announcements[from];
        seen.announcedAt = now();
    } else {
        seen.heartbeatAt[from][to] = now();
    }
    if (seen.isDropping && from == seen.reader && to == seen.dropped) {
        seen.isDropping = false;
        note("network: one datagram from instance %zu to instance %zu is lost", from + 1, to + 1);
        return false;
    }
    return true;
}

constexpr std::int64_t RotationDelayMs = 150;

/// A route is added and used at once, while one instance leaves; the message that tells another instance of
/// the new configuration is lost.
void addRouteAt(std::int64_t addAt)
{
    PeerTraffic &seen = peerTraffic;
    // The routers notice the second miss RotationDelayMs after the route was added.
    ++instances[seen.leaving].probeCycle;
    timers.emplace(addAt + RotationDelayMs - 600, [&seen] { probe(seen.leaving); });
    timers.emplace(addAt + RotationDelayMs - 650, [&seen] { terminate(seen.leaving); });
    timers.emplace(addAt, [&seen] {
        seen.isDropping = true;
        putConfig(9, {FirstRoute, AddedRoute});
    });
    timers.emplace(addAt + 15, [] { addClients(100, 40, AddedRoute, 1); });
}

/// Waits until the instances' messages leave half a second between them in which a change can be made, and
/// returns the pid of the instance that leaves.
bool findMoment(std::int64_t &addAt)
{
    PeerTraffic &seen = peerTraffic;
    seen.reader = static_cast<std::size_t>(
        std::max_element(seen.announcements.begin(), seen.announcements.end()) - seen.announcements.begin());
    seen.leaving = (seen.reader + 1) % 3;
    seen.dropped = (seen.reader + 2) % 3;
    for (const std::int64_t end = now() + 40000; now() < end; runUntil(now() + 7)) {
        // All instances send heartbeats every 1000 to 1050 ms.
        addAt = seen.announcedAt + 1130;
        const std::int64_t quietUntil = addAt + 480;
        bool isQuiet = now() - seen.announcedAt < 20;
        for (const std::size_t from : {seen.reader, seen.leaving}) {
            const std::int64_t last = seen.heartbeatAt[from][seen.dropped];
            for (std::int64_t beats = 1; beats <= 3; ++beats) {
                const std::int64_t earliest = last + 1000 * beats;
                const std::int64_t latest = last + 1055 * beats;
                isQuiet = isQuiet && (latest < addAt || earliest > quietUntil);
            }
        }
        if (isQuiet) {
            return true;
        }
    }
    return false;
}

} // namespace

int main(int count, char **arguments)
{
    if (count != 7) {
        std::fprintf(stderr, "usage: rig MODE TROUBLE BASE_PORT INSTANCES RECORD FOLDER\n");
        return 2;
    }
    pidFolder = arguments[6];
    signal(SIGPIPE, SIG_IGN);
    const Bytes mode = arguments[1];
    const bool isTroubled = Bytes(arguments[2]) != "0";
    basePort = static_cast<std::uint16_t>(std::atoi(arguments[3]));
    record = std::fopen(arguments[5], "w");
    if (record == nullptr) {
        cannotRun("record");
    }
    trafficStart = now();
    std::srand(static_cast<unsigned>(wallMs()));
    serveHttp(openSocket(SOCK_STREAM, address(5, 1), basePort + StorePort), handleStore);
    for (unsigned number = 1; number <= 3; ++number) {
        start(addEndpoint(number), 0);
    }
    putConfig(7, {FirstRoute});
    routerSocket = openSocket(SOCK_DGRAM, address(8, 1), 0);
    const int instanceCount = std::atoi(arguments[4]);
    for (int index = 0; index < instanceCount; ++index) {
        instances.push_back({address(1, static_cast<unsigned>(index) + 1)});
    }
    peerTraffic.announcements.resize(instances.size());
    peerTraffic.heartbeatAt.assign(instances.size(), std::vector<std::int64_t>(instances.size()));
    mesh.onDatagram = seeDatagram;
    if (mode == "route") {
        openMesh();
    }
    for (std::size_t index = 0; index < instances.size(); ++index) {
        probe(index);
    }
    const auto areReady = [] {
        return std::all_of(
            instances.begin(), instances.end(), [](const Instance &i) { return i.isInRotation; });
    };
    for (int attempt = 0; attempt < 40 && !areReady(); ++attempt) {
        runUntil(now() + 250);
    }
    if (!areReady()) {
        std::fprintf(stderr, "rig: the instances do not become ready\n");
        return 2;
    }
    // For the rules a machine is in touch once it has run for stableMs.
    runUntil(now() + StableMs);
    trafficStart = now();
    note("traffic starts");
    if (mode == "route") {
        PauseMs = 60;
        addClients(0, 8, FirstRoute, 20);
        runUntil(now() + 5000);
        std::int64_t addAt = 0;
        if (!findMoment(addAt)) {
            std::fprintf(stderr, "rig: no moment was found\n");
            return 2;
        }
        note("instance %zu reads the store, instance %zu is to leave", peerTraffic.reader + 1,
            peerTraffic.leaving + 1);
        if (isTroubled) {
            addRouteAt(addAt);
        } else {
            timers.emplace(addAt, [] { putConfig(9, {FirstRoute, AddedRoute}); });
            timers.emplace(addAt + 15, [] { addClients(100, 40, AddedRoute, 1); });
        }
        runUntil(addAt + 6000);
    } else {
        playClock(isTroubled, mode == "drain");
        addClients(0, 48, FirstRoute, 20);
        runUntil(trafficStart + 16000);
    }
    isTrafficOn = false;
    runUntil(now() + 2500);
    unsigned twice = 0;
    for (const auto &[request, places] : runs) {
        twice += places.size() > 1 ? 1 : 0;
    }
    note("requests sent %u, answered %u, failed %u; openings failed %u; run twice %u", sentRequests,
        answeredRequests, failedRequests, failedOpenings, twice);
    note("FLOW broken %u times (%u of the requests in flight were never answered); DRAIN broken %u times; "
         "UNASKED %u",
        brokenFlow, lostRequests, brokenDrain, unasked);
    std::fclose(record);
    if (answeredRequests == 0) {
        return 2;
    }
    const unsigned broken = mode == "drain" ? brokenDrain : brokenFlow;
    return broken > 0 ? 1 : 0;
}
