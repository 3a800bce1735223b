#include "world.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>

namespace review
{

constexpr std::uint16_t DataPort = 8172;
constexpr std::uint16_t ReadyPort = 8167;
constexpr std::uint16_t ControlPort = 8166;
constexpr std::uint16_t PeerPort = 7720;
constexpr std::uint16_t StorePort = 8169;
constexpr std::uint16_t EndpointPort = 8080;

// The third byte of the addresses of each kind of party.
constexpr unsigned StoreGroup = 0;
constexpr unsigned MachineGroup = 1;
constexpr unsigned EndpointGroup = 2;
constexpr unsigned ClientGroup = 3;
constexpr std::size_t ClientAddresses = 8;

constexpr double StartLimit = 15;
constexpr double StableSeconds = 4;
constexpr int PollMs = 1;

World::World(const WorldOptions &options)
    : record(options.record)
    , m_options(options)
{
}

Address World::address(unsigned group, unsigned number, std::uint16_t port) const
{
    return {127U << 24 | m_network << 16 | group << 8 | (number + 1), port};
}

/// Looks for a loopback network whose addresses nobody uses.
bool World::chooseNetwork()
{
    for (unsigned tries = 0; tries < 100; ++tries) {
        m_network = 20 + (static_cast<unsigned>(getpid()) * 7 + tries) % 200;
        bool isFree = true;
        for (const Address probed : {address(StoreGroup, 0, StorePort), address(MachineGroup, 0, ControlPort),
                 address(EndpointGroup, 0, EndpointPort)}) {
            const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
            const sockaddr_in local = toSocketAddress(probed);
            isFree &= bind(descriptor, reinterpret_cast<const sockaddr *>(&local), sizeof local) == 0;
            close(descriptor);
        }
        if (isFree) {
            return true;
        }
    }
    return false;
}

std::string World::configuration() const
{
    std::string list;
    unsigned number = 0;
    const auto add = [&](Address at, const std::string &service, bool mayRepeat, unsigned timeoutMs) {
        list += (number == 0 ? R"({"name":"r-)" : R"(,{"name":"r-)") + std::to_string(number)
            + R"(","host":")" + ipText(at.ip) + R"(","prefix":"/)" + std::to_string(at.port)
            + R"(/","type":")" + (mayRepeat ? "idempotent" : "non_idempotent") + R"(","timeoutMs":)"
            + std::to_string(timeoutMs) + R"(,"sloMs":150,"priority":2,"service":")" + service
            + R"(","attempts":2})";
        ++number;
    };
    for (const RouteEntry &entry : routes) {
        add(entry.address, entry.service, entry.mayRepeat, entry.timeoutMs);
    }
    for (unsigned idle = 0; idle < idleRoutes; ++idle) {
        add({0xc6130000U + idle / 200, static_cast<std::uint16_t>(10000 + idle % 200)}, "desk", true, 1500);
    }
    return R"({"version":)" + std::to_string(version) + R"(,"routes":[)" + list
        + R"(],"services":[{"name":"desk","healthPath":"/healthz"},{"name":"guides","healthPath":"/healthz"}],)"
        + R"("limits":{"idleTimeoutMs":15000}})";
}

double World::publish()
{
    version += 2;
    const std::string text = configuration();
    const std::uint64_t revision = store->put("op/config", text);
    const double at = now();
    record.line("operator: version " + std::to_string(version) + " is acknowledged, "
        + std::to_string(text.size()) + " bytes, " + std::to_string(routes.size() + idleRoutes)
        + " routes, revision " + std::to_string(revision));
    return at;
}

void World::putEntry(
    const std::string &id, const std::string &service, Address address, const std::string &state)
{
    store->put("servers/" + id,
        R"({"service":")" + service + R"(","addr":")" + text(address)
            + R"(","zone":"z1","version":"v1","concurrency":2,"state":")" + state
            + R"(","warmLeftMs":0,"seq":1,"born":1700000000000})");
    record.line("store: entry of " + id + ", service " + service + ", " + text(address) + ", " + state);
}

