// The settings of one instance that steers by token: its addresses, data centre, store, seeds and bounds.
#pragma once

#include "jasminequay/Packet/endpoint.h"
#include "jasminequay/Settings/mistake.h"
#include "jasminequay/Settings/steeringfeatures.h"
#include "jasminequay/Support/timepoint.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace jasminequay
{

/// The settings file of `jasminequay steer`.
struct SteeringInstanceSettings {
    std::string instance;
    std::string dataCentre;
    Endpoint packets; ///< Where callers' packets arrive; resets go to the same port at the caller.
    Endpoint readiness; ///< Where the fabric asks whether the instance would serve.
    Endpoint control; ///< Metrics, and what peers fetch.
    Endpoint store; ///< The operators' store of settings and targets.
    std::uint16_t peerPort = 0; ///< The UDP port of peers' messages, the same at all instances.
    std::vector<Endpoint> seeds; ///< Control addresses of instances to find the others by; any may be down.
    bool isFirstStart = false; ///< Whether the whole fleet starts for the first time.
    Duration settingsBound = std::chrono::seconds(3); ///< How soon a change must be in force everywhere.
    Duration gracePeriod = std::chrono::seconds(6); ///< The time between SIGTERM and SIGKILL.
    Duration flowLifetime = std::chrono::seconds(60); ///< How long a silent flow is remembered.
    std::uint32_t storeReadsPerSecond = 2000; ///< The budget of the whole fleet.
    double coldFactor = 1; ///< The factor in the bound on the new flows of a cold target.
    double coldSlack = 0; ///< The flows per second that this bound has beyond the factor.
    std::uint32_t flowMemory = 65536; ///< The flows that are remembered.
    /// The maximum of early retransmissions as a share of the packets that are covered; 0 is off.
    double secondTryShare = 0;
    std::string logLevel = "info";
    SteeringFeatures features; ///< Decisions that the deployment asks for.
    /// Where peers' messages and control pages arrive, if peers know the instance by a translated address.
    std::optional<Ipv4Address> bindAddress;
    Duration clockOffset = {}; ///< Added to the machine's time of day.

    /// Returns the address at which the instance itself listens for its peers.
    [[nodiscard]] Ipv4Address boundAddress() const
    {
        return bindAddress.value_or(control.address);
    }
};

/// Settings, usable only when there are no mistakes.
struct ParsedSteeringInstanceSettings {
    SteeringInstanceSettings settings;
    Mistakes mistakes;
};

/// Parses and checks the settings file. Any bytes are safe.
ParsedSteeringInstanceSettings parseSteeringInstanceSettings(const std::string &text);

/// Tells whether a text holds settings of an instance that steers by token rather than of one that owns
/// flows.
bool isSteeringInstanceSettings(const std::string &text);

} // namespace jasminequay
