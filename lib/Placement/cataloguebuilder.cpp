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
    assert(m_serviceIds.size() < std::numeric_limits<ServiceId>::max() && "no service IDs left");
    return m_serviceIds.emplace(name, static_cast<ServiceId>(m_serviceIds.size())).first->second;
}

TargetEntry CatalogueBuilder::targetEntry(
    const TargetSettings &settings, const ServiceSettings &service, TimePoint now)
{
    const auto [position, isNew] = m_targets.try_emplace({settings.address, service.protocol});
    TargetHistory &history = position->second;
    if (isNew) {
        history.id = m_nextTargetId++;
        history.service = service.name;
        history.load = std::make_shared<TargetLoad>();
    }
    if (history.service != service.name) {
        history.service = service.name;
        history.isMoving = true;
        // Flows of the previous service are invalid here, so the new service gets a new load count.
        history.load = std::make_shared<TargetLoad>();
        history.id = m_nextTargetId++;
    }
    const bool isCold = settings.state == TargetState::Cold;
    if (isCold && !history.isCold) {
        history.coldSince = now;
    }
    history.isCold = isCold;
    const std::uint64_t hash
        = hashWords(settings.address.packed(), static_cast<std::uint64_t>(service.protocol));
    return {history.id, settings, hash, history.coldSince, history.isMoving, history.load};
}

bool CatalogueBuilder::isAddressMoving(const ServiceSettings &service)
{
    const auto [position, isNew]
        = m_addresses.try_emplace({service.address, service.protocol}, AddressHistory{service.name});
    AddressHistory &history = position->second;
    if (!isNew && history.service != service.name) {
        history = {service.name, true};
    }
    return history.isMoving;
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
        // Keep the whole chain: an instance may place by any version since the last one that all confirmed.
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

static bool hasQuarantinedItems(const Catalogue::TablePointer &table)
{
    return table
        && (table->previous || table->isQuarantined
            || std::any_of(table->targets.begin(), table->targets.end(),
                [](const TargetEntry &target) { return target.isQuarantined; }));
}

bool CatalogueBuilder::hasQuarantine() const
{
    const std::vector<Catalogue::TablePointer> &tables = m_current->tables();
    return std::any_of(tables.begin(), tables.end(), hasQuarantinedItems);
}

std::shared_ptr<const Catalogue> CatalogueBuilder::applyOnJoin(
    const Configuration &configuration, const Quarantine &quarantine, TimePoint now)
{
    apply(configuration, now);
    std::vector<Catalogue::TablePointer> tables = m_current->tables();
    for (Catalogue::TablePointer &table : tables) {
        if (!table) {
            continue;
        }
        auto quarantined = std::make_shared<ServiceTable>(*table);
        quarantined->isQuarantined = quarantine.endpoints.contains({table->address, table->protocol});
        for (TargetEntry &target : quarantined->targets) {
            target.isQuarantined = quarantine.endpoints.contains({target.settings.address, table->protocol});
        }
        if (quarantine.services.contains(table->name)) {
            // The previous table is unknown here. An empty table conflicts with every target, so that all new
            // flows are dropped until the quarantine ends.
            auto emptied = std::make_shared<ServiceTable>(*table);
            emptied->targets.clear();
            quarantined->previous = std::move(emptied);
        }
        table = std::move(quarantined);
    }
    m_current = std::make_shared<const Catalogue>(m_current->version(), std::move(tables));
    return m_current;
}

Quarantine CatalogueBuilder::quarantine() const
{
    Quarantine quarantine;
    for (const Catalogue::TablePointer &table : m_current->tables()) {
        if (!table) {
            continue;
        }
        if (table->previous) {
            quarantine.services.insert(table->name);
        }
        if (table->isQuarantined) {
            quarantine.endpoints.emplace(table->address, table->protocol);
        }
        for (const TargetEntry &target : table->targets) {
            if (target.isQuarantined) {
                quarantine.endpoints.emplace(target.settings.address, table->protocol);
            }
        }
    }
    return quarantine;
}

std::shared_ptr<const Catalogue> CatalogueBuilder::releaseQuarantine()
{
    std::vector<Catalogue::TablePointer> tables = m_current->tables();
    for (Catalogue::TablePointer &table : tables) {
        if (!hasQuarantinedItems(table)) {
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
    for (auto &[key, history] : m_targets) {
        history.isMoving = false;
    }
    for (auto &[key, history] : m_addresses) {
        history.isMoving = false;
    }
    m_current = std::make_shared<const Catalogue>(m_current->version(), std::move(tables));
    return m_current;
}

} // namespace jasminequay
