#include "jasminequay/Placement/cataloguebuilder.h"

#include "jasminequay/Support/hash.h"

#include <algorithm>
#include <cassert>
#include <limits>

namespace jasminequay
{

CatalogueBuilder::CatalogueBuilder(std::string dataCentre)
    : m_dataCentre(std::move(dataCentre))
    , m_current(std::make_shared<const Catalogue>())
{
}

ServiceId CatalogueBuilder::serviceId(const std::string &name)
{
    assert(m_serviceIds.size() < std::numeric_limits<ServiceId>::max() && "service numbers ran out");
    return m_serviceIds.emplace(name, static_cast<ServiceId>(m_serviceIds.size())).first->second;
}

TargetEntry CatalogueBuilder::targetEntry(
    const TargetSettings &settings, const ServiceSettings &service, TimePoint now)
{
    const auto [position, isNew] = m_targets.try_emplace({settings.address, service.protocol});
    TargetMemory &memory = position->second;
    if (isNew) {
        memory.id = m_nextTargetId++;
        memory.service = service.name;
        memory.load = std::make_shared<TargetLoad>();
    }
    if (memory.service != service.name) {
        memory.service = service.name;
        memory.isMoving = true;
        // Flows of the other service are void here, so the count starts anew with the new service.
        memory.load = std::make_shared<TargetLoad>();
        memory.id = m_nextTargetId++;
    }
    const bool isCold = settings.state == TargetState::Cold;
    if (isCold && !memory.isCold) {
        memory.coldSince = now;
    }
    memory.isCold = isCold;
    const std::uint64_t hash
        = hashWords(settings.address.packed(), static_cast<std::uint64_t>(service.protocol));
    return {memory.id, settings, hash, memory.coldSince, memory.isMoving, memory.load};
}

bool CatalogueBuilder::isAddressMoving(const ServiceSettings &service)
{
    const auto [position, isNew]
        = m_addresses.try_emplace({service.address, service.protocol}, AddressMemory{service.name});
    AddressMemory &memory = position->second;
    if (!isNew && memory.service != service.name) {
        memory = {service.name, true};
    }
    return memory.isMoving;
}

static bool isSameTarget(const TargetEntry &left, const TargetEntry &right)
{
    const TargetSettings &before = left.settings;
    const TargetSettings &after = right.settings;
    return left.id == right.id && left.isQuarantined == right.isQuarantined && before.weight == after.weight
        && before.connectionLimit == after.connectionLimit && before.slots == after.slots
        && before.state == after.state;
}

static bool hasSameTargets(const ServiceTable &left, const ServiceTable &right)
{
    return std::equal(
        left.targets.begin(), left.targets.end(), right.targets.begin(), right.targets.end(), isSameTarget);
}

static bool isSamePolicy(const ServicePolicy &left, const ServicePolicy &right)
{
    return left.division == right.division && left.placement == right.placement && left.bound == right.bound
        && left.owners == right.owners && left.repeatable == right.repeatable
        && left.newFlowLimit == right.newFlowLimit && left.handshakeTimeout == right.handshakeTimeout
        && left.idleTimeout == right.idleTimeout && left.drainDeadline == right.drainDeadline
        && left.replicateAfter == right.replicateAfter && left.slowStart == right.slowStart
        && left.recordInterval == right.recordInterval && left.objectiveWhole == right.objectiveWhole
        && left.objectiveRefused == right.objectiveRefused
        && left.objectiveFirstPacket == right.objectiveFirstPacket && left.reportPort == right.reportPort;
}

static bool isSameTable(const ServiceTable &left, const ServiceTable &right)
{
    return left.address == right.address && left.protocol == right.protocol
        && left.isQuarantined == right.isQuarantined && isSamePolicy(left.policy, right.policy)
        && hasSameTargets(left, right);
}

Catalogue::TablePointer CatalogueBuilder::tableFor(const ServiceSettings &service, TimePoint now)
{
    auto table = std::make_shared<ServiceTable>();
    table->id = serviceId(service.name);
    table->name = service.name;
    table->address = service.address;
    table->protocol = service.protocol;
    table->policy = service.policy;
    table->isQuarantined = isAddressMoving(service);
    for (const TargetSettings &target : service.targets) {
        table->targets.push_back(targetEntry(target, service, now));
    }
    Catalogue::TablePointer before
        = table->id < m_current->tables().size() ? m_current->tables()[table->id] : nullptr;
    if (!before) {
        return table;
    }
    if (isSameTable(*before, *table)) {
        return before;
    }
    const bool mustAgree = !service.policy.repeatable || !before->policy.repeatable;
    if (before->previous || (mustAgree && !hasSameTargets(*before, *table))) {
        // What was held back already stays so: an instance may place by any version since all last agreed.
        table->previous = before;
    }
    return table;
}

std::shared_ptr<const Catalogue> CatalogueBuilder::apply(const Configuration &configuration, TimePoint now)
{
    if (configuration.version <= m_current->version()) {
        return m_current;
    }
    std::vector<Catalogue::TablePointer> tables;
    for (const ServiceSettings &service : configuration.services) {
        if (service.dataCentre != m_dataCentre) {
            continue;
        }
        Catalogue::TablePointer table = tableFor(service, now);
        if (tables.size() <= table->id) {
            tables.resize(table->id + 1U);
        }
        tables[table->id] = std::move(table);
    }
    m_current = std::make_shared<const Catalogue>(configuration.version, std::move(tables));
    return m_current;
}

static bool isHeldBack(const Catalogue::TablePointer &table)
{
    return table
        && (table->previous || table->isQuarantined
            || std::any_of(table->targets.begin(), table->targets.end(),
                [](const TargetEntry &target) { return target.isQuarantined; }));
}

bool CatalogueBuilder::hasQuarantine() const
{
    const std::vector<Catalogue::TablePointer> &tables = m_current->tables();
    return std::any_of(tables.begin(), tables.end(), isHeldBack);
}

std::shared_ptr<const Catalogue> CatalogueBuilder::applyOnJoin(
    const Configuration &configuration, const Quarantine &held, TimePoint now)
{
    apply(configuration, now);
    std::vector<Catalogue::TablePointer> tables = m_current->tables();
    for (Catalogue::TablePointer &table : tables) {
        if (!table) {
            continue;
        }
        auto marked = std::make_shared<ServiceTable>(*table);
        marked->isQuarantined = held.endpoints.contains({table->address, table->protocol});
        for (TargetEntry &target : marked->targets) {
            target.isQuarantined = held.endpoints.contains({target.settings.address, table->protocol});
        }
        if (held.services.contains(table->name)) {
            // The table before is unknown here. One without targets agrees with nothing, so that every new
            // flow waits.
            auto unknown = std::make_shared<ServiceTable>(*table);
            unknown->targets.clear();
            marked->previous = std::move(unknown);
        }
        table = std::move(marked);
    }
    m_current = std::make_shared<const Catalogue>(m_current->version(), std::move(tables));
    return m_current;
}

Quarantine CatalogueBuilder::quarantine() const
{
    Quarantine held;
    for (const Catalogue::TablePointer &table : m_current->tables()) {
        if (!table) {
            continue;
        }
        if (table->previous) {
            held.services.insert(table->name);
        }
        if (table->isQuarantined) {
            held.endpoints.emplace(table->address, table->protocol);
        }
        for (const TargetEntry &target : table->targets) {
            if (target.isQuarantined) {
                held.endpoints.emplace(target.settings.address, table->protocol);
            }
        }
    }
    return held;
}

std::shared_ptr<const Catalogue> CatalogueBuilder::releaseQuarantine()
{
    std::vector<Catalogue::TablePointer> tables = m_current->tables();
    for (Catalogue::TablePointer &table : tables) {
        if (!isHeldBack(table)) {
            continue;
        }
        auto released = std::make_shared<ServiceTable>(*table);
        released->previous = nullptr;
        released->isQuarantined = false;
        for (TargetEntry &target : released->targets) {
            target.isQuarantined = false;
        }
        table = std::move(released);
    }
    for (auto &[key, memory] : m_targets) {
        memory.isMoving = false;
    }
    for (auto &[key, memory] : m_addresses) {
        memory.isMoving = false;
    }
    m_current = std::make_shared<const Catalogue>(m_current->version(), std::move(tables));
    return m_current;
}

} // namespace jasminequay
