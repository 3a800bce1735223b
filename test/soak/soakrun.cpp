#include "soakrun.h"

#include "jasminequay/Support/wallclock.h"

#include <algorithm>
#include <cstdio>

namespace jasminequay::soak
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint16_t PacketPort = 8172;
constexpr std::uint16_t ReadinessPort = 8167;
constexpr std::uint16_t ControlPort = 8166;
constexpr std::uint16_t PeerPort = 7720;
constexpr std::uint16_t TargetPort = 8080;

// The third byte of the addresses of each kind of party.
constexpr unsigned StoreGroup = 0;
constexpr unsigned KnownGroup = 1;
constexpr unsigned InstanceGroup = 2;
constexpr unsigned TargetGroup = 3;
constexpr unsigned CallerGroup = 4;

constexpr std::size_t CallerAddresses = 8;
constexpr std::size_t Seeds = 3;
constexpr std::size_t DeskTargets = 6;
constexpr std::size_t GuideTargets = 4;
constexpr std::size_t RoutesAtStart = 6;

constexpr Duration TickInterval = milliseconds(10);
/// A tick that comes this late: the stand-ins themselves had no time, and nobody is judged by it.
constexpr Duration LongestTick = milliseconds(100);

/// The first fault comes when all instances have been in touch; the last leaves time to recover in.
constexpr Duration FirstFault = milliseconds(4500);
constexpr Duration Recovery = milliseconds(6500);
constexpr Duration Calm = milliseconds(4000);

static std::vector<Fault> faultsOf(const RunOptions &options)
{
    return drawFaults(options.seed, FirstFault, options.duration - Recovery - Calm);
}

static std::vector<Drill> drillsOf(const RunOptions &options)
{
    return options.hasDrills ? drawDrills(options.seed, FirstFault, options.duration - Recovery - Calm)
                             : std::vector<Drill>{};
}

void SoakRun::printPlan(const RunOptions &options)
{
    for (const Fault &fault : faultsOf(options)) {
        std::printf("%s\n", describe(fault).c_str());
    }
    for (const Drill &drill : drillsOf(options)) {
        std::printf("%s\n", describe(drill).c_str());
    }
}

SoakRun::SoakRun(const RunOptions &options)
    : m_options(options)
    , m_timer(m_context)
    , m_promises(options.instances, Bounds{})
    , m_store(m_context)
    , m_publication(m_store, m_promises)
    , m_faults(faultsOf(options))
    , m_drills(drillsOf(options))
    , m_random(options.seed)
{
    m_store.pageSize = 500;
    makeTargets();
    const TimePoint now = std::chrono::steady_clock::now();
    for (std::size_t route = 0; route < RoutesAtStart; ++route) {
        m_publication.addRoute(route % 3 == 2 ? "guides" : "desk", route % 3 != 1, now);
    }
    m_store.keepForStaleReads();
    makeInstances();
    makeMesh();
    makeCallers();
}

Ipv4Address SoakRun::address(unsigned group, std::size_t number) const
{
    const auto low = static_cast<std::uint32_t>(number + 1);
    return {(127U << 24) | (static_cast<std::uint32_t>(m_options.network) << 16)
        | (((low >> 8) * 8 + group) << 8) | (low & 0xff)};
}

void SoakRun::makeInstances()
{
    std::vector<Endpoint> seeds;
    for (std::size_t index = 0; index < std::min(Seeds, m_options.instances); ++index) {
        seeds.push_back({address(KnownGroup, index), ControlPort});
    }
    for (std::size_t index = 0; index < m_options.instances; ++index) {
        m_storeLinks.push_back(
            std::make_unique<TcpLink>(m_context, Endpoint{address(StoreGroup, 0), 0}, m_store.address()));
        InstancePlace place;
        place.program = m_options.program;
        place.folder = m_options.folder;
        place.name = "instance-" + std::to_string(index);
        place.dataCentre = index % 2 == 0 ? "z1" : "z2";
        place.packets = {address(InstanceGroup, index), PacketPort};
        place.readiness = {address(InstanceGroup, index), ReadinessPort};
        place.control = {address(KnownGroup, index), ControlPort};
        place.store = m_storeLinks.back()->address();
        place.seeds = seeds;
        place.peerPort = PeerPort;
        m_instances.push_back(std::make_unique<SoakInstance>(std::move(place)));
    }
    m_fabric = std::make_unique<SoakFabric>(m_context, m_instances, m_promises, m_options.seed);
}

