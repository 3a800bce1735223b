// A small deployment on loopback addresses: the platform, the machines, the endpoints and the clients.
#pragma once

#include "client.h"
#include "endpoint.h"
#include "machine.h"
#include "store.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace review
{

/// A route of the configuration.
struct RouteEntry {
    Address address;
    std::string service;
    bool mayRepeat = true;
    unsigned timeoutMs = 1500;
};

struct WorldOptions {
    std::string program; ///< The program of the deploy file.
    std::string folder; ///< A temporary folder.
    std::string record; ///< The path of record.txt.
    std::size_t machines = 3;
    std::size_t endpoints = 6;
    double clientDelay = 0.003; ///< The time of a datagram between a client and the rest, in seconds.
    double lossShare = 0; ///< The share of the endpoints' datagrams that are lost.
};

class World
{
public:
    explicit World(const WorldOptions &options);

    /// Starts everything and waits until all machines have been in touch. Returns false if it can't.
    [[nodiscard]] bool start();

    /// Runs until a time; `onTick` is called every few milliseconds.
    void runUntil(double time, const std::function<void()> &onTick);

    /// Writes a new version of the configuration with the present routes. Returns when it was acknowledged.
    double publish();

    /// Writes the entry of an endpoint.
    void putEntry(
        const std::string &id, const std::string &service, Address address, const std::string &state);

    /// Returns whether no process of a machine was started, stopped or killed in the 4 s before a time.
    [[nodiscard]] bool isInTouch(std::size_t machine, double at) const;

    /// Returns the index of the machine that sends datagrams from an address; -1 if there is none.
    [[nodiscard]] int machineAt(Address from) const;

    /// Returns the endpoint at an address; null if there is none.
    [[nodiscard]] Endpoint *endpointAt(Address from);

    /// Returns the endpoint at which a flow is open; null if there is none.
    [[nodiscard]] Endpoint *holderOf(Address client, Address route);

    /// Records a breach of the rule that the case is about.
    void breach(const std::string &what);

    void logCounts();

    [[nodiscard]] Address address(unsigned group, unsigned number, std::uint16_t port) const;

    Record record;
    std::vector<RouteEntry> routes;
    std::size_t idleRoutes = 20; ///< Further routes that see no traffic.
    std::vector<std::unique_ptr<Machine>> machines;
    std::vector<std::unique_ptr<Endpoint>> endpoints;
    std::unique_ptr<Clients> clients;
    std::unique_ptr<Store> store;
    std::uint64_t version = 2;
    unsigned breaches = 0;
    bool hasEndedByItself = false;

    std::function<void(Endpoint &, const Packet &, Address)> onSyn;
    std::function<void(const ClientFlow &, const Packet &, Address)> onReset;

private:
    [[nodiscard]] bool chooseNetwork();
    [[nodiscard]] std::string configuration() const;
    void makeMachines();
    [[nodiscard]] bool makeEndpoints();
    [[nodiscard]] bool makeClients();
    void carry(int socket, const std::string &bytes, Address to);
    void deliver();
    void route(int socket, const std::string &bytes, std::uint64_t hash, int direct);

    struct Datagram {
        double due = 0;
        int socket = -1;
        std::string bytes;
        Address to;
    };

    WorldOptions m_options;
    std::deque<Datagram> m_underWay; ///< Datagrams between clients and the rest, in order.
    unsigned m_network = 0;
    unsigned m_unheld = 0;
    unsigned m_lost = 0;
    std::mt19937 m_random{11};
};

} // namespace review
