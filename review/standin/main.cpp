// Plays one case of the review. Usage: standin CASE PROGRAM RECORD FOLDER TROUBLE
#include "world.h"

#include <unistd.h>

#include <algorithm>
#include <string_view>

namespace review
{

constexpr int Held = 0;
constexpr int Broken = 1;
constexpr int NotRun = 2;

constexpr double ConvergeSeconds = 3;
constexpr double ProbeInterval = 0.25;

static Address routeAddress(unsigned number)
{
    return {0xc6120001U + number, 8443};
}

/// Ends the processes of the system and this one. Threads of the stand-ins still use the world, so it is not
/// destroyed.
[[noreturn]] static void finish(World &world, int result)
{
    for (const auto &machine : world.machines) {
        machine->end();
    }
    std::fflush(nullptr);
    _exit(result);
}

[[noreturn]] static void conclude(World &world)
{
    world.logCounts();
    if (world.hasEndedByItself) {
        world.breach("a process of the system ended by itself");
    }
    finish(world, world.breaches > 0 ? Broken : Held);
}

/// Starts flows at a steady rate on a route.
class Load
{
public:
    Load(World &world, Address route, double flowsPerSecond, unsigned requests)
        : m_world(world)
        , m_route(route)
        , m_interval(1 / flowsPerSecond)
        , m_requests(requests)
    {
    }

