// The HTTP pages for operators and the list of targets to probe.
#include "nodecontrol.h"

#include "nodeclock.h"

namespace jasminequay
{

OperatorPage NodeControl::pageFor(const std::string &path) const
{
    if (path == "/healthz") {
        return {200, "ok\n"};
    }
    if (path == "/readyz") {
        return m_control.isReady() ? OperatorPage{200, "ready\n"} : OperatorPage{503, "not ready\n"};
    }
    if (path == "/metrics") {
        ControlCounters counters;
        counters.peers = m_link.counters();
        counters.records = m_records.sequence();
        if (m_settingsWatch) {
            counters.platformCalls = m_settingsWatch->calls() + m_instancesWatch->calls();
            counters.platformFailures = m_settingsWatch->failures() + m_instancesWatch->failures();
        }
        return {200, metricsPage(m_control, traffic(), counters)};
    }
    return {404, "unknown page\n"};
}

std::vector<ProbedTarget> NodeControl::probedTargets() const
{
    std::vector<ProbedTarget> targets;
    for (const Catalogue::TablePointer &table : m_control.settings().catalogue()->tables()) {
        if (!table || table->policy.reportPort == 0 || !m_control.owns(table->id)) {
            continue;
        }
        for (const TargetEntry &target : table->targets) {
            const Endpoint endpoint{
                target.settings.address.address, static_cast<std::uint16_t>(table->policy.reportPort)};
            targets.push_back({endpoint, [load = target.load](const LoadReport &report) {
                                   load->report(report.outstanding, report.isShedding, currentTime());
                               }});
        }
    }
    return targets;
}

} // namespace jasminequay
