// Selects the target of a new flow.
#pragma once

#include "jasminequay/Steering/expectedtime.h"
#include "jasminequay/Steering/outlierejection.h"
#include "jasminequay/Steering/targetdirectory.h"

#include <cstdint>
#include <string>
#include <vector>

namespace jasminequay
{

/// The parameters of a choice.
struct ChoiceRequest {
    std::uint64_t flowHash = 0;
    std::uint64_t avoidedTarget = 0; ///< The key of a target that did not answer; zero if there is none.
    std::string dataCentre; ///< The data centre of this instance.
    std::vector<std::string>
        fullDataCentres; ///< Data centres whose targets are overloaded; they are left out.
    /// How long an opening packet may go unanswered before its target gets no more of them.
    Duration openingPatience = std::chrono::milliseconds(100);
    std::vector<std::string> silentDataCentres; ///< Data centres that may be out of reach.
    std::vector<std::string> evacuatedDataCentres = {}; ///< Data centres whose targets get no new flows.
    const OutlierEjection *outliers = nullptr; ///< The ejected targets; null if none are ejected.
    /// Chooses by expected time instead of flows per slot; null if not.
    ExpectedTimes *expectedTimes = nullptr;
    Endpoint route{}; ///< The address of the flow's route.
    std::size_t allInstances = 1; ///< The number of instances in all data centres.
    bool isRepeatable = false; ///< Whether the requests of the flow's route may be repeated.
    /// The keys of cold targets that may get no flow now, in ascending order; they are left out.
    std::vector<std::uint64_t> withoutRoom = {};
    bool areColdLimited = false; ///< Whether the flows of cold targets are limited.

    /// Returns whether a target leaves opening packets unanswered, or may be out of reach.
    [[nodiscard]] bool isUnanswering(const KnownTarget &target, TimePoint now) const;

    /// Returns whether a target may not be chosen because it or its data centre is full, or because
    /// its data centre is evacuated.
    [[nodiscard]] bool isLeftOut(const KnownTarget &target) const;
};

/// Chooses the target with the lowest expected time, or the fewest flows per slot, weighted by response
/// times, among those that accept new flows; null if there is none. Targets of evacuated data centres get
/// none. Targets in the instance's data centre are preferred unless they are much more loaded. Targets that
/// leave an opening packet unanswered, and those of silent data centres, come after all others without
/// evidence against them. Suspect targets are avoided unless they are the majority of the service; ejected
/// ones come after them unless they are over 40% of the usable ones. Ties are broken by rendezvous hashing.
KnownTarget *chooseTarget(
    const std::vector<KnownTarget *> &targets, const ChoiceRequest &request, TimePoint now);

} // namespace jasminequay
