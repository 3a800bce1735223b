// The settings of one instance: its addresses, data centre, platform, keys and limits.
#pragma once

#include "jasminequay/Packet/endpoint.h"
#include "jasminequay/Settings/mistake.h"
#include "jasminequay/Support/timepoint.h"

#include <cstdint>
#include <string>
#include <vector>

namespace jasminequay
{

/// A peer that may connect, known by its public key. During a key rotation an instance stands here once for
/// each key.
struct PeerKey {
    std::string instance;
    std::string publicKey; ///< CURVE, 40 characters of Z85.
    Endpoint peerData; ///< Where it is, for a start while the platform is down; port zero if not given.
    Endpoint peerControl;
};

/// The settings file of `jasminequay serve`.
struct InstanceSettings {
    std::string instance;
    std::string dataCentre;
    Endpoint callerSide; ///< Where the fabric sends packets of callers.
    Endpoint targetSide; ///< Where the fabric sends packets of targets.
    Endpoint peerData; ///< Where peers forward packets to.
    Endpoint peerControl; ///< Where peers connect for control messages.
    Endpoint callerFabric; ///< The gateway towards callers.
    Endpoint targetFabric; ///< The gateway towards targets.
    Endpoint platform;
    Endpoint operators; ///< Metrics and health over HTTP.
    std::uint32_t trafficThreads = 1;
    std::uint32_t flowTableSize = 1 << 16; ///< Flows held by each traffic thread.
    Duration heartbeatInterval = std::chrono::milliseconds(250);
    Duration lease = std::chrono::seconds(2);
    std::uint32_t controlBudget = 4096; ///< Bytes a second for control messages.
    std::string publicKey;
    std::string secretKey;
    std::string dataKey; ///< Authenticates forwarded packets: 64 hexadecimal digits.
    std::vector<PeerKey> peers;
    std::string logLevel = "info";
    std::string logFile; ///< Empty means standard error.
    std::string recordFile;
};

/// Instance settings, usable only when there are no mistakes.
struct ParsedInstanceSettings {
    InstanceSettings settings;
    Mistakes mistakes;
};

/// Parses and checks the settings file of an instance. Any bytes are safe.
ParsedInstanceSettings parseInstanceSettings(const std::string &text);

} // namespace jasminequay
