#include "machine.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <thread>

namespace review
{

constexpr double GraceSeconds = 6;
constexpr double RestartDelay = 0.3;
constexpr auto CheckInterval = std::chrono::milliseconds(500);

Machine::Machine(MachineSettings settings, std::string program, std::string folder, Record &record)
    : m_settings(std::move(settings))
    , m_program(std::move(program))
    , m_folder(std::move(folder))
    , m_record(record)
{
}

void Machine::end()
{
    if (m_pid > 0) {
        kill(m_pid, SIGKILL);
        waitpid(m_pid, nullptr, 0);
    }
}

bool Machine::start(bool isFirst)
{
    const std::string file = m_folder + "/" + m_settings.name + ".yaml";
    std::ofstream out(file);
    out << "instance: \"" << m_settings.name << "\"\ndata-centre: \"" << m_settings.zone << "\"\npackets: \""
        << text(m_settings.data) << "\"\nreadiness: \"" << text(m_settings.ready) << "\"\ncontrol: \""
        << text(m_settings.control) << "\"\nstore: \"" << text(m_settings.store)
        << "\"\npeer-port: " << m_settings.peerPort << "\nseeds:\n";
    for (const Address seed : m_settings.seeds) {
        out << "  - \"" << text(seed) << "\"\n";
    }
    out << (isFirst ? "first-start: true\n" : "")
        << "settings-bound: \"3000ms\"\ngrace-period: \"6s\"\nflow-lifetime: \"60s\"\n"
        << "store-reads-per-second: \"2000\"\n";
    out.close();
    const std::string log = m_folder + "/" + m_settings.name + ".log";
    m_pid = fork();
    if (m_pid == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int descriptor = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
        dup2(descriptor, STDOUT_FILENO);
        dup2(descriptor, STDERR_FILENO);
        setenv("JASMINEQUAY_CONFIG", file.c_str(), 1);
        execl(m_program.c_str(), m_program.c_str(), "steer", nullptr);
        _exit(127);
    }
    m_isStopping = false;
    m_endedAt = 0;
    m_disturbedAt = now();
    m_record.line("platform starts " + m_settings.name);
    return m_pid > 0;
}

bool Machine::askReadiness() const
{
    const int connection = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const timeval limit{0, 400'000};
    setsockopt(connection, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    setsockopt(connection, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
    const sockaddr_in to = toSocketAddress(m_settings.ready);
    const std::string request = "GET /v1/readyz HTTP/1.1\r\nHost: " + text(m_settings.ready) + "\r\n\r\n";
    char answer[256];
    const bool isReady = connect(connection, reinterpret_cast<const sockaddr *>(&to), sizeof to) == 0
        && send(connection, request.data(), request.size(), MSG_NOSIGNAL) > 0
        && recv(connection, answer, sizeof answer, 0) > 12 && std::string(answer, 12) == "HTTP/1.1 200";
    close(connection);
    return isReady;
}

void Machine::watchReadiness()
{
    std::thread([this]() {
        while (true) {
            const bool wasIn = isInRotation();
            m_misses = askReadiness() ? 0 : m_misses + 1;
            if (wasIn != isInRotation()) {
                m_record.line("router " + m_settings.name + (wasIn ? " leaves" : " joins") + " the rotation");
            }
            std::this_thread::sleep_for(CheckInterval);
        }
    }).detach();
}

void Machine::freeze(double seconds)
{
    if (m_pid > 0) {
        kill(m_pid, SIGSTOP);
        m_record.line(m_settings.name + " is frozen");
        m_wakesAt = now() + seconds;
    }
}

void Machine::stopInTurn()
{
    if (m_pid > 0) {
        m_record.line("platform sends SIGTERM to " + m_settings.name);
        kill(m_pid, SIGTERM);
        m_isStopping = true;
        m_stoppedAt = m_disturbedAt = now();
    }
}

bool Machine::tick()
{
    if (m_pid <= 0) {
        if (now() - m_endedAt >= RestartDelay) {
            return start(false);
        }
        return true;
    }
    if (m_wakesAt > 0) {
        m_disturbedAt = now();
    }
    if (m_wakesAt > 0 && now() >= m_wakesAt) {
        kill(m_pid, SIGCONT);
        m_record.line(m_settings.name + " wakes");
        m_wakesAt = 0;
    }
    if (m_isStopping && now() - m_stoppedAt >= GraceSeconds) {
        m_record.line("platform kills " + m_settings.name);
        kill(m_pid, SIGKILL);
    }
    int status = 0;
    if (waitpid(m_pid, &status, WNOHANG) != m_pid) {
        return true;
    }
    m_record.line(m_settings.name + " has ended with status " + std::to_string(status));
    m_pid = 0;
    m_endedAt = m_disturbedAt = now();
    return m_isStopping;
}

} // namespace review