void SoakRun::makeMesh()
{
    std::vector<MeshMember> members;
    for (std::size_t index = 0; index < m_options.instances; ++index) {
        members.push_back(
            {{address(KnownGroup, index), ControlPort}, {address(InstanceGroup, index), ControlPort}});
    }
    m_mesh = std::make_unique<PeerMesh>(m_context, std::move(members), PeerPort, m_options.seed);
}

void SoakRun::makeCallers()
{
    std::vector<Endpoint> addresses;
    for (std::size_t index = 0; index < CallerAddresses; ++index) {
        addresses.push_back({address(CallerGroup, index), PacketPort});
    }
    CallerHooks hooks;
    hooks.send = [this](DatagramSocket &socket, const std::string &bytes, std::uint64_t hash) {
        return m_fabric->send(socket, bytes, hash);
    };
    hooks.sendTo = [this](DatagramSocket &socket, const std::string &bytes, std::size_t instance) {
        m_fabric->sendTo(socket, bytes, instance);
    };
    hooks.instanceAt = [this](Endpoint from) {
        return m_fabric->instanceAt(from);
    };
    hooks.onRefused = [this](const Opening &opening) {
        m_promises.onRefused(opening, m_tickedAt);
    };
    hooks.onUnhandled = [this](const Opening &opening) {
        m_promises.onUnhandled(opening, m_tickedAt);
    };
    hooks.onReset = [this](Endpoint caller, Endpoint route, std::size_t instance) {
        for (const RunningTarget &running : m_targets) {
            if (running.target && running.target->holds(caller, route)) {
                m_promises.onForeignReset(running.state, route, instance, m_tickedAt);
            }
        }
    };
    hooks.onBreach = [this](const std::string &rule, const std::string &what) {
        m_promises.breach(m_tickedAt, rule, what);
    };
    m_callers = std::make_unique<Callers>(m_context, std::move(addresses), std::move(hooks), m_options.seed);
}

void SoakRun::makeTargets()
{
    m_targets.resize(DeskTargets + GuideTargets);
    for (std::size_t place = 0; place < m_targets.size(); ++place) {
        startTarget(
            place, place < DeskTargets ? "desk" : "guides", {}, {address(TargetGroup, place), TargetPort});
    }
}

/// Starts a target in a place. An empty name asks for a new one.
void SoakRun::startTarget(std::size_t place, const std::string &service, const std::string &name, Endpoint at)
{
    RunningTarget &running = m_targets[place];
    // The id before each packet is the number in the name.
    char text[32];
    std::snprintf(text, sizeof text, "i-%lx", 0x1000 + ++m_targetNumber);
    const std::string itsName = name.empty() ? text : name;
    const std::uint64_t id = std::stoull(itsName.substr(2), nullptr, 16);
    running.dataCentre = place % 2 == 0 ? "z1" : "z2";
    running.state = {service, true, {}, {}, running.dataCentre};
    running.startedAt = static_cast<std::uint64_t>(wallMilliseconds()) + m_targetNumber;
    running.entryAt = TimePoint{};
    running.endsAt = TimePoint{};
    TargetHooks hooks;
    hooks.onOpening = [this, place](const SoakPacket &packet, Endpoint from) {
        m_callers->noteTaken(packet);
        if (const Opening *const sent = m_callers->openingOf(packet)) {
            Opening opening = *sent;
            opening.instance = m_fabric->instanceAt(from);
            m_promises.onOpening(m_targets[place].state, opening, m_tickedAt);
        }
    };
    hooks.onRun = [this](Endpoint route, std::uint64_t request) {
        m_promises.onRun(route, request, m_tickedAt);
    };
    hooks.onUnheld = [this, place](const SoakPacket &packet, Endpoint from) {
        for (const RunningTarget &other : m_targets) {
            const bool isElsewhere = other.target && &other != &m_targets[place]
                && other.target->holds(packet.source, packet.destination);
            if (isElsewhere && m_callers->isOpen(packet.source, packet.destination)) {
                m_promises.onForeignReset(
                    other.state, packet.destination, m_fabric->instanceAt(from), m_tickedAt);
            }
        }
    };
    hooks.onForged = [this](const std::string &what) {
        m_promises.breach(m_tickedAt, "UNASKED", what);
    };
    running.target = std::make_unique<SoakTarget>(
        m_context, at, id, itsName, PacketPort, std::move(hooks), m_options.seed + m_targetNumber);
    m_publication.putTarget(running);
}

bool SoakRun::play()
{
    const bool isFirstStart = true;
    m_startedAt = m_tickedAt = std::chrono::steady_clock::now();
    for (const auto &instance : m_instances) {
        instance->start(isFirstStart);
    }
    for (std::size_t index = 0; index < m_instances.size(); ++index) {
        m_promises.disturb(index, m_startedAt);
    }
    schedule();
    m_context.run();
    return report(m_tickedAt - m_startedAt);
}