    void tick()
    {
        for (; now() >= m_nextAt; m_nextAt = std::max(m_nextAt, now() - 1) + m_interval) {
            m_world.clients->start(m_route, true, m_requests);
        }
    }

private:
    World &m_world;
    Address m_route;
    double m_interval;
    unsigned m_requests;
    double m_nextAt = now();
};

/// An endpoint takes a SYN to a route that was dropped longer ago than the bound, through a machine in touch.
/// The SYNs to the route are probes: they are sent after the bound only, and reach their machine at once.
static void judgeConfig(World &world, const Endpoint &endpoint, const Packet &packet, Address from,
    Address dropped, double droppedAt)
{
    const int machine = world.machineAt(from);
    const bool isLate = droppedAt > 0 && packet.destination == dropped && now() > droppedAt + ConvergeSeconds;
    if (isLate && machine >= 0 && world.isInTouch(static_cast<std::size_t>(machine), now())) {
        world.breach("CONFIG: " + endpoint.id() + " takes a SYN to the dropped route " + text(dropped)
            + " through " + world.machines[static_cast<std::size_t>(machine)]->settings().name + " "
            + std::to_string(now() - droppedAt) + " s after the version that drops it was acknowledged");
    }
}

/// Sends a SYN to the dropped route through each machine.
static void probeDropped(World &world, Address dropped)
{
    for (std::size_t machine = 0; machine < world.machines.size(); ++machine) {
        world.clients->start(dropped, true, 1, static_cast<int>(machine));
    }
}

/// A large configuration changes in quick succession; its last version drops a route.
[[noreturn]] static void playConfigStorm(WorldOptions options, bool hasTrouble)
{
    constexpr double StormSeconds = 1.5;
    constexpr double Gap = 0.06;
    constexpr std::size_t IdleRoutes = 7000; // the value then has 1,047,000 bytes of 1,048,576
    World world(options);
    world.routes = {{routeAddress(0), "desk"}, {routeAddress(1), "guides"}, {routeAddress(2), "desk"}};
    world.idleRoutes = IdleRoutes;
    if (!world.start()) {
        finish(world, NotRun);
    }
    const Address dropped = routeAddress(2);
    double droppedAt = 0;
    world.onSyn = [&](Endpoint &endpoint, const Packet &packet, Address from) {
        judgeConfig(world, endpoint, packet, from, dropped, droppedAt);
    };
    Load load(world, routeAddress(0), 5, 5);
    world.runUntil(now() + 3, [&]() { load.tick(); });
    const double stormUntil = now() + (hasTrouble ? StormSeconds : 0);
    double nextChangeAt = now();
    world.runUntil(stormUntil, [&]() {
        load.tick();
        if (now() >= nextChangeAt) {
            nextChangeAt = now() + Gap;
            world.routes[1].timeoutMs += 10;
            world.publish();
        }
    });
    world.routes.pop_back();
    droppedAt = world.publish();
    double nextProbeAt = droppedAt + ConvergeSeconds + 0.05;
    world.runUntil(droppedAt + 24, [&]() {
        load.tick();
        if (now() >= nextProbeAt) {
            nextProbeAt = now() + ProbeInterval;
            probeDropped(world, dropped);
        }
    });
    conclude(world);
}

/// The machine that reads the store freezes just after it has got a change.
[[noreturn]] static void playReaderFreeze(const WorldOptions &options, bool hasTrouble)
{
    constexpr double FreezeSeconds = 4;
    constexpr std::size_t IdleRoutes = 6990;
    // After the store has sent the change, in seconds.
    constexpr double FreezeAfter[] = {0.02, 0.025, 0.03, 0.035, 0.04, 0.045, 0.05, 0.06, 0.07, 0.085, 0.1};
    World world(options);
    world.routes = {{routeAddress(0), "desk"}, {routeAddress(1), "guides"}};
    for (unsigned number = 2; number < 2 + std::size(FreezeAfter); ++number) {
        world.routes.push_back({routeAddress(number), "desk"});
    }
    world.idleRoutes = IdleRoutes;
    if (!world.start()) {
        finish(world, NotRun);
    }
    Load load(world, routeAddress(0), 5, 5);
    Address dropped;
    double droppedAt = 0;
    world.onSyn = [&](Endpoint &endpoint, const Packet &packet, Address from) {
        judgeConfig(world, endpoint, packet, from, dropped, droppedAt);
    };
    for (const double after : FreezeAfter) {
        world.runUntil(now() + 4.5, [&]() { load.tick(); });
        dropped = world.routes.back().address;
        world.routes.pop_back();
        droppedAt = world.publish();
        bool isDone = !hasTrouble;
        double nextProbeAt = droppedAt + ConvergeSeconds + 0.05;
        world.runUntil(droppedAt + 5, [&]() {
            load.tick();
            if (!isDone && world.store->changesSentAt() > droppedAt
                && now() >= world.store->changesSentAt() + after) {
                isDone = true;
                world.machines[static_cast<std::size_t>(world.store->lastReader())]->freeze(FreezeSeconds);
            }
            if (now() >= nextProbeAt) {
                nextProbeAt = now() + ProbeInterval;
                probeDropped(world, dropped);
            }
        });
    }
    conclude(world);
}

/// An endpoint other than a flow's own resets it, or the system resets a flow at a living endpoint.
static void judgeFlow(World &world, const ClientFlow &flow, const Packet &packet, Address from)
{
    constexpr double FlowLifetime = 60;
    constexpr double IdleTimeout = 15;
    const Endpoint *const holder = world.holderOf(flow.self, flow.route);
    const bool isCounted = now() - flow.openedAt < FlowLifetime && now() - flow.lastPacketAt < IdleTimeout;
    const bool isOwn = !packet.isSystemReset && holder != nullptr && holder->address() == from;
    if (holder != nullptr && !isOwn && isCounted) {
        world.breach("FLOW: " + text(flow.self) + " to " + text(flow.route) + ", open at " + holder->id()
            + " for " + std::to_string(now() - flow.establishedAt) + " s, is reset by "
            + (packet.isSystemReset ? "the system" : world.endpointAt(from)->id()));
    }
}

/// The machines are stopped and started in turn while a few datagrams are lost.
[[noreturn]] static void playRollingRestart(WorldOptions options, bool hasTrouble)
{
    options.lossShare = 0.01;
    World world(options);
    world.routes = {{routeAddress(0), "desk"}, {routeAddress(1), "guides"}};
    if (!world.start()) {
        finish(world, NotRun);
    }
    world.onReset = [&](const ClientFlow &flow, const Packet &packet, Address from) {
        judgeFlow(world, flow, packet, from);
    };
    Load load(world, routeAddress(0), 20, 10);
    world.runUntil(now() + 8, [&]() { load.tick(); });
    std::size_t stopped = 0;
    double nextStopAt = now();
    const auto areAllIn = [&]() {
        return std::all_of(world.machines.begin(), world.machines.end(),
            [](const auto &machine) { return machine->isRunning() && machine->isInRotation(); });
    };
    world.runUntil(now() + 70, [&]() {
        load.tick();
        if (hasTrouble && stopped < 4 * world.machines.size() && now() >= nextStopAt && areAllIn()) {
            world.machines[stopped++ % world.machines.size()]->stopInTurn();
            nextStopAt = now() + 2;
        }
    });
    conclude(world);
}

/// Another writer puts an entry of a service that the configuration does not name.
[[noreturn]] static void playForeignEntry(const WorldOptions &options, bool hasTrouble)
{
    World world(options);
    world.routes = {{routeAddress(0), "desk"}, {routeAddress(1), "guides"}};
    if (!world.start()) {
        finish(world, NotRun);
    }
    world.onReset = [&](const ClientFlow &flow, const Packet &packet, Address from) {
        judgeFlow(world, flow, packet, from);
    };
    Load load(world, routeAddress(0), 5, 30);
    world.runUntil(now() + 6, [&]() { load.tick(); });
    const Address listed = world.endpoints.front()->address();
    const Address other = {listed.ip, static_cast<std::uint16_t>(listed.port + 1)};
    world.putEntry("m-51c0ffee", "asset-inventory", hasTrouble ? listed : other, "ready");
    world.runUntil(now() + 10, [&]() { load.tick(); });
    conclude(world);
}

static void play(std::string_view name, const WorldOptions &options, bool hasTrouble)
{
    if (name == "config-storm") {
        playConfigStorm(options, hasTrouble);
    } else if (name == "rolling-restart") {
        playRollingRestart(options, hasTrouble);
    } else if (name == "reader-freeze") {
        playReaderFreeze(options, hasTrouble);
    } else if (name == "foreign-entry") {
        playForeignEntry(options, hasTrouble);
    }
}

} // namespace review

int main(int argumentCount, char **arguments)
{
    if (argumentCount != 6) {
        return review::NotRun;
    }
    review::WorldOptions options;
    options.program = arguments[2];
    options.record = arguments[3];
    options.folder = arguments[4];
    if (access(options.program.c_str(), X_OK) != 0) {
        return review::NotRun;
    }
    review::play(arguments[1], options, std::string_view(arguments[5]) != "0");
    return review::NotRun;
}
