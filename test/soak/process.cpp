#include "process.h"

#include <cerrno>
#include <csignal>
#include <ctime>
#include <system_error>

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

namespace jasminequay::soak
{

Process::Process(const std::vector<std::string> &words, const std::string &logFile)
{
    std::vector<char *> arguments;
    arguments.reserve(words.size() + 1);
    for (const std::string &word : words) {
        arguments.push_back(const_cast<char *>(word.c_str()));
    }
    arguments.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(
        &actions, STDOUT_FILENO, logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    // The soak's sockets are not the program's.
    posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
    const int error = posix_spawn(&m_id, words.front().c_str(), &actions, nullptr, arguments.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (error != 0) {
        throw std::system_error(error, std::generic_category(), words.front());
    }
}

Process::~Process()
{
    if (!hasEnded()) {
        kill(m_id, SIGKILL);
        waitpid(m_id, &m_status, 0);
    }
}

void Process::signal(int number)
{
    if (!hasEnded()) {
        kill(m_id, number);
    }
}

Duration Process::processorTime() const
{
    clockid_t clock{};
    timespec time{};
    if (clock_getcpuclockid(m_id, &clock) != 0 || clock_gettime(clock, &time) != 0) {
        return Duration::zero();
    }
    return std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
}

bool Process::hasEnded()
{
    m_hasEnded = m_hasEnded || waitpid(m_id, &m_status, WNOHANG) == m_id;
    return m_hasEnded;
}

} // namespace jasminequay::soak
