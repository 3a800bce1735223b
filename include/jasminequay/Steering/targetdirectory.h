// The targets that an instance knows: those that are published, and those that are gone but may have flows.
#pragma once

#include "jasminequay/Steering/directoryupdate.h"
#include "jasminequay/Steering/targetevidence.h"
#include "jasminequay/Steering/targetpace.h"
#include "jasminequay/Steering/targetrecord.h"

#include <algorithm>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace jasminequay
{

/// How a known target stands in what is published.
enum class TargetPresence : std::uint8_t {
    Listed,
    Lapsed, ///< Its entry is missing, but it may come back: the store may have lost touch with it.
    Gone, ///< It ended. Kept to tell its flows so.
};

std::string_view targetPresenceName(TargetPresence presence);

/// A target with what this instance knows of it.
struct KnownTarget {
    TargetRecord record;
    std::uint64_t key = 0;
    TargetPresence presence = TargetPresence::Listed;
    TimePoint presenceSince; ///< When the presence last changed.
    TimePoint drainingSince; ///< When it was first seen draining, if it is.
    TimePoint warmAt; ///< When it stops being slow after its start.
    TargetEvidence evidence;
    TargetPace pace;
    std::uint32_t openFlows = 0; ///< The flows at it that this instance has seen lately.
};

/// The times of the directory.
struct DirectoryTiming {
    /// How long a missing entry may come back: the two seconds after an outage of the store, and some delay.
    Duration lapseGrace = std::chrono::milliseconds(2300);
    /// How long an ended target is remembered: the longest life of a flow.
    Duration tombstoneLifetime = std::chrono::seconds(60);
};

/// Indexes targets by token, service and id. Older entries never replace newer ones.
class TargetDirectory
{
public:
    explicit TargetDirectory(DirectoryTiming timing = {});

    /// Takes a published entry.
    void put(const TargetRecord &record, TimePoint now);

    /// Takes the removal of an entry by the change `revision`.
    void remove(const std::string &name, std::uint64_t revision, TimePoint now);

    /// Takes all published entries as they were at `revision`: entries that are not among them are removed.
    void replaceAll(const std::vector<TargetRecord> &records, std::uint64_t revision, TimePoint now);

    /// Takes a target that a peer remembers as ended, unless it is known here.
    void addTombstone(const TargetRecord &record, TimePoint now);

    /// Notes that another process answers at the address of a target: it has ended.
    void noteReplaced(std::uint64_t key, TimePoint now);

    /// Ends the grace of missing entries and forgets targets that ended long ago. `forget` is called with the
    /// key of each that is forgotten.
    void expire(TimePoint now, const std::function<void(std::uint64_t)> &forget);

    /// Returns the only target with a token; null if none or more than one has it.
    [[nodiscard]] KnownTarget *withToken(SteeringToken token);

    /// Returns the target with a key; null if it is unknown.
    [[nodiscard]] KnownTarget *find(std::uint64_t key);

    /// Returns a token of a target that no other known target shares; NoToken if all are shared. `flowHash`
    /// selects among them.
    [[nodiscard]] SteeringToken tokenFor(const KnownTarget &target, std::uint64_t flowHash);

    /// Returns the targets of a service that have not ended.
    [[nodiscard]] const std::vector<KnownTarget *> &ofService(const std::string &service);

    /// Returns all known targets by key.
    [[nodiscard]] const std::map<std::uint64_t, KnownTarget> &targets() const
    {
        return m_targets;
    }
    [[nodiscard]] std::map<std::uint64_t, KnownTarget> &targets()
    {
        return m_targets;
    }

    /// Notes that something was seen that speaks against a target.
    void watch(const KnownTarget &target)
    {
        m_watched.insert(target.key);
    }

    /// Returns the keys of the targets that are not listed, or that something was seen of lately: those that
    /// have to be looked at again and again. They are few, however many targets there are.
    [[nodiscard]] const std::set<std::uint64_t> &watched() const
    {
        return m_watched;
    }

    /// Returns the removals of entries since a revision.
    [[nodiscard]] std::vector<TargetRemoval> removalsAfter(std::uint64_t revision) const;

    /// Returns the revision after which every removal is remembered: whoever knows less has to be told all
    /// that is listed, as what it lacks cannot be named.
    [[nodiscard]] std::uint64_t removalsKnownSince() const
    {
        return m_removalsKnownSince;
    }

    /// Notes that nothing is known of removals up to a revision.
    void noteRemovalsUnknown(std::uint64_t revision)
    {
        m_removalsKnownSince = std::max(m_removalsKnownSince, revision);
    }

    /// Returns the number of targets that are published now.
    [[nodiscard]] std::size_t listedCount() const;

private:
    void setPresence(KnownTarget &target, TargetPresence presence, TimePoint now);
    void end(KnownTarget &target, TimePoint now);
    void forgetTarget(std::map<std::uint64_t, KnownTarget>::iterator position);
    void endOthersAt(Endpoint address, std::uint64_t key, TimePoint now);
    void refreshIndexes();
    [[nodiscard]] bool isShared(SteeringToken token) const;

    DirectoryTiming m_timing;
    std::map<std::uint64_t, KnownTarget> m_targets;
    std::set<std::uint64_t> m_watched;
    std::unordered_map<std::string, std::uint64_t> m_byName; ///< The newest start of each id.
    std::unordered_map<std::string, std::uint64_t> m_removals; ///< The revision of each removal.
    std::uint64_t m_removalsKnownSince = 0;
    std::unordered_map<std::uint64_t, std::uint64_t> m_byAddress; ///< The newest target at each address.
    std::vector<std::pair<SteeringToken, std::uint64_t>> m_tokens; ///< Sorted, with the key of each target.
    std::unordered_map<std::string, std::vector<KnownTarget *>> m_byService;
    bool m_areIndexesStale = false; ///< Whether tokens and services must be indexed anew before a look-up.
};

} // namespace jasminequay
