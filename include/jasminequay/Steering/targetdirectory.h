// The targets that an instance knows: published ones, and ended ones that may still have flows.
#pragma once

#include "jasminequay/Steering/directoryupdate.h"
#include "jasminequay/Steering/entrytable.h"
#include "jasminequay/Steering/evacuationtable.h"
#include "jasminequay/Steering/knowntarget.h"
#include "jasminequay/Steering/openingwatch.h"

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace jasminequay
{

/// The time limits of the directory.
struct DirectoryTiming {
    /// How long a missing entry may take to return: the two seconds after an outage of the store, and some
    /// delay.
    Duration lapseGrace = std::chrono::milliseconds(2300);
    /// How long an entry that contradicts a target must stand before it counts. A target that has ended may
    /// have several writes that the store does seconds late; the last of them is removed after three
    /// heartbeat intervals.
    Duration rivalGrace = std::chrono::seconds(10);
    /// If the store has shown no sign of life for longer, its observation was interrupted. What has to be
    /// missing or to stand for some time has to be so without an interruption.
    Duration observationGap = std::chrono::milliseconds(1500);
    /// How long an ended target is kept: the maximum lifetime of a flow.
    Duration tombstoneLifetime = std::chrono::seconds(60);
};

/// Derives the targets from the entries of the store, and indexes them by token, service and id. What an
/// instance knows follows from the entries that stand and from the starts it has seen, not from the order in
/// which it heard of them.
class TargetDirectory
{
public:
    explicit TargetDirectory(DirectoryTiming timing = {});

    /// Sets the services that the configuration names. Targets that are already assigned remain so.
    void setServices(std::set<std::string, std::less<>> services, TimePoint now);

    /// Adds or updates a published entry. An entry of an earlier start than the one that is known under its
    /// name takes effect only if it stands for longer than a late write can. An entry of a new era that is
    /// older than what is known of its target takes effect after the grace period only, unless it is written
    /// again. Of several targets at one address, the one that started last gets the new flows; no target is
    /// ended by another one's entry. Of several entries with the identity of one target, only its own counts.
    /// An entry of a service that is not named does not affect other targets, except that a target whose own
    /// entry it replaces is no longer listed.
    void put(const TargetRecord &record, TimePoint now);

    /// Records the removal of an entry at store revision `revision`.
    void remove(const std::string &name, std::uint64_t revision, TimePoint now);

    /// Replaces the published entries by the complete list at `revision`: entries that it lacks are removed.
    void replaceAll(const std::vector<TargetRecord> &records, std::uint64_t revision, TimePoint now);

    /// Adds an ended target that a peer still keeps, unless it is known here.
    void addTombstone(const TargetRecord &record, TimePoint now);

    /// Marks a target as cold for some time, as it has had no flows.
    void markCold(std::uint64_t key, Duration duration, TimePoint now);

    /// Marks a target as ended because another process answers at its address. It is listed again if its
    /// entry is written anew, or stands for longer than that of a silent target can.
    void markReplaced(std::uint64_t key, TimePoint now);

    /// Records that the store was reached at a time.
    void observe(TimePoint at);

    /// Returns when the store was last reached. Unlike a proof that all changes are known, any answer counts.
    [[nodiscard]] TimePoint observedAt() const
    {
        return m_observedAt;
    }

    /// Marks lapsed targets as ended after the grace period, applies held entries that have stood for long
    /// enough, and erases targets whose tombstone lifetime is over. Time counts only while the store is
    /// observed: `provedAt` is the latest time up to which all changes are known, by default now. `forget` is
    /// called with the key of each erased target.
    void expire(TimePoint now, const std::function<void(std::uint64_t)> &forget,
        std::optional<TimePoint> provedAt = std::nullopt);

    /// Returns the target with a token; null if no target or more than one has it.
    [[nodiscard]] KnownTarget *findByToken(SteeringToken token);

    /// Returns the target with a key; null if it is unknown.
    [[nodiscard]] KnownTarget *find(std::uint64_t key);

    /// Returns a token of a target that no other known target shares; NoToken if all are shared. `flowHash`
    /// selects the one to try first.
    [[nodiscard]] SteeringToken tokenFor(const KnownTarget &target, std::uint64_t flowHash);

    /// Returns the targets of a service that have not ended and are not displaced.
    [[nodiscard]] const std::vector<KnownTarget *> &targetsOfService(const std::string &service);

    /// Returns all known targets by key.
    [[nodiscard]] const std::map<std::uint64_t, KnownTarget> &targets() const
    {
        return m_targets;
    }
    [[nodiscard]] std::map<std::uint64_t, KnownTarget> &targets()
    {
        return m_targets;
    }

    /// Adds a target to watched() because of evidence against it.
    void watch(const KnownTarget &target)
    {
        m_watched.insert(target.key);
    }

    /// Returns the keys of the targets that must be checked periodically: those that are not listed, and
    /// those with recent evidence against them. They are few even where there are many targets.
    [[nodiscard]] const std::set<std::uint64_t> &watched() const
    {
        return m_watched;
    }

    /// Returns what is known of the store: the entries and removals by name.
    [[nodiscard]] const EntryTable &entries() const
    {
        return m_entries;
    }

    /// Returns the records after a revision for a peer that lacks them: the starts that are believed although
    /// their entry does not stand, and then the entries that stand. Their slow starts are those that are
    /// left.
    [[nodiscard]] std::vector<TargetRecord> recordsAfter(StoreRevision revision, TimePoint now) const;

    /// Records that removals up to a revision are not known.
    void markRemovalsUnknownUpTo(StoreRevision revision)
    {
        m_entries.markRemovalsUnknownUpTo(revision);
    }

    /// Returns the number of entries that do not count yet because they contradict what is known.
    [[nodiscard]] std::size_t heldCount() const
    {
        return m_held.size();
    }

    /// Returns the evacuations of data centres.
    [[nodiscard]] EvacuationTable &evacuations()
    {
        return m_evacuations;
    }
    [[nodiscard]] const EvacuationTable &evacuations() const
    {
        return m_evacuations;
    }

    /// Returns the watch over the openings of all targets in a data centre.
    [[nodiscard]] OpeningWatch &openingsOf(const std::string &dataCentre)
    {
        return m_openings[dataCentre];
    }

    /// Returns the data centres other than `own` that may be out of reach: an opening packet waits for the
    /// first answer from there, or has waited for longer than `patience`.
    [[nodiscard]] std::vector<std::string> silentDataCentres(
        const std::string &own, Duration patience, TimePoint now) const;

    /// Returns the number of targets that are published now.
    [[nodiscard]] std::size_t listedCount() const;

    /// Returns the number of published entries whose service no configuration in force has named.
    [[nodiscard]] std::size_t unassignedCount() const;

    /// Returns how many entries were ignored because they claim the identity of a target that is published
    /// under another name.
    [[nodiscard]] std::uint64_t conflictingEntries() const
    {
        return m_conflictingEntries;
    }

private:
    /// The start of a target that the entries under one name stand for.
    struct NamedStart {
        TargetRecord record; ///< Its latest entry.
        /// Whether that entry stands in the store, or one that contradicts it and does not count yet.
        bool isStanding = true;
    };

    /// An entry that contradicts what is known of its target, and does not count yet.
    struct HeldRecord {
        TargetRecord record;
        TimePoint since; ///< When its start was first held back.
        Duration grace; ///< How long it must stand before it counts.
    };

    [[nodiscard]] bool isAssigned(const std::string &service) const;
    [[nodiscard]] const NamedStart *startNamed(const std::string &name) const;
    [[nodiscard]] const NamedStart *ownerOf(std::uint64_t key) const;
    [[nodiscard]] bool isOfSameTarget(const TargetRecord &left, const TargetRecord &right) const;
    [[nodiscard]] bool startsLater(const TargetRecord &record, const TargetRecord &other) const;
    [[nodiscard]] bool isOfEarlierStart(const TargetRecord &record) const;
    [[nodiscard]] bool isFromOlderCopy(const TargetRecord &record) const;
    [[nodiscard]] Duration holdTime(const TargetRecord &record, TimePoint now) const;
    void hold(const TargetRecord &record, Duration grace, TimePoint now);
    void raiseEra(const TargetRecord &record, TimePoint now);
    void applyHeldRecords(TimePoint now);
    [[nodiscard]] Duration observedSince(TimePoint since) const;
    void considerServices(const std::set<std::string, std::less<>> &added, TimePoint now);
    void consider(const TargetRecord &record, TimePoint now);
    void considerReplaced(const TargetRecord &record, TimePoint now);
    void accept(const TargetRecord &record, bool isStanding, TimePoint now);
    void markStanding(const std::string &name, TimePoint now);
    void markMissing(const std::string &name, TimePoint now);
    void drop(const std::string &name, TargetEnd end, TimePoint now);
    void releaseClaim(std::uint64_t key, const std::string &name);
    void refreshTarget(std::uint64_t key, TargetEnd end, TimePoint now);
    void setRecord(KnownTarget &target, const TargetRecord &record, bool isNew, TimePoint now);
    void setPresence(KnownTarget &target, TargetPresence presence, TimePoint now);
    void markGone(KnownTarget &target, TargetEnd end, TimePoint now);
    void eraseTarget(std::map<std::uint64_t, KnownTarget>::iterator position);
    void lapse(KnownTarget &target, TimePoint now);
    [[nodiscard]] bool isPublished(const KnownTarget &target) const;
    void claimAddress(const KnownTarget &target);
    void releaseAddress(const KnownTarget &target);
    void assignAddress(Endpoint address);
    void refreshIndexes();
    [[nodiscard]] bool isShared(SteeringToken token) const;

    DirectoryTiming m_timing;
    std::set<std::string, std::less<>> m_services; ///< Those that the configuration names.
    std::set<std::string, std::less<>> m_knownServices; ///< Those that a configuration in force has named.
    EntryTable m_entries;
    std::map<std::string, NamedStart> m_starts; ///< By the name of their entries.
    std::unordered_map<std::uint64_t, std::vector<std::string>> m_claims; ///< The names in m_starts by key.
    std::map<std::uint64_t, KnownTarget> m_targets;
    std::uint64_t m_conflictingEntries = 0;
    std::set<std::uint64_t> m_watched;
    std::unordered_map<std::string, HeldRecord> m_held; ///< By name.
    std::uint32_t m_era = 0; ///< The highest era of an entry.
    TimePoint m_eraSince; ///< When the first entry of this era came.
    TimePoint m_provedAt; ///< The latest time up to which all changes are known.
    TimePoint m_observedAt; ///< When the store was last reached.
    TimePoint m_observedSince; ///< Since when the store has been reached without an interruption.
    /// The keys of all targets that have published each address.
    std::unordered_map<std::uint64_t, std::vector<std::uint64_t>> m_byAddress;
    EvacuationTable m_evacuations;
    std::unordered_map<std::string, OpeningWatch> m_openings; ///< By data centre.
    std::vector<std::pair<SteeringToken, std::uint64_t>> m_tokens; ///< Sorted, with the key of each target.
    std::unordered_map<std::string, std::vector<KnownTarget *>> m_byService;
    bool m_areIndexesStale = false; ///< Whether m_tokens and m_byService must be rebuilt before a look-up.
};

} // namespace jasminequay
