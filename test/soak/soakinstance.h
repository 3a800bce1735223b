// One instance of the real program, as a process, with its settings file.
#pragma once

#include "process.h"

#include "jasminequay/Packet/endpoint.h"
#include "jasminequay/Support/timepoint.h"

#include <memory>
#include <string>
#include <vector>

namespace jasminequay::soak
{

/// Where an instance is and what it is told.
struct InstancePlace {
    std::string program;
    std::string folder; ///< Of its settings and its log.
    std::string name;
    std::string dataCentre;
    Endpoint packets;
    Endpoint readiness;
    Endpoint control; ///< As its peers know it.
    Endpoint store;
    std::vector<Endpoint> seeds;
    std::uint16_t peerPort = 0;
};

/// The phases of a process's life.
enum class LifeStage : std::uint8_t { Down, Running, Paused, Leaving };

/// Starts and signals the process.
class SoakInstance
{
public:
    explicit SoakInstance(InstancePlace place);

    /// Starts the process.
    void start(bool isFirstStart);

    /// Kills it; it is started again later.
    void kill(TimePoint restartAt);

    /// Stops it for a while.
    void pause(TimePoint until);

    /// Asks it to end; it is started again once it has.
    void stop(TimePoint now);

    /// Writes its settings with another clock, and tells it, or leaves it to find out.
    void stepClock(Duration offset, bool isSignalled);

    /// Restarts, wakes and reaps. Returns what went wrong, or nothing.
    std::string tick(TimePoint now);

    /// Returns the processor time of its present process.
    [[nodiscard]] Duration processorTime() const
    {
        return m_process->processorTime();
    }

    [[nodiscard]] LifeStage stage() const
    {
        return m_stage;
    }
    [[nodiscard]] unsigned generation() const
    {
        return m_generation;
    }
    [[nodiscard]] const InstancePlace &place() const
    {
        return m_place;
    }

private:
    void writeSettings(bool isFirstStart) const;
    [[nodiscard]] std::string path(const std::string &ending) const;

    InstancePlace m_place;
    std::unique_ptr<Process> m_process;
    LifeStage m_stage = LifeStage::Down;
    TimePoint m_nextAt; ///< When it is started or woken, or must have ended.
    Duration m_clockOffset = {};
    unsigned m_generation = 0; ///< Starts so far.
};

} // namespace jasminequay::soak
