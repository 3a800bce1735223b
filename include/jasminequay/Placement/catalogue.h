// All services of one data centre in one settings version, with the indexes that the packet path uses.
#pragma once

#include "jasminequay/Placement/servicetable.h"

#include <unordered_map>

namespace jasminequay
{

/// A target together with its service.
struct TargetPlace {
    const ServiceTable *service = nullptr;
    const TargetEntry *target = nullptr;
};

/// An immutable index over the service tables. Unchanged services share their tables with earlier versions.
class Catalogue
{
public:
    using TablePointer = std::shared_ptr<const ServiceTable>;

    Catalogue() = default;
    Catalogue(std::uint64_t version, std::vector<TablePointer> tables);

    /// Returns the settings version.
    [[nodiscard]] std::uint64_t version() const
    {
        return m_version;
    }

    /// Returns the table of a service; null if it was removed.
    [[nodiscard]] const ServiceTable *service(ServiceId id) const
    {
        return id < m_byId.size() ? m_byId[id].get() : nullptr;
    }

    /// Returns the service at an address; null if there is none.
    [[nodiscard]] const ServiceTable *serviceAt(Endpoint address, Protocol protocol) const;

    /// Returns the target at an address; an empty place if there is none.
    [[nodiscard]] TargetPlace targetAt(Endpoint address, Protocol protocol) const;

    /// Returns the target with an ID; an empty place if it was removed or has moved to another service.
    [[nodiscard]] TargetPlace target(TargetId id) const
    {
        return id < m_targetsById.size() ? m_targetsById[id] : TargetPlace{};
    }

    /// Returns all tables by service ID; the entries of removed services are null.
    [[nodiscard]] const std::vector<TablePointer> &tables() const
    {
        return m_byId;
    }

private:
    std::uint64_t m_version = 0;
    std::vector<TablePointer> m_byId;
    std::unordered_map<std::uint64_t, ServiceId> m_byAddress;
    std::unordered_map<std::uint64_t, TargetId> m_byTarget;
    std::vector<TargetPlace> m_targetsById;
};

} // namespace jasminequay