void World::makeMachines()
{
    std::vector<Address> seeds;
    for (unsigned index = 0; index < std::min<std::size_t>(3, m_options.machines); ++index) {
        seeds.push_back(address(MachineGroup, index, ControlPort));
    }
    for (unsigned index = 0; index < m_options.machines; ++index) {
        MachineSettings settings;
        settings.name = "edge-z1-" + std::to_string(index + 1);
        settings.zone = "z1";
        settings.data = address(MachineGroup, index, DataPort);
        settings.ready = address(MachineGroup, index, ReadyPort);
        settings.control = address(MachineGroup, index, ControlPort);
        settings.store = address(StoreGroup, index, StorePort);
        settings.seeds = seeds;
        settings.peerPort = PeerPort;
        machines.push_back(
            std::make_unique<Machine>(std::move(settings), m_options.program, m_options.folder, record));
    }
}

bool World::makeEndpoints()
{
    for (unsigned index = 0; index < m_options.endpoints; ++index) {
        EndpointHooks hooks;
        hooks.onSyn = [this, index](const Packet &packet, Address from) {
            record.line("endpoint " + endpoints[index]->id() + " takes a SYN of " + text(packet.source)
                + " to " + text(packet.destination) + ", copy " + std::to_string(packet.ack));
            if (onSyn) {
                onSyn(*endpoints[index], packet, from);
            }
        };
        hooks.onRun = [this, index](const Packet &packet) {
            record.line("endpoint " + endpoints[index]->id() + " runs "
                + packet.data.substr(0, packet.data.find(" HTTP")) + " of " + text(packet.source));
        };
        hooks.onUnheld = [this, index](const Packet &packet, Address from) {
            ++m_unheld;
            record.line("endpoint " + endpoints[index]->id()
                + " resets a flow that it doesn't hold: " + text(packet.source) + " to "
                + text(packet.destination) + ", through " + std::to_string(machineAt(from) + 1));
        };
        hooks.send = [this](int socket, const std::string &bytes, Address to) {
            if ((m_random() % 100000) / 100000.0 < m_options.lossShare) {
                ++m_lost;
                return;
            }
            carry(socket, bytes, to);
        };
        const std::string service = index < m_options.endpoints * 2 / 3 ? "desk" : "guides";
        endpoints.push_back(std::make_unique<Endpoint>(address(EndpointGroup, index, EndpointPort),
            "i-7f3a91" + std::to_string(10 + index), service, DataPort, std::move(hooks)));
        if (!endpoints.back()->open()) {
            return false;
        }
        putEntry(endpoints.back()->id(), service, endpoints.back()->address(), "ready");
    }
    return true;
}

bool World::makeClients()
{
    std::vector<Address> addresses;
    for (unsigned index = 0; index < ClientAddresses; ++index) {
        addresses.push_back(address(ClientGroup, index, DataPort));
    }
    ClientHooks hooks;
    hooks.route = [this](int socket, const std::string &bytes, std::uint64_t hash, int direct) {
        route(socket, bytes, hash, direct);
    };
    hooks.onReset = [this](const ClientFlow &flow, const Packet &packet, Address from) {
        record.line("client " + text(flow.self) + " to " + text(flow.route) + " gets a reset from "
            + text(from) + (packet.isSystemReset ? ", the system's own" : ", an endpoint's"));
        if (onReset) {
            onReset(flow, packet, from);
        }
    };
    hooks.log = [this](const std::string &line) {
        record.line(line);
    };
    clients = std::make_unique<Clients>(std::move(addresses), std::move(hooks));
    return clients->open();
}

/// Sends a packet as the platform's routers do: to a machine in rotation by the flow's hash, or to any where
/// fewer than half are in rotation.
void World::route(int socket, const std::string &bytes, std::uint64_t hash, int direct)
{
    std::vector<std::size_t> rotation;
    for (std::size_t index = 0; index < machines.size(); ++index) {
        if (machines[index]->isInRotation()) {
            rotation.push_back(index);
        }
    }
    std::size_t chosen
        = rotation.size() * 2 < machines.size() ? hash % machines.size() : rotation[hash % rotation.size()];
    chosen = direct >= 0 ? static_cast<std::size_t>(direct) : chosen;
    carry(socket, bytes, machines[chosen]->settings().data);
}

