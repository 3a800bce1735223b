#include "world.h"

#include "sockets.h"

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <stdexcept>

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

extern char **environ;

namespace review
{

using std::chrono::milliseconds;
using std::chrono::seconds;

static volatile std::sig_atomic_t isEnding = 0;

void endRun(int)
{
    isEnding = 1;
}

// The bounds of the site file fjernkode-dk.
constexpr auto Stable = milliseconds(4000);
constexpr auto Grace = seconds(6);
constexpr auto Heartbeat = milliseconds(1200);
constexpr auto WarmUp = milliseconds(2000);

constexpr auto ReadinessInterval = milliseconds(500);
constexpr auto RestartDelay = milliseconds(500);
constexpr unsigned MissesUntilOut = 2;

// All addresses are of the loopback range.
constexpr std::uint32_t ClientNet = 0x7f01'0000;
constexpr std::uint32_t InstanceNet = 0x7f02'0000;
constexpr std::uint32_t ServerNet = 0x7f03'0000;
constexpr std::uint32_t StoreAddress = 0x7f04'0001;

// The ports follow each other; the first one is that of packets.
constexpr unsigned ReadinessPort = 1;
constexpr unsigned ControlPort = 2;
constexpr unsigned PeerPort = 3;
constexpr unsigned ServerPort = 4;
constexpr unsigned StorePort = 5;
constexpr unsigned PortCount = 6;

constexpr std::uint32_t RouteAddress = 0xc612'0001; // 198.18.0.1, stands in packets only
constexpr std::uint16_t RepeatablePort = 443;
constexpr std::uint16_t OncePort = 8080;
constexpr std::uint16_t FilesPort = 8443;

World::World(std::string program, std::string folder, const std::string &record)
    : m_program(std::move(program))
    , m_folder(std::move(folder))
    , m_record(record)
    , m_startedAt(Clock::now())
    , m_firstPort(freePorts(InstanceNet + 1, PortCount))
{
    m_store.open(StoreAddress, static_cast<std::uint16_t>(m_firstPort + StorePort));
    const auto route = [](const char *name, std::uint16_t port, const char *kind, const char *service) {
        return std::string(R"({"name":")") + name + R"(","host":"198.18.0.1","prefix":"/)"
            + std::to_string(port) + R"(/","type":")" + kind
            + R"(","timeoutMs":2000,"sloMs":150,"priority":1,"service":")" + service + R"(","attempts":2})";
    };
    const auto service = [](const char *name) {
        return std::string(R"({"name":")") + name
            + R"(","healthPath":"/healthz","maxConns":2000,"protocol":"h1","tls":false})";
    };
    m_store.put("op/config",
        R"({"version":7,"routes":[)" + route("lookup", RepeatablePort, "idempotent", "desk") + ","
            + route("upload", OncePort, "non_idempotent", "desk") + ","
            + route("bundle", FilesPort, "download", "files") + R"(],"services":[)" + service("desk") + ","
            + service("files") + R"(],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,)"
            + R"("headerTimeoutMs":3000,"idleTimeoutMs":15000}})");
}

World::~World()
{
    for (Instance &instance : m_instances) {
        if (instance.process > 0) {
            kill(instance.process, SIGKILL);
            waitpid(instance.process, nullptr, 0);
        }
    }
}

void World::note(const std::string &line)
{
    const double second = std::chrono::duration<double>(Clock::now() - m_startedAt).count();
    char time[32];
    std::snprintf(time, sizeof time, "%8.3f ", second);
    m_record << time << line << std::endl;
}

Server &World::addServer(const std::string &id, const std::string &service)
{
    const End address{ServerNet + static_cast<std::uint32_t>(m_servers.size()) + 1,
        static_cast<std::uint16_t>(m_firstPort + ServerPort)};
    m_servers.push_back(std::make_unique<Server>(*this, id, service, address));
    note("server " + id + " of " + service + " starts at " + format(address));
    return *m_servers.back();
}

Server &World::addServerAt(const Server &former, const std::string &id, const std::string &service)
{
    m_servers.push_back(std::make_unique<Server>(*this, id, service, former.address()));
    note("server " + id + " of " + service + " starts at " + format(former.address()));
    return *m_servers.back();
}

