// The fabric: hands each packet of callers and targets to an instance picked at random, and brings back what
// they send.
#pragma once

#include "listener.h"

#include <cstdint>
#include <functional>
#include <random>
#include <string>
#include <vector>

namespace jasminequay::standin
{

/// Where an instance takes packets.
struct FabricInstance {
    Endpoint callerSide;
    Endpoint targetSide;
};

/// Sprays packets over the instances that stand in a file, which it reads again as it changes.
class FabricLoop
{
public:
    using Deliver = std::function<void(const PacketView &)>;

    FabricLoop(boost::asio::io_context &context, Endpoint callerSide, Endpoint targetSide, std::string file,
        std::uint64_t seed);

    /// Sets who takes the packets that instances send to callers and to targets.
    void deliverTo(Deliver toCaller, Deliver toTarget);

    /// Sends a packet of a caller to some instance.
    void fromCaller(const Bytes &packet);

    /// Sends a packet of a target to some instance.
    void fromTarget(const Bytes &packet);

    /// Reads the file again.
    void reload();

    [[nodiscard]] std::uint64_t badChecksums() const
    {
        return m_badChecksums;
    }

private:
    void take(std::span<std::uint8_t> bytes, const Deliver &deliver);
    const FabricInstance *pick();

    std::string m_file;
    std::vector<FabricInstance> m_instances;
    std::mt19937_64 m_random;
    Deliver m_toCaller;
    Deliver m_toTarget;
    std::uint64_t m_badChecksums = 0;
    Listener m_callerListener;
    Listener m_targetListener;
};

} // namespace jasminequay::standin