void World::carry(int socket, const std::string &bytes, Address to)
{
    m_underWay.push_back({now() + m_options.clientDelay, socket, bytes, to});
}

/// Delivers the datagrams whose delay is over.
void World::deliver()
{
    for (; !m_underWay.empty() && now() >= m_underWay.front().due; m_underWay.pop_front()) {
        const Datagram &datagram = m_underWay.front();
        const sockaddr_in to = toSocketAddress(datagram.to);
        sendto(datagram.socket, datagram.bytes.data(), datagram.bytes.size(), 0,
            reinterpret_cast<const sockaddr *>(&to), sizeof to);
    }
}

bool World::start()
{
    if (!record.isOpen() || !chooseNetwork()) {
        return false;
    }
    std::vector<Address> stores;
    for (unsigned index = 0; index < m_options.machines; ++index) {
        stores.push_back(address(StoreGroup, index, StorePort));
    }
    store = std::make_unique<Store>(std::move(stores), record);
    if (!store->start()) {
        return false;
    }
    publish();
    makeMachines();
    if (!makeEndpoints() || !makeClients()) {
        return false;
    }
    for (const auto &machine : machines) {
        if (!machine->start(true)) {
            return false;
        }
        machine->watchReadiness();
    }
    const double limit = now() + StartLimit;
    bool isWhole = false;
    while (!isWhole && now() < limit) {
        runUntil(now() + 0.1, []() {});
        isWhole = std::all_of(
            machines.begin(), machines.end(), [](const auto &machine) { return machine->isInRotation(); });
    }
    runUntil(now() + StableSeconds + 0.5, []() {});
    return isWhole && !hasEndedByItself;
}

void World::runUntil(double time, const std::function<void()> &onTick)
{
    std::vector<pollfd> polled;
    for (const auto &endpoint : endpoints) {
        polled.push_back({endpoint->descriptor(), POLLIN, 0});
    }
    for (const int descriptor : clients->descriptors()) {
        polled.push_back({descriptor, POLLIN, 0});
    }
    while (now() < time) {
        poll(polled.data(), polled.size(), PollMs);
        deliver();
        for (const auto &endpoint : endpoints) {
            endpoint->receive();
            endpoint->tick();
        }
        for (const int descriptor : clients->descriptors()) {
            clients->receive(descriptor);
        }
        clients->tick();
        for (const auto &machine : machines) {
            hasEndedByItself |= !machine->tick();
        }
        onTick();
    }
}

bool World::isInTouch(std::size_t machine, double at) const
{
    return at - machines[machine]->disturbedAt() >= StableSeconds;
}

int World::machineAt(Address from) const
{
    for (std::size_t index = 0; index < machines.size(); ++index) {
        if (machines[index]->settings().data.ip == from.ip) {
            return static_cast<int>(index);
        }
    }
    return -1;
}

Endpoint *World::endpointAt(Address from)
{
    const auto found = std::find_if(endpoints.begin(), endpoints.end(),
        [&](const auto &endpoint) { return endpoint->address() == from; });
    return found == endpoints.end() ? nullptr : found->get();
}

Endpoint *World::holderOf(Address client, Address route)
{
    const auto found = std::find_if(endpoints.begin(), endpoints.end(),
        [&](const auto &endpoint) { return endpoint->holds(client, route); });
    return found == endpoints.end() ? nullptr : found->get();
}

void World::breach(const std::string &what)
{
    ++breaches;
    record.line("BROKEN " + what);
}

void World::logCounts()
{
    const ClientCounts &counts = clients->counts();
    record.line("asked " + std::to_string(counts.asked) + ", answered " + std::to_string(counts.answered)
        + ", reset " + std::to_string(counts.reset) + ", not answered in time "
        + std::to_string(counts.timedOut) + ", never opened " + std::to_string(counts.notOpened)
        + ", open now " + std::to_string(clients->openFlows()) + ", datagrams of endpoints lost "
        + std::to_string(m_lost) + ", packets at endpoints that don't hold the flow "
        + std::to_string(m_unheld) + ", the rule was broken " + std::to_string(breaches) + " times");
}

} // namespace review