std::string World::entryOf(const Server &server, const std::string &service) const
{
    const auto left = std::chrono::duration_cast<milliseconds>(server.startedAt + WarmUp - Clock::now());
    return R"({"service":")" + service + R"(","addr":")" + format(server.address())
        + R"(","zone":"dk-east-a","version":"v1","concurrency":2,"state":"ready","warmLeftMs":)"
        + std::to_string(std::max<std::int64_t>(left.count(), 0)) + R"(,"seq":1,"born":)"
        + std::to_string(server.born) + "}";
}

void World::publish(Server &server)
{
    server.isPublished = true;
    m_store.put("servers/" + server.id(), entryOf(server, server.service()));
    server.nextHeartbeatAt = Clock::now() + Heartbeat;
}

void World::publishServers()
{
    for (const std::unique_ptr<Server> &server : m_servers) {
        publish(*server);
    }
}

/// Servers write their entries; the store removes those of crashed ones after three heartbeats.
void World::heartbeats(Time now)
{
    for (const std::unique_ptr<Server> &server : m_servers) {
        if (server->isAlive() && server->isPublished && now >= server->nextHeartbeatAt) {
            publish(*server);
        }
    }
    for (auto position = m_expiries.begin(); position != m_expiries.end();) {
        if (now < position->second) {
            ++position;
            continue;
        }
        note("the store removes the entry of " + position->first + ", silent for three heartbeats");
        m_store.remove("servers/" + position->first);
        position = m_expiries.erase(position);
    }
}

void World::crash(Server &server)
{
    note("server " + server.id() + " crashes");
    server.crash();
    expireSoon(server);
}

void World::expireSoon(const Server &server)
{
    m_expiries[server.id()] = Clock::now() + 3 * Heartbeat;
}

void World::restart(Server &server)
{
    m_expiries.erase(server.id());
    server.restart();
    publish(server);
    note("server " + server.id() + " starts again, born " + std::to_string(server.born));
}

void World::disturbStore(const std::string &what)
{
    note(what);
    m_storeDisturbedUntil = Clock::now();
}

void World::writeSettings(const Instance &instance, bool isFirstStart)
{
    const auto at = [&](unsigned port) {
        return format(End{instance.address, static_cast<std::uint16_t>(m_firstPort + port)});
    };
    std::ofstream file(instance.settingsPath);
    file << "instance: \"" << instance.name << "\"\ndata-centre: \"dk-east-a\"\npackets: \"" << at(0)
         << "\"\nreadiness: \"" << at(ReadinessPort) << "\"\ncontrol: \"" << at(ControlPort)
         << "\"\nstore: \"" << format(End{StoreAddress, static_cast<std::uint16_t>(m_firstPort + StorePort)})
         << "\"\npeer-port: " << m_firstPort + PeerPort << "\nseeds:\n";
    for (std::size_t number = 0; number < InstanceCount; ++number) {
        const auto address = InstanceNet + static_cast<std::uint32_t>(number) + 1;
        file << "  - \"" << format(End{address, static_cast<std::uint16_t>(m_firstPort + ControlPort)})
             << "\"\n";
    }
    file << "features:\n";
    for (const char *const contract : {"base", "drain", "config", "cost", "recover", "flows", "platform"}) {
        file << "  - \"" << contract << "\"\n";
    }
    file << (isFirstStart ? "first-start: true\n" : "")
         << "settings-bound: \"3000ms\"\ngrace-period: \"6s\"\nflow-lifetime: "
            "\"60s\"\nstore-reads-per-second: \"2000\"\n";
}