void SoakRun::schedule()
{
    m_timer.expires_after(TickInterval);
    m_timer.async_wait([this](boost::system::error_code) {
        const TimePoint now = std::chrono::steady_clock::now();
        tick(now);
        if (m_hasBegun && now - m_startedAt >= m_options.duration) {
            m_context.stop();
            return;
        }
        schedule();
    });
}

void SoakRun::tick(TimePoint now)
{
    if (now - m_tickedAt > LongestTick) {
        std::printf("own-pause_ms=%ld\n", std::chrono::duration_cast<milliseconds>(now - m_tickedAt).count());
        m_promises.disturbAll(now);
        for (RunningTarget &running : m_targets) {
            running.state.disturbedUntil = std::max(running.state.disturbedUntil, now);
        }
    }
    m_tickedAt = now;
    if (now - m_staleKeptAt >= seconds(1)) {
        m_staleKeptAt = now;
        m_store.keepForStaleReads();
    }
    tickInstances(now);
    if (!m_hasBegun) {
        // The run's clock starts when the system does.
        m_hasBegun = m_fabric->isWhole();
        m_startedAt = now;
        return;
    }
    while (m_nextFault < m_faults.size() && now - m_startedAt >= m_faults[m_nextFault].at) {
        apply(m_faults[m_nextFault++], now);
    }
    for (std::vector<Ending> *const list : {&m_endings, &m_routeProbes}) {
        for (const Ending &ending : std::exchange(*list, {})) {
            if (now >= ending.at) {
                ending.end();
            } else {
                list->push_back(ending);
            }
        }
    }
    if (!m_isCalm && now - m_startedAt >= m_options.duration - Calm) {
        m_isCalm = true;
        m_callers->beginCalm(now);
    }
    tickDrills(now);
    tickTargets(now);
    tickLoad(now);
}

void SoakRun::tickInstances(TimePoint now)
{
    for (std::size_t index = 0; index < m_instances.size(); ++index) {
        SoakInstance &instance = *m_instances[index];
        const unsigned generation = instance.generation();
        const std::string fault = instance.tick(now);
        if (!fault.empty()) {
            m_promises.breach(now, "LIFE", fault);
        }
        if (instance.stage() != LifeStage::Running) {
            m_promises.harm(index, now);
        }
        if (instance.generation() != generation) {
            m_promises.harm(index, now);
            InstanceState &state = m_promises.instances[index];
            state.readySince = TimePoint{};
            state.shownVersion = 0;
        }
    }
}

void SoakRun::tickTargets(TimePoint now)
{
    for (std::size_t place = 0; place < m_targets.size(); ++place) {
        RunningTarget &running = m_targets[place];
        if (running.endsAt != TimePoint{} && now >= running.endsAt) {
            endTarget(running, now);
            startTarget(place, running.state.service, {}, {address(TargetGroup, place), TargetPort});
        }
        if (running.target) {
            running.target->tick(now);
        }
    }
}

void SoakRun::tickLoad(TimePoint now)
{
    m_callers->tick(now);
    // Nothing is asked so late that it could not be answered.
    if (now - m_startedAt >= m_options.duration - seconds(1)) {
        return;
    }
    m_flowsDue += m_options.flowsPerSecond * std::chrono::duration<double>(TickInterval).count();
    const std::vector<Endpoint> routes = m_publication.settledRoutes(now);
    for (; m_flowsDue >= 1 && !routes.empty(); m_flowsDue -= 1) {
        const Endpoint route = routes[m_random() % routes.size()];
        m_callers->start(route, m_promises.routes.at(route).mayRepeat, now);
    }
}

bool SoakRun::report(Duration taken) const
{
    const RequestCounts &counts = m_callers->counts();
    for (const Breach &breach : m_promises.breaches()) {
        std::printf("breach at_ms=%ld rule=%s what=\"%s\"\n",
            std::chrono::duration_cast<milliseconds>(breach.at - m_startedAt).count(), breach.rule.c_str(),
            breach.what.c_str());
    }
    std::printf(
        "seed=%lu instances=%zu seconds=%.0f faults=%zu requests=%lu served=%lu failed=%lu breaches=%zu\n",
        m_options.seed, m_options.instances, std::chrono::duration<double>(taken).count(), m_faults.size(),
        counts.asked, counts.served, counts.failed, m_promises.breaches().size());
    return m_promises.breaches().empty() && counts.served > 0;
}

} // namespace jasminequay::soak
