// The surroundings of the instances, and the check of the FLOW rule.
#pragma once

#include "packet.h"
#include "store.h"

#include <array>
#include <cstdint>
#include <fstream>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include <sys/types.h>

namespace review
{

constexpr int ExitHeld = 0;
constexpr int ExitBroken = 1;
constexpr int ExitCannotRun = 2;

constexpr std::size_t InstanceCount = 3;

class World;

/// Ends the run at the next turn; a signal handler.
void endRun(int signal);

/// A server (an endpoint of the platform). Each start holds nothing of the one before.
class Server
{
public:
    Server(World &world, std::string id, std::string service, End address);
    ~Server();

    [[nodiscard]] const std::string &id() const
    {
        return m_id;
    }
    [[nodiscard]] const std::string &service() const
    {
        return m_service;
    }
    [[nodiscard]] End address() const
    {
        return m_address;
    }
    [[nodiscard]] bool isAlive() const
    {
        return m_datagrams >= 0;
    }
    [[nodiscard]] Time disturbedUntil() const
    {
        return m_disturbedUntil;
    }

    /// Returns whether it has the end of the handshake of a flow.
    [[nodiscard]] bool holds(End client, End route) const;

    void start();
    void crash();
    void restart();
    void addDescriptors(std::vector<pollfd> &descriptors) const;
    void serve(Time now);

    std::int64_t born = 0; ///< Unix milliseconds of its start.
    Time startedAt;
    Time nextHeartbeatAt;
    bool isPublished = false;

private:
    struct Flow {
        End client;
        End route;
        std::uint32_t echo = 0;
        std::uint32_t firstNumber = 0;
        std::uint32_t received = 0; ///< The next number that it expects.
        std::uint32_t acknowledged = 0;
        bool isOpen = false;
        std::string request;
        Time answerAt;
        std::string unsent;
        Time sentAt;
        unsigned repeats = 0;
    };

    void take(const Packet &packet);
    void answerOpening(Flow &flow, Time now);
    void repeat(Flow &flow, Time now);
    void takeLater(Flow &flow, const Packet &packet);
    void sendAnswer(Flow &flow, Time now);
    void reply(const Flow &flow, std::uint8_t flags, std::uint32_t sequence, const std::string &data);
    void answerHealthChecks();

    World &m_world;
    std::string m_id;
    std::string m_service;
    End m_address;
    int m_datagrams = -1;
    int m_listener = -1;
    Time m_disturbedUntil;
    std::map<std::pair<End, End>, Flow> m_flows;
};

/// A client that keeps one flow open for many requests.
class Client
{
public:
    Client(World &world, std::uint32_t address, End route, bool mayRepeat);
    ~Client();

    void addDescriptors(std::vector<pollfd> &descriptors) const;
    void serve(Time now);

private:
    enum class Stage { Closed, Opening, Open };

    void open(Time now);
    void fail(const std::string &why, Time now);
    void ask(Time now);
    void send(
        std::uint8_t flags, std::uint32_t sequence, std::uint32_t acknowledged, const std::string &data);
    void take(const Packet &packet, End from, Time now);
    void takeReset(const Packet &packet, End from, Time now);
    void takeData(const Packet &packet, Time now);
    void tick(Time now);

    World &m_world;
    std::uint32_t m_address;
    End m_route;
    bool m_mayRepeat;
    int m_datagrams = -1;
    Stage m_stage = Stage::Closed;
    End m_self;
    std::uint32_t m_echo = 0;
    std::uint32_t m_sent = 0;
    std::uint32_t m_received = 0;
    unsigned m_copies = 0;
    std::string m_request; ///< The request that waits for its answer.
    std::size_t m_answered = 0;
    Time m_openedAt;
    Time m_closeAt; ///< When the flow is closed after the next answer.
    Time m_sentAt;
    Time m_askedAt;
    Time m_nextAt;
    unsigned m_repeats = 0;
    unsigned m_unacknowledged = 0;
};

/// One instance of the project, as a process.
struct Instance {
    std::string name;
    std::uint32_t address = 0;
    std::string settingsPath;
    std::string logPath;
    pid_t process = -1;
    bool isInRotation = false;
    unsigned misses = 0;
    Time disturbedUntil;
    Time restartAt; ///< The epoch while it is not to be restarted.
    Time killAt;
};

/// What was sent, answered, run and reset.
struct Counts {
    std::uint64_t asked = 0;
    std::uint64_t answered = 0;
    std::uint64_t runs = 0;
    std::uint64_t refused = 0; ///< Flows that were reset before they opened.
    std::uint64_t resetBySystem = 0; ///< Open flows.
    std::uint64_t resetByServer = 0; ///< Open flows, by any server.
    std::uint64_t lost = 0; ///< Requests that may run once, broken off.
    std::uint64_t timedOut = 0;
    std::uint64_t flowBroken = 0;
};

class World
{
public:
    World(std::string program, std::string folder, const std::string &record);
    ~World();

    [[nodiscard]] Store &store()
    {
        return m_store;
    }
    Server &addServer(const std::string &id, const std::string &service);
    Server &addServerAt(const Server &former, const std::string &id, const std::string &service);
    void publishServers();
    void publish(Server &server);
    [[nodiscard]] std::string entryOf(const Server &server, const std::string &service) const;
    void crash(Server &server);
    void restart(Server &server);
    void expireSoon(const Server &server);
    void disturbStore(const std::string &what);
    void startInstances();
    void restartInstance(std::size_t number);
    /// Starts clients of the service "desk"; every second one sends requests that may run once.
    void startClients(std::size_t count);
    void run(double seconds);
    void note(const std::string &line);
    int verdict();

    void sendToSystem(int descriptor, const Packet &packet);
    void onReset(End client, End route, const Packet &packet, End from);

    [[nodiscard]] std::uint16_t packetPort() const
    {
        return m_firstPort;
    }
    [[nodiscard]] std::uint16_t nextClientPort()
    {
        return ++m_clientPort;
    }
    [[nodiscard]] std::mt19937_64 &random()
    {
        return m_random;
    }

    Counts counts;

private:
    void spawn(Instance &instance);
    void writeSettings(const Instance &instance, bool isFirstStart);
    void heartbeats(Time now);
    void tickInstances(Time now);
    void pollReadiness();
    void judgeResetOfServer(End client, const Server *holder, End from);
    void turn();

    std::string m_program;
    std::string m_folder;
    std::ofstream m_record;
    Time m_startedAt;
    std::uint16_t m_firstPort = 0;
    std::uint16_t m_clientPort = 1024;
    std::mt19937_64 m_random{1};
    Store m_store;
    Time m_storeDisturbedUntil;
    std::vector<std::unique_ptr<Server>> m_servers;
    std::vector<std::unique_ptr<Client>> m_clients;
    std::array<Instance, InstanceCount> m_instances;
    std::map<std::string, Time> m_expiries; ///< When the entry of a crashed server is removed.
    Time m_readinessPolledAt;
    bool m_hasEndedItself = false;
};

} // namespace review
