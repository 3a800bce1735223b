// Instances of one data centre or several, their callers and their targets, in virtual time.
#pragma once

#include "steeringfixture.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <functional>
#include <memory>
#include <queue>

namespace jasminequay::steering
{

/// How a target treats requests.
enum class Behaviour : std::uint8_t {
    Good,
    Errors, ///< Short and quick answers.
    Hanging, ///< Opens flows and answers no request.
    Mute, ///< Answers no opening.
    Slow, ///< Takes five times as long.
    Flapping, ///< Alternates between Good and Mute every 0.7 s.
};

/// Plays requests of 40 ms on flows of their own. Targets have two slots and a queue of eight; full ones
/// answer with refusals. Instances exchange reports as in the fleet, within their data centre.
class OutlierWorld
{
public:
    static constexpr Duration Tick = std::chrono::milliseconds(50);
    static constexpr Duration Work = std::chrono::milliseconds(40);

    /// `dataCentres` data centres with `instances` instances and `targets` targets each.
    OutlierWorld(std::uint32_t dataCentres, std::uint32_t instances, std::uint32_t targets,
        RequestKind kind = RequestKind::Idempotent)
        : m_targets(static_cast<std::size_t>(dataCentres) * targets)
    {
        for (std::uint32_t number = 0; number < dataCentres * instances; ++number) {
            const std::string dataCentre = "dc-" + std::to_string(number / instances + 1);
            SteeringSettings settings;
            settings.dataCentre = dataCentre;
            settings.features.ejectsOutliers = true;
            engines.push_back(std::make_unique<SteeringEngine>(settings));
            SteeringEngine &engine = *engines.back();
            RouteConfiguration routes = routesOf(1, kind);
            routes.routes.front().objective = std::chrono::milliseconds(500);
            engine.replaceRoutes(routes, now);
            engine.setInstanceCounts(instances, engines.capacity());
            for (std::uint32_t target = 0; target < m_targets.size(); ++target) {
                TargetRecord record = targetOf(target);
                record.dataCentre = "dc-" + std::to_string(target / targets + 1);
                engine.targets().put(record, now);
            }
        }
        m_perDataCentre = instances;
        rates.assign(dataCentres, 0);
        m_loads.assign(dataCentres, 0);
        for (auto &engine : engines) {
            engine->setInstanceCounts(instances, engines.size());
        }
    }

    /// Runs for some time with `rates` requests per second in each data centre.
    void run(Duration duration)
    {
        for (const TimePoint end = now + duration; now < end; now += std::chrono::milliseconds(1)) {
            runEvents();
            startRequests();
            if ((now - Start) % Tick == Duration::zero()) {
                tick();
            }
        }
    }

    [[nodiscard]] std::uint64_t key(std::uint32_t target) const
    {
        return targetOf(target).identity.key();
    }

    /// Returns how many instances of the first data centre have ejected a target.
    std::uint32_t ejectedAt(std::uint32_t target)
    {
        std::uint32_t count = 0;
        for (std::uint32_t number = 0; number < m_perDataCentre; ++number) {
            count += engines[number]->outliers().stage(key(target), now) != EjectionStage::Admitted ? 1 : 0;
        }
        return count;
    }

    /// Returns the ejections at all instances.
    std::uint64_t ejections() const
    {
        std::uint64_t count = 0;
        for (const auto &engine : engines) {
            count += engine->outliers().counters().ejections;
        }
        return count;
    }

    /// Returns the mean time of good answers.
    [[nodiscard]] Duration meanTime() const
    {
        return m_goodTime / static_cast<std::int64_t>(std::max<std::uint64_t>(good, 1));
    }

    /// Sets the outcomes back.
    void resetOutcomes()
    {
        started = good = failed = remote = 0;
        m_goodTime = {};
        reached.assign(m_targets.size(), 0);
    }

    std::vector<std::unique_ptr<SteeringEngine>> engines;
    std::vector<double> rates; ///< Requests per second by data centre.
    std::map<std::uint32_t, Behaviour> behaviours; ///< Of targets that are not good.
    bool hasVariedWork = false; ///< Whether times of work are distributed exponentially.
    double workFactor = 1; ///< The time of all targets' work, as a multiple of `Work`.
    TimePoint now = Start;
    std::uint64_t started = 0;
    std::uint64_t good = 0; ///< Requests that were answered well.
    std::uint64_t failed = 0; ///< Requests that were answered by errors or refusals.
    std::uint64_t inFlight = 0; ///< Requests that will be answered.
    std::uint64_t remote = 0; ///< Requests that went to another data centre.
    std::vector<std::uint64_t> reached; ///< Requests and openings by target.

private:
    /// The queue of a target.
    struct Target {
        std::array<TimePoint, 2> slots; ///< When each slot is free.
        std::vector<TimePoint> ends; ///< When the requests in the slots and the queue are done.
    };

    /// Something that happens later.
    struct Event {
        TimePoint at;
        std::uint64_t number = 0;
        std::function<void()> action;

        bool operator<(const Event &other) const
        {
            return std::pair(at, number) > std::pair(other.at, other.number);
        }
    };