void World::spawn(Instance &instance)
{
    std::vector<std::string> environment{"JASMINEQUAY_CONFIG=" + instance.settingsPath, "PATH=/usr/bin:/bin"};
    std::vector<char *> variables{environment[0].data(), environment[1].data(), nullptr};
    std::string verb = "steer";
    std::vector<char *> arguments{m_program.data(), verb.data(), nullptr};
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(
        &actions, STDOUT_FILENO, instance.logPath.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    const int error = posix_spawn(
        &instance.process, m_program.c_str(), &actions, nullptr, arguments.data(), variables.data());
    posix_spawn_file_actions_destroy(&actions);
    if (error != 0) {
        throw std::runtime_error("cannot start " + m_program);
    }
    instance.disturbedUntil = Clock::now();
}

void World::startInstances()
{
    for (std::size_t number = 0; number < InstanceCount; ++number) {
        Instance &instance = m_instances[number];
        instance.name = "edge-dk-east-a-" + std::to_string(number + 1);
        instance.address = InstanceNet + static_cast<std::uint32_t>(number) + 1;
        instance.settingsPath = m_folder + "/" + instance.name + ".yaml";
        instance.logPath = m_folder + "/" + instance.name + ".log";
        writeSettings(instance, true);
        spawn(instance);
    }
    note("the instances start");
}

void World::restartInstance(std::size_t number)
{
    Instance &instance = m_instances[number];
    note("planned: " + instance.name + " gets SIGTERM");
    writeSettings(instance, false);
    kill(instance.process, SIGTERM);
    instance.disturbedUntil = Clock::now() + Grace;
    instance.killAt = Clock::now() + Grace;
}

void World::tickInstances(Time now)
{
    for (Instance &instance : m_instances) {
        if (instance.process > 0) {
            const bool isStopping = instance.killAt != Time{};
            if (isStopping && now >= instance.killAt) {
                kill(instance.process, SIGKILL);
            }
            if (waitpid(instance.process, nullptr, WNOHANG) != instance.process) {
                continue;
            }
            instance.process = -1;
            instance.killAt = Time{};
            instance.restartAt = now + RestartDelay;
            instance.disturbedUntil = now;
            if (!isStopping) {
                note(instance.name + " has ended by itself");
                m_hasEndedItself = true;
            }
        } else if (instance.restartAt != Time{} && now >= instance.restartAt) {
            instance.restartAt = Time{};
            spawn(instance);
            note(instance.name + " starts again");
        }
    }
}

void World::pollReadiness()
{
    for (Instance &instance : m_instances) {
        const End readiness{instance.address, static_cast<std::uint16_t>(m_firstPort + ReadinessPort)};
        const bool isReady = instance.process > 0 && statusOf(readiness, "/v1/readyz") == 200;
        const bool wasInRotation = instance.isInRotation;
        instance.misses = isReady ? 0 : instance.misses + 1;
        instance.isInRotation = isReady || (wasInRotation && instance.misses < MissesUntilOut);
        if (instance.isInRotation != wasInRotation) {
            note(instance.name + (wasInRotation ? " is out of rotation" : " is in rotation"));
        }
    }
}

void World::startClients(std::size_t count)
{
    for (std::size_t number = 0; number < count; ++number) {
        const bool mayRepeat = number % 2 == 0;
        const End route{RouteAddress, mayRepeat ? RepeatablePort : OncePort};
        const auto address = ClientNet + static_cast<std::uint32_t>(number) + 1;
        m_clients.push_back(std::make_unique<Client>(*this, address, route, mayRepeat));
    }
    note(std::to_string(count) + " clients begin, each with one flow at a time and many requests");
}

/// The routers: a hash of the four addresses and ports over the instances in rotation.
void World::sendToSystem(int descriptor, const Packet &packet)
{
    std::vector<const Instance *> rotation;
    for (const Instance &instance : m_instances) {
        if (instance.isInRotation) {
            rotation.push_back(&instance);
        }
    }
    if (rotation.size() * 2 < InstanceCount) {
        rotation.clear();
        for (const Instance &instance : m_instances) {
            rotation.push_back(&instance);
        }
    }
    std::uint64_t hash = packet.source.address * 0x9e37'79b9'7f4a'7c15 + packet.source.port;
    hash = (hash ^ packet.destination.address) * 0xbf58'476d'1ce4'e5b9 + packet.destination.port;
    hash = (hash ^ (hash >> 29)) * 0x94d0'49bb'1331'11eb;
    const Instance &chosen = *rotation[(hash >> 32) % rotation.size()];
    sendDatagram(descriptor, encode(packet), {chosen.address, m_firstPort});
}

/// Judges a reset that ended an open flow of a client.
void World::onReset(End client, End route, const Packet &packet, End from)
{
    const Time now = Clock::now();
    const auto isCalm = [now](Time disturbedUntil) {
        return now - disturbedUntil >= Stable;
    };
    const auto holder
        = std::find_if(m_servers.begin(), m_servers.end(), [&](const std::unique_ptr<Server> &server) {
              return server->isAlive() && server->holds(client, route);
          });
    if (!packet.isOfSystem) {
        judgeResetOfServer(client, holder == m_servers.end() ? nullptr : holder->get(), from);
        return;
    }
    ++counts.resetBySystem;
    const auto sender = std::find_if(m_instances.begin(), m_instances.end(),
        [&](const Instance &instance) { return instance.address == from.address; });
    const bool isHeld = holder != m_servers.end();
    const bool isInTouch
        = sender != m_instances.end() && isCalm(sender->disturbedUntil) && isCalm(m_storeDisturbedUntil);
    const bool isBroken = isHeld && isInTouch && isCalm((*holder)->disturbedUntil());
    counts.flowBroken += isBroken ? 1 : 0;
    const std::string by = sender == m_instances.end() ? format(from) : sender->name;
    note((isBroken ? "FLOW broken: " : "not counted: ") + by + " resets the open flow of " + format(client)
        + (isHeld ? " while server " + (*holder)->id() + " holds it" : ", which no living server holds"));
}

/// Judges a reset of an open flow by a server. It is allowed if the flow is open at this server.
void World::judgeResetOfServer(End client, const Server *holder, End from)
{
    ++counts.resetByServer;
    const Time now = Clock::now();
    const auto sender
        = std::find_if(m_servers.begin(), m_servers.end(), [&](const std::unique_ptr<Server> &server) {
              return server->isAlive() && server->address() == from;
          });
    const auto isCalm = [now](const Server &server) {
        return now - server.disturbedUntil() >= Stable;
    };
    const bool isBroken = holder != nullptr && sender != m_servers.end() && sender->get() != holder
        && isCalm(*holder) && isCalm(**sender) && now - m_storeDisturbedUntil >= Stable;
    counts.flowBroken += isBroken ? 1 : 0;
    note((isBroken ? "FLOW broken: server " : "not counted: server ")
        + (sender == m_servers.end() ? format(from) : (*sender)->id()) + " resets the open flow of "
        + format(client)
        + (holder == nullptr ? ", which no living server holds" : " that server " + holder->id() + " holds"));
}

void World::turn()
{
    std::vector<pollfd> descriptors;
    m_store.addDescriptors(descriptors);
    for (const std::unique_ptr<Server> &server : m_servers) {
        server->addDescriptors(descriptors);
    }
    for (const std::unique_ptr<Client> &client : m_clients) {
        client->addDescriptors(descriptors);
    }
    poll(descriptors.data(), descriptors.size(), 2);
    const Time now = Clock::now();
    heartbeats(now);
    m_store.serve(now);
    // A client's copy is due before the server repeats its answer, which it sent later.
    for (const std::unique_ptr<Client> &client : m_clients) {
        client->serve(now);
    }
    for (const std::unique_ptr<Server> &server : m_servers) {
        server->serve(now);
    }
    tickInstances(now);
    if (now - m_readinessPolledAt >= ReadinessInterval) {
        m_readinessPolledAt = now;
        pollReadiness();
    }
}

void World::run(double duration)
{
    const Time end
        = Clock::now() + std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(duration));
    while (Clock::now() < end) {
        if (isEnding != 0) {
            throw std::runtime_error("ended by a signal");
        }
        turn();
    }
}

int World::verdict()
{
    note("asked " + std::to_string(counts.asked) + ", run " + std::to_string(counts.runs) + ", answered "
        + std::to_string(counts.answered) + ", flows refused " + std::to_string(counts.refused)
        + ", open flows reset by the system " + std::to_string(counts.resetBySystem) + " (FLOW broken "
        + std::to_string(counts.flowBroken) + "), by servers " + std::to_string(counts.resetByServer)
        + ", requests that may run once lost " + std::to_string(counts.lost) + ", timed out "
        + std::to_string(counts.timedOut));
    const bool hasRun = counts.answered > 100 && !m_hasEndedItself;
    return counts.flowBroken > 0 ? ExitBroken : (hasRun ? ExitHeld : ExitCannotRun);
}

} // namespace review
