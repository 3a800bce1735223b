#include "jasminequay/Fleet/fleetcontrol.h"

#include <algorithm>
#include <set>
#include <tuple>

namespace jasminequay
{

/// Returns the instances of a data centre in the order in which they should read the store. Instances whose
/// reads failed come last.
std::vector<std::string> FleetControl::computeReaderOrder(const std::string &dataCentre) const
{
    struct Candidate {
        bool isFailing;
        std::uint64_t hash;
        std::string name;
    };
    std::vector<Candidate> candidates;
    const auto add = [&](const DigestEntry &entry) {
        const std::uint64_t hash = hashWords(hashText("store-reader"), hashText(entry.instance));
        candidates.push_back({entry.isPlatformFailing, hash, entry.instance});
    };
    if (isLocalDataCentre(dataCentre)) {
        add(m_members.self());
    }
    for (const auto &[name, member] : m_members.members()) {
        const bool isCandidate = member.hasBeenHeard && member.health != MemberHealth::Dead
            && member.known.phase != MemberPhase::Leaving && member.known.dataCentre == dataCentre;
        if (isCandidate) {
            add(member.known);
        }
    }
    std::sort(candidates.begin(), candidates.end(), [](const Candidate &left, const Candidate &right) {
        return std::tie(left.isFailing, left.hash) < std::tie(right.isFailing, right.hash);
    });
    std::vector<std::string> order;
    order.reserve(candidates.size());
    for (const Candidate &candidate : candidates) {
        order.push_back(candidate.name);
    }
    return order;
}

const std::vector<std::string> &FleetControl::readerOrder(const std::string &dataCentre) const
{
    if (const std::uint64_t version = m_members.membershipVersion(); version != m_readerOrdersVersion) {
        m_readerOrdersVersion = version;
        m_readerOrders.clear();
    }
    const auto [position, isNew] = m_readerOrders.try_emplace(dataCentre);
    if (isNew) {
        position->second = computeReaderOrder(dataCentre);
    }
    return position->second;
}

/// Returns the instance from which this one fetches; empty for the first reader and the next FetchFanOut
/// instances, which fetch from any instance that has something newer.
std::string FleetControl::parent() const
{
    const std::size_t rank = readerView().rank;
    return rank <= FetchFanOut ? std::string() : readerOrder(m_settings.dataCentre)[(rank - 1) / FetchFanOut];
}

/// Returns the instances that wait for this one before they fetch.
std::vector<Endpoint> FleetControl::children() const
{
    const std::vector<std::string> &order = readerOrder(m_settings.dataCentre);
    const std::size_t first = readerView().rank * FetchFanOut + 1;
    std::vector<Endpoint> found;
    for (std::size_t rank = first; rank < std::min(first + FetchFanOut, order.size()); ++rank) {
        if (rank > FetchFanOut) {
            found.push_back(m_members.members().at(order[rank]).peerControl);
        }
    }
    return found;
}

ReaderView FleetControl::readerView() const
{
    const std::vector<std::string> &order = readerOrder(m_settings.dataCentre);
    ReaderView view;
    view.rank = static_cast<std::size_t>(std::find(order.begin(), order.end(), m_name) - order.begin());
    view.members = order.size();
    view.fleet = m_members.members().size() + 1;
    view.isLoaded = m_isLoaded;
    view.currentAt = std::min(m_engine.currentAt(), m_evacuationsCurrentAt);
    view.otherReaderAt = m_otherReaderAt;
    return view;
}

/// Returns the members of the own data centre and, if wanted, the first readers of the others.
std::vector<Endpoint> FleetControl::receivers(bool withOtherDataCentres) const
{
    std::vector<Endpoint> found;
    std::set<std::string> otherDataCentres;
    for (const auto &[name, member] : m_members.members()) {
        if (!member.hasBeenHeard || member.health == MemberHealth::Dead) {
            continue;
        }
        if (isLocalDataCentre(member.known.dataCentre)) {
            found.push_back(member.peerControl);
        } else {
            otherDataCentres.insert(member.known.dataCentre);
        }
    }
    if (!withOtherDataCentres) {
        return found;
    }
    for (const std::string &dataCentre : otherDataCentres) {
        const std::vector<std::string> &readers = readerOrder(dataCentre);
        for (std::size_t rank = 0; rank < std::min(readers.size(), NotifiedReaders); ++rank) {
            found.push_back(m_members.members().at(readers[rank]).peerControl);
        }
    }
    return found;
}

} // namespace jasminequay
