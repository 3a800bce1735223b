// Runs one instance that steers by token as a process.
#pragma once

#include "jasminequay/Node/directoryfeed.h"
#include "jasminequay/Node/placementpage.h"
#include "jasminequay/Node/settingswatch.h"
#include "jasminequay/Node/steeringcontrol.h"
#include "jasminequay/Node/steeringmetrics.h"
#include "jasminequay/Node/steeringpath.h"
#include "jasminequay/Platform/operatorserver.h"
#include "jasminequay/Support/linelog.h"
#include "jasminequay/Support/logevent.h"
#include "jasminequay/Support/timerservice.h"
#include "jasminequay/Support/wallclock.h"

#include <boost/asio/signal_set.hpp>

namespace jasminequay
{

/// An adapter that also provides the client of its store.
template <typename Adapter>
concept SteeringDeployment = SteeringAdapter<Adapter> && DirectoryStore<typename Adapter::Store>;

/// Runs an instance on one thread, which handles packets, reads of the store, peers and HTTP pages in turn.
/// One thread is enough: a decision takes microseconds, and the platform runs one thread at a time.
template <SteeringDeployment Adapter> class SteeringNode
{
public:
    /// `clock` gets the offset of reloaded settings. Its time at the start is the incarnation of the instance
    /// among its peers.
    SteeringNode(
        const SteeringInstanceSettings &settings, SettingsWatch watch, const LineLog &log, WallClock &clock)
        : m_settings(settings)
        , m_log(log)
        , m_clock(clock)
        , m_settingsWatch(std::move(watch))
        , m_control(m_context, settings, std::string(Adapter::TargetNameHeader),
              static_cast<std::uint64_t>(clock.milliseconds()), bootTime())
        , m_path(m_context, m_control.engine(),
              {[this]() { return m_control.maySteer(bootTime()); },
                  [this]() { return m_control.resumedAt(); },
                  [this](const PacketSummary &packet, const SteeringDecision &decision, TimePoint now) {
                      m_control.logDecision(packet, decision, now);
                  }})
        , m_feed(m_context, typename Adapter::Store(settings.store),
              {[this](TimePoint now) { return m_control.nextRead(now); },
                  [this](const StoreAnswer &answer, TimePoint startedAt, TimePoint now) {
                      m_control.onStoreAnswer(answer, startedAt, now);
                      m_path.wake();
                  }})
        , m_readinessServer(m_context, [this](const std::string &) { return readinessPage(); })
        , m_controlServer(m_context, [this](const std::string &path) { return controlPage(path); })
        , m_signals(m_context, SIGTERM, SIGINT, SIGHUP)
        , m_tickTimer(m_context)
    {
        m_path.setRetransmissionShare(settings.secondTryShare);
    }

    /// Opens all sockets and runs until the process is told to stop.
    Result<void> run()
    {
        m_feed.start(m_context);
        BOOST_LEAF_CHECK(m_control.open());
        BOOST_LEAF_CHECK(m_path.open(m_context, m_settings.packets));
        BOOST_LEAF_CHECK(m_readinessServer.open(m_settings.readiness));
        BOOST_LEAF_CHECK(m_controlServer.open({m_settings.boundAddress(), m_settings.control.port}));
        LogEvent(Severity::Info, "instance-started")
            .with("instance", m_settings.instance)
            .with("data_centre", m_settings.dataCentre)
            .with("packets", format(m_settings.packets));
        awaitSignal();
        m_timers.subscribe("tick", TickInterval, bootTime(),
            [this](TimePoint now) { m_path.sendResets(m_control.tick(now)); });
        m_timers.subscribe("settings", SettingsPollInterval, bootTime(), [this](TimePoint) { reload(); });
        scheduleTick();
        m_context.run();
        LogEvent(Severity::Info, "instance-stopped").with("instance", m_settings.instance);
        return {};
    }

private:
    static constexpr auto TickInterval = std::chrono::milliseconds(50);
    /// How often the settings file is checked; it may change without a signal.
    static constexpr auto SettingsPollInterval = std::chrono::seconds(1);

    /// A leaving instance stops once the fabric has sent it nothing for this long.
    static constexpr Duration IdleTimeBeforeStop = std::chrono::milliseconds(700);
    /// The shortest leave: the fabric detects within a second that the instance is not ready.
    static constexpr Duration MinimumLeaveTime = std::chrono::milliseconds(1200);
    /// The part of the grace period that is reserved for ending the process.
    static constexpr Duration ShutdownMargin = std::chrono::milliseconds(500);

    OperatorPage readinessPage() const
    {
        return m_control.isReady() ? OperatorPage{200, "ready\n"} : OperatorPage{503, "not ready\n"};
    }

    OperatorPage controlPage(const std::string &path)
    {
        if (const std::optional<FetchRequest> request = PeerChannel::parseFetchPath(path)) {
            std::string response = m_control.encodedFetchResponse(*request, bootTime());
            return response.empty() ? OperatorPage{503, "nothing is known yet\n"}
                                    : OperatorPage{200, std::move(response)};
        }
        if (path == "/metrics") {
            return {200, steeringMetricsPage(m_control, m_path.counters(), m_log.leftOut(), bootTime())};
        }
        if (std::optional<OperatorPage> page = placementPage(m_control, path, bootTime())) {
            return std::move(*page);
        }
        return {404, "pages: /metrics, " + std::string(PlacementPath) + "ADDRESS:PORT\n"};
    }

    void awaitSignal()
    {
        m_signals.async_wait([this](const boost::system::error_code &error, int signal) {
            if (error) {
                return;
            }
            if (signal == SIGHUP) {
                reload();
            } else if (m_leavingSince != TimePoint{}) {
                m_context.stop();
                return;
            } else {
                beginLeave(signal);
            }
            awaitSignal();
        });
    }

    void beginLeave(int signal)
    {
        m_leavingSince = bootTime();
        LogEvent(Severity::Info, "leave-begun").with("signal", signal);
        m_control.beginLeave(m_leavingSince);
    }

    void reload()
    {
        if (const std::optional<SteeringInstanceSettings> settings = m_settingsWatch.poll()) {
            m_settings = *settings;
            m_clock.setOffset(settings->clockOffset);
            m_control.reconfigure(*settings);
            m_path.setRetransmissionShare(settings->secondTryShare);
        }
    }

    void scheduleTick()
    {
        m_tickTimer.expires_after(TickInterval);
        m_tickTimer.async_wait([this](const boost::system::error_code &) {
            const TimePoint now = bootTime();
            m_timers.advance(now);
            if (isDone(now)) {
                m_context.stop();
                return;
            }
            scheduleTick();
        });
    }

    [[nodiscard]] bool isDone(TimePoint now) const
    {
        if (m_leavingSince == TimePoint{}) {
            return false;
        }
        const Duration leaving = now - m_leavingSince;
        const bool isIdle = leaving >= MinimumLeaveTime && now - m_path.lastPacketAt() >= IdleTimeBeforeStop;
        return isIdle || leaving >= m_settings.gracePeriod - ShutdownMargin;
    }

    SteeringInstanceSettings m_settings;
    const LineLog &m_log;
    WallClock &m_clock;
    SettingsWatch m_settingsWatch;
    boost::asio::io_context m_context{1};
    SteeringControl m_control;
    SteeringPath<Adapter> m_path;
    DirectoryFeed<typename Adapter::Store> m_feed;
    OperatorServer m_readinessServer;
    OperatorServer m_controlServer;
    TimerService m_timers;
    boost::asio::signal_set m_signals;
    boost::asio::steady_timer m_tickTimer;
    TimePoint m_leavingSince;
};

} // namespace jasminequay
