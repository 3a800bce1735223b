#include "soakinstance.h"

#include <csignal>
#include <cstdio>
#include <fstream>

namespace jasminequay::soak
{

/// The time between SIGTERM and SIGKILL, in seconds.
constexpr int GraceSeconds = 6;
constexpr Duration RestartDelay = std::chrono::milliseconds(200);

SoakInstance::SoakInstance(InstancePlace place)
    : m_place(std::move(place))
{
}

std::string SoakInstance::path(const std::string &ending) const
{
    return m_place.folder + "/" + m_place.name + ending;
}

/// Writes a new file and moves it over the old one, as operators' tools do.
void SoakInstance::writeSettings(bool isFirstStart) const
{
    const auto clock = std::chrono::duration_cast<std::chrono::milliseconds>(m_clockOffset).count();
    std::ofstream file(path(".new"));
    file << "instance: \"" << m_place.name << "\"\ndata-centre: \"" << m_place.dataCentre << "\"\npackets: \""
         << format(m_place.packets) << "\"\nreadiness: \"" << format(m_place.readiness) << "\"\ncontrol: \""
         << format(m_place.control) << "\"\nbind-address: \"" << format(m_place.packets.address)
         << "\"\nstore: \"" << format(m_place.store) << "\"\npeer-port: " << m_place.peerPort << "\nseeds:\n";
    for (const Endpoint seed : m_place.seeds) {
        file << "  - \"" << format(seed) << "\"\n";
    }
    file << "first-start: " << (isFirstStart ? "true" : "false")
         << "\nsettings-bound: \"3s\"\ngrace-period: \"" << GraceSeconds << "s\"\nclock-offset: \"" << clock
         << "ms\"\n";
    file.close();
    std::rename(path(".new").c_str(), path(".yaml").c_str());
}

void SoakInstance::start(bool isFirstStart)
{
    writeSettings(isFirstStart);
    m_process = std::make_unique<Process>(
        std::vector<std::string>{m_place.program, "steer", "--settings", path(".yaml")}, path(".log"));
    m_stage = LifeStage::Running;
    ++m_generation;
}

void SoakInstance::kill(TimePoint restartAt)
{
    if (m_stage != LifeStage::Down) {
        m_process.reset();
        m_stage = LifeStage::Down;
    }
    m_nextAt = restartAt;
}

void SoakInstance::pause(TimePoint until)
{
    if (m_stage == LifeStage::Running) {
        m_process->signal(SIGSTOP);
        m_stage = LifeStage::Paused;
        m_nextAt = until;
    }
}

void SoakInstance::stop(TimePoint now)
{
    if (m_stage == LifeStage::Running) {
        m_process->signal(SIGTERM);
        m_stage = LifeStage::Leaving;
        m_nextAt = now + std::chrono::seconds(GraceSeconds);
    }
}

void SoakInstance::stepClock(Duration offset, bool isSignalled)
{
    m_clockOffset = offset;
    writeSettings(false);
    if (isSignalled && m_stage == LifeStage::Running) {
        m_process->signal(SIGHUP);
    }
}

std::string SoakInstance::tick(TimePoint now)
{
    if (m_stage == LifeStage::Down) {
        if (now >= m_nextAt) {
            start(false);
        }
        return {};
    }
    if (m_stage == LifeStage::Paused) {
        if (now >= m_nextAt) {
            m_process->signal(SIGCONT);
            m_stage = LifeStage::Running;
        }
        return {};
    }
    if (!m_process->hasEnded()) {
        const bool isOverdue = m_stage == LifeStage::Leaving && now >= m_nextAt;
        if (isOverdue) {
            kill(now + RestartDelay);
        }
        return isOverdue ? m_place.name + " outlived its grace period" : std::string();
    }
    const bool isExpected = m_stage == LifeStage::Leaving && m_process->status() == 0;
    const int status = m_process->status();
    m_stage = LifeStage::Down;
    m_nextAt = now + RestartDelay;
    return isExpected ? std::string() : m_place.name + " ended with status " + std::to_string(status);
}

} // namespace jasminequay::soak
