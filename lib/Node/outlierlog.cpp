#include "jasminequay/Node/outlierlog.h"

#include "jasminequay/Support/logevent.h"

namespace jasminequay
{

constexpr std::uint32_t MaximumLinesPerSecond = 20;

static void logEvent(const EjectionEvent &event, const KnownTarget &target)
{
    const bool isEjected = event.stage == EjectionStage::Ejected;
    LogEvent line(
        isEjected ? Severity::Warning : Severity::Info, isEjected ? "target-ejected" : "target-readmitted");
    line.with("target", target.record.name)
        .with("service", target.record.service)
        .with("data_centre", target.record.dataCentre);
    if (isEjected) {
        line.with("period_ms", std::chrono::duration_cast<std::chrono::milliseconds>(event.period).count())
            .with("failures", event.failures)
            .with("reporters", event.reporters);
    }
}

void OutlierLog::logTransitions(SteeringEngine &engine, TimePoint now)
{
    for (const EjectionEvent &event : engine.outliers().takeEvents()) {
        const KnownTarget *const target = engine.targets().find(event.targetKey);
        if (target == nullptr || m_lines.sum(now) >= MaximumLinesPerSecond) {
            continue;
        }
        m_lines.add(1, now);
        logEvent(event, *target);
    }
}

} // namespace jasminequay
