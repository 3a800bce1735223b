// A target and a caller that follow the protocol of opening packets.
#pragma once

#include "jasminequay/Steering/steeringtoken.h"

#include <cstdint>
#include <optional>

namespace jasminequay::steering
{

/// A target that follows the protocol: it answers every opening packet. The flow opens when the caller
/// acknowledges the target's own sequence number. Packets of flows that are not open are answered with a
/// reset.
struct ModelTarget {
    std::uint32_t number = 0; ///< Its sequence number in the answer to an opening packet.
    bool isOpen = false;
    unsigned runs = 0;
    unsigned resets = 0;

    void onData(std::uint32_t acknowledged)
    {
        isOpen = isOpen || acknowledged == number + 1;
        runs += isOpen ? 1 : 0;
        resets += isOpen ? 0 : 1;
    }
};

/// A caller that acknowledges the first answer that it receives, and sends back the last token.
struct ModelCaller {
    SteeringToken token = NoToken;
    std::optional<std::uint32_t> answered;

    void onAnswer(std::uint32_t number, SteeringToken carried)
    {
        token = carried;
        if (!answered) {
            answered = number;
        }
    }
};

} // namespace jasminequay::steering
