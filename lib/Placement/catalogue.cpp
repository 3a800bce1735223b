#include "jasminequay/Placement/catalogue.h"

namespace jasminequay
{

static std::uint64_t indexKey(Endpoint endpoint, Protocol protocol)
{
    return (endpoint.packed() << 8) | static_cast<std::uint8_t>(protocol);
}

Catalogue::Catalogue(std::uint64_t version, std::vector<TablePointer> tables)
    : m_version(version)
    , m_byId(std::move(tables))
{
    for (const TablePointer &table : m_byId) {
        if (!table) {
            continue;
        }
        m_byAddress.emplace(indexKey(table->address, table->protocol), table->id);
        for (const TargetEntry &target : table->targets) {
            m_byTarget.emplace(indexKey(target.settings.address, table->protocol), target.id);
            if (m_targetsById.size() <= target.id) {
                m_targetsById.resize(target.id + 1U);
            }
            m_targetsById[target.id] = {table.get(), &target};
        }
    }
}

const ServiceTable *Catalogue::serviceAt(Endpoint address, Protocol protocol) const
{
    const auto found = m_byAddress.find(indexKey(address, protocol));
    return found == m_byAddress.end() ? nullptr : m_byId[found->second].get();
}

TargetPlace Catalogue::targetAt(Endpoint address, Protocol protocol) const
{
    const auto found = m_byTarget.find(indexKey(address, protocol));
    return found == m_byTarget.end() ? TargetPlace{} : m_targetsById[found->second];
}

} // namespace jasminequay
