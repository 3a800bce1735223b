// Watches the platform for settings and the list of instances.
#include "nodecontrol.h"

#include "nodeclock.h"

#include "jasminequay/Platform/instancelistparser.h"
#include "jasminequay/Support/logevent.h"

namespace jasminequay
{

void NodeControl::watchPlatform()
{
    if (m_settings.platform.port == 0) {
        return;
    }
    PlatformWatchHooks settingsHooks;
    settingsHooks.shouldWatch = [this]() {
        return m_control.shouldWatchPlatform();
    };
    settingsHooks.version = [this]() {
        return m_control.settings().version();
    };
    settingsHooks.health = [this](bool isFailing) {
        m_control.setPlatformFailing(isFailing);
    };
    settingsHooks.take = [this](const std::string &text) {
        const TimePoint now = currentTime();
        m_control.onSettings(text, now);
        publish(now);
    };
    PlatformWatchHooks instancesHooks = settingsHooks;
    instancesHooks.version = [this]() {
        return m_instanceListVersion;
    };
    instancesHooks.take = [this](const std::string &text) {
        withFailure(
            [&]() -> Result<void> {
                BOOST_LEAF_AUTO(list, parseInstanceList(text, format(m_settings.platform)));
                const TimePoint now = currentTime();
                m_instanceListVersion = list.version;
                m_control.onInstanceList(list, now);
                publish(now);
                return {};
            },
            [](const Failure &failure) {
                LogEvent(Severity::Error, "instance-list-refused").with("reason", describe(failure));
            });
    };
    const std::uint64_t seed = hashWords(m_incarnation, instanceIdOf(m_settings.instance).value);
    m_settingsWatch = std::make_unique<PlatformWatch>(
        m_context, m_settings.platform, PlatformValue::Settings, std::move(settingsHooks), seed);
    m_instancesWatch = std::make_unique<PlatformWatch>(
        m_context, m_settings.platform, PlatformValue::Instances, std::move(instancesHooks), seed + 1);
    m_settingsWatch->start();
    m_instancesWatch->start();
}

} // namespace jasminequay
