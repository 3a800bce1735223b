// A process that the soak starts, signals by its id, and reaps.
#pragma once

#include "jasminequay/Support/timepoint.h"

#include <string>
#include <vector>

#include <sys/types.h>

namespace jasminequay::soak
{

/// One run of a program.
class Process
{
public:
    /// Starts a program with its output appended to a file. Throws std::system_error if it cannot be started.
    Process(const std::vector<std::string> &words, const std::string &logFile);

    /// Kills and reaps a process that still runs.
    ~Process();
    Process(const Process &) = delete;
    Process &operator=(const Process &) = delete;

    /// Sends a signal, unless the process has ended.
    void signal(int number);

    /// Reaps the process if it has ended; tells whether it has.
    bool hasEnded();

    /// Returns the processor time that the process has used so far; zero if it has ended.
    [[nodiscard]] Duration processorTime() const;

    /// Returns the status with which it ended, as waitpid() gives it.
    [[nodiscard]] int status() const
    {
        return m_status;
    }

private:
    pid_t m_id = -1;
    bool m_hasEnded = false;
    int m_status = 0;
};

} // namespace jasminequay::soak
