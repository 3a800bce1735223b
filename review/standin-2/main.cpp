// Stand-ins for one run of a case: the platform's store and its routers, the servers and the clients. They
// run in this process; the instances are processes of the project's own program. Writes a record of what was
// sent, answered, run and reset, and exits with 1 if the FLOW rule was broken, 0 if it held, and 2 if the
// case could not run.
#include "world.h"

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <vector>

namespace review
{

/// Another writer copies the entries of a service's servers under a service that the configuration does not
/// name. Its entries stand in the store when the instances start, and are removed later.
static int playCopiedEntries(World &world, bool hasTrouble)
{
    std::vector<std::string> copies;
    for (const char *const digits : {"5a01c2d3", "5a01c2d4", "5a01c2d5"}) {
        Server &server = world.addServer(std::string("i-") + digits, "desk");
        world.publish(server);
        if (hasTrouble) {
            copies.push_back(std::string("servers/copy-") + digits);
            world.store().put(copies.back(), world.entryOf(server, "asset-inventory"));
            world.note("another writer's entry " + copies.back() + " is in the store");
        }
    }
    world.startInstances();
    world.run(6);
    world.startClients(12);
    world.run(10);
    for (const std::string &copy : copies) {
        world.store().remove(copy);
        world.note("another writer's entry " + copy + " is removed");
    }
    world.run(14);
    return world.verdict();
}

/// The store does a heartbeat late that it has not answered. Meanwhile its server has crashed and started
/// again under its id.
static int playLateWriteOfAnEarlierStart(World &world, bool hasTrouble)
{
    Server &server = world.addServer("i-5a01c2d3", "desk");
    world.addServer("i-5a01c2d4", "desk");
    world.addServer("i-5a01c2d5", "desk");
    world.publishServers();
    world.startInstances();
    world.run(6);
    world.startClients(12);
    world.run(4);
    const std::string heartbeat = world.entryOf(server, "desk");
    if (hasTrouble) {
        world.disturbStore("the store takes a heartbeat of " + server.id() + " and does not answer it");
        world.run(0.2);
        world.crash(server);
        world.run(0.5);
        world.restart(server);
    }
    world.run(5.1);
    if (hasTrouble) {
        world.store().put("servers/" + server.id(), heartbeat);
        world.note("the store does the heartbeat, 5.8 s after it was sent");
    }
    world.run(6);
    return world.verdict();
}

/// The store does a heartbeat of a crashed server late that it has not answered. Meanwhile a server of
/// another service has its address. Instances are restarted later, one after the other.
static int playLateWriteTakesTheAddress(World &world, bool hasTrouble)
{
    Server &crashed = world.addServer("i-5a01c2d3", "files");
    world.addServer("i-5a01c2d4", "files");
    world.addServer("i-5a01c2d5", "desk");
    world.publishServers();
    world.startInstances();
    world.run(6);
    world.startClients(12);
    world.run(4);
    const std::string heartbeat = world.entryOf(crashed, "files");
    if (hasTrouble) {
        world.disturbStore("the store takes a heartbeat of " + crashed.id() + " and does not answer it");
    }
    world.run(0.1);
    world.crash(crashed);
    world.run(2.1);
    Server &successor = world.addServerAt(crashed, "i-5a01c2d6", "desk");
    world.publish(successor);
    world.run(3.6);
    if (hasTrouble) {
        world.store().put("servers/" + crashed.id(), heartbeat);
        world.note("the store does the heartbeat, 5.8 s after it was sent");
        world.expireSoon(crashed);
    }
    world.run(10);
    for (std::size_t number = 0; number < InstanceCount; ++number) {
        world.restartInstance(number);
        world.run(8);
    }
    return world.verdict();
}

static int play(const std::string &name, World &world, bool hasTrouble)
{
    if (name == "copied-entries") {
        return playCopiedEntries(world, hasTrouble);
    }
    if (name == "late-write-of-an-earlier-start") {
        return playLateWriteOfAnEarlierStart(world, hasTrouble);
    }
    if (name == "late-write-takes-the-address") {
        return playLateWriteTakesTheAddress(world, hasTrouble);
    }
    return ExitCannotRun;
}

} // namespace review

int main(int argc, char **argv)
{
    if (argc != 5) {
        std::fprintf(stderr, "usage: standin CASE PROGRAM FOLDER RECORD\n");
        return review::ExitCannotRun;
    }
    const char *const trouble = std::getenv("TROUBLE");
    const bool hasTrouble = trouble == nullptr || std::string(trouble) != "0";
    std::signal(SIGTERM, review::endRun);
    std::signal(SIGINT, review::endRun);
    try {
        review::World world(argv[2], argv[3], argv[4]);
        return review::play(argv[1], world, hasTrouble);
    } catch (const std::exception &exception) {
        std::fprintf(stderr, "standin: %s\n", exception.what());
        return review::ExitCannotRun;
    }
}
