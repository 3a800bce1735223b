#include "fakecluster.h"

namespace jasminequay::fleet
{

using std::chrono::milliseconds;

constexpr Duration StepLength = milliseconds(5);
constexpr Duration NetworkDelay = milliseconds(2);
constexpr Duration FetchTime = milliseconds(8);
constexpr Duration FetchTimeout = milliseconds(400);
constexpr Duration SweepInterval = milliseconds(50);
constexpr std::size_t Seeds = 3;

Endpoint FakeCluster::addressOf(std::size_t number)
{
    return {{0x0a010000 + static_cast<std::uint32_t>(number)}, 8166};
}

std::size_t FakeCluster::numberOf(Endpoint address)
{
    return address.address.value - 0x0a010000;
}

FakeCluster::FakeCluster(const ClusterShape &shape)
    : members(shape.instances)
    , m_shape(shape)
{
    store.changeRoutes();
    for (std::uint32_t number = 0; number < shape.targets; ++number) {
        TargetRecord record;
        record.name = "i-" + std::to_string(number);
        record.identity = {number + 1, 1};
        record.address = {{0x0a800000 + number}, 8080};
        record.service = "desk";
        record.dataCentre = "dc-" + std::to_string(number % shape.dataCentres);
        store.put(record);
    }
    for (std::size_t number = 0; number < shape.instances; ++number) {
        start(number);
    }
}

void FakeCluster::start(std::size_t number)
{
    FakeMember &member = members[number];
    member.control.reset();
    SteeringSettings engine;
    engine.dataCentre = "dc-" + std::to_string(dataCentreOf(number));
    engine.directory.observationGap = readerTiming(m_shape.settingsBound).currency;
    member.engine = std::make_unique<SteeringEngine>(engine);
    FleetSettings settings;
    settings.control = addressOf(number);
    settings.dataCentre = engine.dataCentre;
    settings.settingsBound = m_shape.settingsBound;
    settings.isFirstStart = member.incarnation == 0;
    settings.incarnation = ++member.incarnation;
    settings.randomSeed = m_shape.seed * 1000 + number;
    for (std::size_t seed = 0; seed < std::min(Seeds, members.size()); ++seed) {
        settings.seeds.push_back(addressOf(seed));
    }
    member.control = std::make_unique<FleetControl>(settings, *member.engine, now);
    member.isFrozen = false;
    member.read.reset();
    member.fetch.reset();
    member.newestVersion = 0;
    member.newestEra = 0;
    member.loadedAt = TimePoint{};
}

void FakeCluster::kill(std::size_t number)
{
    members[number].control.reset();
}

void FakeCluster::cut(std::size_t from, std::size_t to, bool isCut)
{
    if (isCut) {
        m_cuts.insert({from, to});
    } else {
        m_cuts.erase({from, to});
    }
}

void FakeCluster::cutDataCentre(std::size_t dataCentre, bool isCut)
{
    for (std::size_t from = 0; from < members.size(); ++from) {
        for (std::size_t to = 0; to < members.size(); ++to) {
            if ((dataCentreOf(from) == dataCentre) != (dataCentreOf(to) == dataCentre)) {
                cut(from, to, isCut);
            }
        }
    }
}

void FakeCluster::cutStore(std::size_t number, bool isCut)
{
    if (isCut) {
        m_storeCuts.insert(number);
    } else {
        m_storeCuts.erase(number);
    }
}

void FakeCluster::readEarlierStore(std::size_t number, bool isEarlier)
{
    if (isEarlier) {
        m_readersOfEarlierStore.insert(number);
    } else {
        m_readersOfEarlierStore.erase(number);
    }
}

bool FakeCluster::isStoreCut(std::size_t number) const
{
    return store.faults.isDown || m_storeCuts.contains(number);
}

std::vector<std::size_t> FakeCluster::readers() const
{
    std::vector<std::size_t> found;
    for (std::size_t number = 0; number < members.size(); ++number) {
        if (isRunning(number) && members[number].control->isReading()) {
            found.push_back(number);
        }
    }
    return found;
}

bool FakeCluster::isInForceEverywhere() const
{
    for (std::size_t number = 0; number < members.size(); ++number) {
        const bool isOld = isRunning(number)
            && members[number].engine->routes().configuration().version != store.routesVersion();
        if (isOld) {
            return false;
        }
    }
    return true;
}

bool FakeCluster::isKnownDraining(const TargetRecord &record) const
{
    for (std::size_t number = 0; number < members.size(); ++number) {
        if (!isRunning(number)) {
            continue;
        }
        const KnownTarget *const target = members[number].engine->targets().find(record.identity.key());
        if (target == nullptr || !target->record.isDraining) {
            return false;
        }
    }
    return true;
}

bool FakeCluster::isEvacuatedEverywhere(const std::string &dataCentre, bool isEvacuated) const
{
    for (std::size_t number = 0; number < members.size(); ++number) {
        const bool isCounted = isRunning(number) && !m_olderMembers.contains(number);
        if (isCounted
            && members[number].engine->targets().evacuations().isEvacuated(dataCentre) != isEvacuated) {
            return false;
        }
    }
    return true;
}

void FakeCluster::run(Duration duration)
{
    for (const TimePoint end = now + duration; now < end;) {
        step();
    }
}

std::optional<Duration> FakeCluster::runUntil(const std::function<bool()> &condition, Duration most)
{
    for (const TimePoint startedAt = now; now - startedAt < most;) {
        if (condition()) {
            return now - startedAt;
        }
        step();
    }
    return std::nullopt;
}

void FakeCluster::step()
{
    now += StepLength;
    deliver();
    for (std::size_t number = 0; number < members.size(); ++number) {
        if (isRunning(number)) {
            stepMember(number);
        }
    }
}

void FakeCluster::stepMember(std::size_t number)
{
    FakeMember &member = members[number];
    perform(number, member.control->tick(now));
    stepFetch(number);
    stepRead(number);
    if (now - member.sweptAt >= SweepInterval) {
        member.sweptAt = now;
        member.engine->sweep(now, 100);
    }
    checkVersion(number);
}

void FakeCluster::checkVersion(std::size_t number)
{
    FakeMember &member = members[number];
    const std::uint64_t version = member.engine->routes().configuration().version;
    const std::uint32_t era = member.engine->routes().configuration().era;
    const std::pair newest(member.newestEra, member.newestVersion);
    versionRegressions += std::pair(era, version) < newest ? 1 : 0;
    if (std::pair(era, version) > newest) {
        member.newestEra = era;
        member.newestVersion = version;
        member.versionSince = now;
    }
    if (member.loadedAt == TimePoint{} && member.control->isLoaded()) {
        member.loadedAt = now;
    }
}

void FakeCluster::answer(std::size_t number, const StoreAnswer &answer)
{
    FakeMember &member = members[number];
    const TimePoint startedAt = member.read->startedAt;
    member.read.reset();
    StoreAnswer understood = answer;
    if (m_olderMembers.contains(number)) {
        understood.update.evacuations.clear();
    }
    perform(number, member.control->onStoreAnswer(understood, startedAt, now));
}

void FakeCluster::stepRead(std::size_t number)
{
    FakeMember &member = members[number];
    if (!member.read) {
        const StoreReadRequest request = member.control->nextRead(now);
        if (!request.isWanted) {
            return;
        }
        // Stale reads are left out: one costs the store a tenth of a current read.
        store.calls += request.mayBeStale ? 0 : 1;
        member.read = FakeMember::Read{request, now, store.faults.areWatchesSilent && !request.isComplete};
    }
    const FakeMember::Read &read = *member.read;
    const bool readsEarlier = m_readersOfEarlierStore.contains(number);
    const FakeDirectory &directory = readsEarlier ? *earlierStore : store;
    const Duration waited = now - read.startedAt;
    const bool isRefused = store.faults.refusesAll || store.faults.refused.contains(number);
    if (isRefused && waited >= store.faults.answerTime) {
        answer(number, {StoreOutcome::Refused, {}, "turned away", 1});
        return;
    }
    const Duration longest
        = (read.request.isComplete ? Duration::zero() : read.request.wait) + read.request.timeout;
    if (isStoreCut(number) || read.isSilent) {
        if (waited >= longest) {
            answer(number, {StoreOutcome::Failed, {}, "no answer", 1});
        }
        return;
    }
    if (waited < store.faults.answerTime) {
        return;
    }
    if (read.request.isComplete) {
        answer(number, directory.readAll(read.request.mayBeStale));
        return;
    }
    const StoreAnswer changes = directory.changesAfter(read.request.after);
    const bool hasNews
        = changes.outcome != StoreOutcome::Answered || changes.update.revision > read.request.after;
    if (hasNews || waited >= read.request.wait) {
        answer(number, changes);
    }
}

void FakeCluster::stepFetch(std::size_t number)
{
    FakeMember &member = members[number];
    if (!member.fetch) {
        return;
    }
    const FakeMember::Fetch fetch = *member.fetch;
    const bool isConnected = isRunning(fetch.from) && !m_cuts.contains({number, fetch.from})
        && !m_cuts.contains({fetch.from, number});
    if (isConnected && now >= fetch.doneAt) {
        member.fetch.reset();
        if (!members[fetch.from].control->isLoaded()) {
            member.control->onFetchFailed(now);
            return;
        }
        FetchResponse response = members[fetch.from].control->answerFetch(fetch.request, now);
        if (m_olderMembers.contains(fetch.from)) {
            response.evacuationsRevision = 0;
            response.update.evacuations.clear();
        }
        fetchedTargets += response.update.targets.size();
        refetchedTargets += member.control->isLoaded() ? response.update.targets.size() : 0;
        ++fetchesServed[fetch.from];
        perform(number, member.control->onFetchResponse(response, now));
    } else if (now >= fetch.failsAt) {
        member.fetch.reset();
        member.control->onFetchFailed(now);
    }
}

void FakeCluster::perform(std::size_t number, const FleetActions &actions)
{
    for (const OutgoingFleetMessage &outgoing : actions.messages) {
        for (const Endpoint address : outgoing.to) {
            const std::size_t to = numberOf(address);
            ++messages;
            if (!m_cuts.contains({number, to})) {
                m_messages.push_back({now + NetworkDelay, to, outgoing.message});
                if (m_olderMembers.contains(number)) {
                    m_messages.back().message.status.evacuationsRevision = 0;
                    m_messages.back().message.status.evacuations.clear();
                }
            }
        }
    }
    if (actions.fetch) {
        const std::size_t from = numberOf(actions.fetch->from);
        members[number].fetch = FakeMember::Fetch{from, *actions.fetch, now + FetchTime, now + FetchTimeout};
    }
}

void FakeCluster::deliver()
{
    while (!m_messages.empty() && m_messages.front().at <= now) {
        const Message message = std::move(m_messages.front());
        m_messages.pop_front();
        if (message.to < members.size() && isRunning(message.to)) {
            perform(message.to, members[message.to].control->onMessage(message.message, now));
        }
    }
}

std::optional<Duration> timeToPropagate(FakeCluster &cluster, Duration most)
{
    cluster.store.changeRoutes();
    return cluster.runUntil([&]() { return cluster.isInForceEverywhere(); }, most);
}

} // namespace jasminequay::fleet
