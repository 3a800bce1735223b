// A machine that runs one process of the system, and the platform's readiness check of it.
#pragma once

#include "base.h"

#include <sys/types.h>

#include <atomic>
#include <string>
#include <vector>

namespace review
{

/// What the platform fills into the template of the deploy file.
struct MachineSettings {
    std::string name;
    std::string zone;
    Address data;
    Address ready;
    Address control;
    Address store;
    std::vector<Address> seeds;
    std::uint16_t peerPort = 0;
};

class Machine
{
public:
    Machine(MachineSettings settings, std::string program, std::string folder, Record &record);

    /// Starts the process. `isFirst` is set when the whole system starts for the first time.
    [[nodiscard]] bool start(bool isFirst);

    /// Starts the thread that asks twice a second whether the process is ready.
    void watchReadiness();

    /// Kills the process for good.
    void end();

    /// Stops the process with SIGSTOP for some seconds.
    void freeze(double seconds);

    /// Sends SIGTERM; the process is killed after the grace period and started again when it has ended.
    void stopInTurn();

    /// Starts or kills the process when that is due. Returns false if the process ended by itself.
    bool tick();

    [[nodiscard]] bool isInRotation() const
    {
        return m_misses < 2;
    }
    [[nodiscard]] bool isRunning() const
    {
        return m_pid > 0 && !m_isStopping;
    }
    /// Returns when the process last started, was stopped or ended.
    [[nodiscard]] double disturbedAt() const
    {
        return m_disturbedAt;
    }
    [[nodiscard]] const MachineSettings &settings() const
    {
        return m_settings;
    }

private:
    [[nodiscard]] bool askReadiness() const;

    MachineSettings m_settings;
    std::string m_program;
    std::string m_folder;
    Record &m_record;
    pid_t m_pid = 0;
    bool m_isStopping = false;
    double m_stoppedAt = 0;
    double m_wakesAt = 0;
    double m_endedAt = 0;
    double m_disturbedAt = 0;
    std::atomic<unsigned> m_misses = 2;
};

} // namespace review