    void after(Duration delay, std::function<void()> action)
    {
        m_events.push({now + delay, ++m_eventNumber, std::move(action)});
    }

    void runEvents()
    {
        while (!m_events.empty() && m_events.top().at <= now) {
            const std::function<void()> action = m_events.top().action;
            m_events.pop();
            action();
        }
    }

    void startRequests()
    {
        for (std::uint32_t dataCentre = 0; dataCentre < rates.size(); ++dataCentre) {
            const std::size_t first = static_cast<std::size_t>(dataCentre) * m_perDataCentre;
            m_loads[dataCentre] += rates[dataCentre] / 1000;
            for (; m_loads[dataCentre] >= 1; m_loads[dataCentre] -= 1) {
                const std::uint32_t caller = ++m_caller;
                const auto number = hashWords(caller, 3) % m_perDataCentre;
                start(*engines[first + number], caller, dataCentre);
            }
        }
    }

    void start(SteeringEngine &engine, std::uint32_t caller, std::uint32_t dataCentre)
    {
        ++started;
        const SteeringDecision placed = engine.decide(openingOf(caller), now);
        if (placed.action != SteeringAction::Forward) {
            ++failed;
            return;
        }
        const auto target = static_cast<std::uint32_t>(placed.targetId - 1);
        reached.resize(m_targets.size());
        ++reached[target];
        const bool isRemote = target / (m_targets.size() / rates.size()) != dataCentre;
        remote += isRemote ? 1 : 0;
        if (behaviourOf(target) == Behaviour::Mute) {
            return;
        }
        after(std::chrono::milliseconds(isRemote ? 4 : 2), [this, &engine, caller, placed, target] {
            engine.decide(dataOf(caller, placed.token, 1001, 5000, 100), now);
            request(engine, caller, placed.token, target);
        });
    }

    Behaviour behaviourOf(std::uint32_t target) const
    {
        const auto found = behaviours.find(target);
        if (found == behaviours.end()) {
            return Behaviour::Good;
        }
        const bool isDown = (now - Start) / std::chrono::milliseconds(700) % 2 == 0;
        return found->second == Behaviour::Flapping ? (isDown ? Behaviour::Mute : Behaviour::Good)
                                                    : found->second;
    }

    /// Returns an exponentially distributed value with mean 1.
    static double exponential(std::uint32_t number)
    {
        constexpr std::uint64_t Parts = 1 << 20;
        const std::uint64_t part = hashWords(number, 5) % Parts;
        return -std::log((static_cast<double>(part) + 0.5) / Parts);
    }

    void request(SteeringEngine &engine, std::uint32_t caller, SteeringToken token, std::uint32_t target)
    {
        const Behaviour behaviour = behaviourOf(target);
        if (behaviour == Behaviour::Hanging || behaviour == Behaviour::Mute) {
            return;
        }
        std::vector<TimePoint> &ends = m_targets[target].ends;
        std::erase_if(ends, [this](TimePoint end) { return end <= now; });
        if (behaviour == Behaviour::Errors || ends.size() >= 10) {
            answer(engine, caller, token, std::chrono::milliseconds(3), 200);
            return;
        }
        const double variation = hasVariedWork ? exponential(caller) : 1;
        const double factor = workFactor * variation * (behaviour == Behaviour::Slow ? 5 : 1);
        const auto work = std::chrono::duration_cast<Duration>(Work * factor);
        TimePoint &slot = *std::min_element(m_targets[target].slots.begin(), m_targets[target].slots.end());
        const TimePoint begin = std::max(slot, now);
        slot = begin + work;
        ends.push_back(slot);
        answer(engine, caller, token, begin + work - now, 900);
    }

    void answer(SteeringEngine &engine, std::uint32_t caller, SteeringToken token, Duration delay,
        std::uint32_t bytes)
    {
        ++inFlight;
        after(delay, [this, &engine, caller, token, delay, bytes] {
            --inFlight;
            (bytes > 500 ? good : failed) += 1;
            m_goodTime += bytes > 500 ? delay : Duration::zero();
            PlainPacket end = dataOf(caller, token, 1101, 5000 + bytes, 0);
            end.fields.isEnd = true;
            engine.decide(end, now);
        });
    }

    void tick()
    {
        for (std::size_t number = 0; number < engines.size(); ++number) {
            engines[number]->markCurrentAt(now);
            engines[number]->sweep(now, 100);
            const std::size_t first = number / m_perDataCentre * m_perDataCentre;
            const std::vector<TargetFailures> reports
                = engines[number]->outliers().takeReports(m_perDataCentre - 1, now);
            for (std::size_t peer = first; !reports.empty() && peer < first + m_perDataCentre; ++peer) {
                if (peer != number) {
                    engines[peer]->recordPeerFailures(std::to_string(number), reports, now);
                }
            }
        }
    }

    std::vector<Target> m_targets;
    std::uint32_t m_perDataCentre = 1;
    std::vector<double> m_loads; ///< The parts of requests that are due by data centre.
    std::uint32_t m_caller = 0;
    Duration m_goodTime{}; ///< The sum of the times of good answers.
    std::uint64_t m_eventNumber = 0;
    std::priority_queue<Event> m_events;
};

} // namespace jasminequay::steering
