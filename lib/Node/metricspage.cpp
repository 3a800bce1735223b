#include "jasminequay/Node/metricspage.h"

#include "pagebuilder.h"

namespace jasminequay
{

static void addTraffic(PageBuilder &page, const TrafficCounters &traffic)
{
    page.counter("packets_to_targets_total", "Packets sent to targets.", traffic.packetsToTargets);
    page.counter("packets_to_callers_total", "Packets sent to callers.", traffic.packetsToCallers);
    page.counter("packets_to_peers_total", "Datagrams sent to peers.", traffic.packetsToPeers);
    page.counter("bytes_to_targets_total", "Bytes sent to targets.", traffic.bytesToTargets);
    page.counter("bytes_to_callers_total", "Bytes sent to callers.", traffic.bytesToCallers);
    page.gauge("flows", "Flows held in the flow tables.", static_cast<double>(traffic.flows));
    page.gauge("handovers_waiting", "Bindings that wait to go to their new owner.",
        static_cast<double>(traffic.waitingHandovers));
    page.counter("flows_placed_total", "New flows placed at a target.", traffic.engine.placed);
    page.counter("flow_exceptions_total", "New flows placed where the table does not point.",
        traffic.engine.exceptions);
    page.counter("flows_refused_total", "New flows refused.", traffic.engine.refused);
    page.counter(
        "packets_relayed_total", "Packets passed to the owner of their flow.", traffic.engine.relayed);
    page.counter("bindings_learned_total", "Bindings learned from answers.", traffic.engine.learned);
    page.counter("bindings_recovered_total", "Bindings learned from peers.", traffic.engine.recovered);
    page.counter(
        "flow_fallbacks_total", "Running flows resumed by the table alone.", traffic.engine.fallbacks);
    page.counter("binding_queries_total", "Queries to peers for a binding.", traffic.engine.queries);
    page.counter("flows_evicted_total", "Entries evicted from a full table.", traffic.engine.evicted);
    prometheus::MetricFamily &drops
        = page.family("packets_dropped_total", "Packets dropped, by cause.", prometheus::MetricType::Counter);
    for (std::size_t cause = 1; cause < DropCauseCount; ++cause) {
        prometheus::ClientMetric metric = PageBuilder::counterMetric(traffic.drops[cause]);
        metric.label.push_back({"cause", std::string(dropCauseName(static_cast<DropCause>(cause)))});
        drops.metric.push_back(metric);
    }
}

static void addControl(PageBuilder &page, const InstanceControl &control, const ControlCounters &counters)
{
    const SettingsControl &settings = control.settings();
    const std::size_t members = control.members().members().size();
    page.gauge("settings_version", "The settings version in force.", static_cast<double>(settings.version()));
    page.gauge("settings_confirmed_members", "Other members that confirmed the version in force.",
        static_cast<double>(settings.confirmations().confirmedBy(control.members(), settings.version())));
    page.gauge("members", "Other members known.", static_cast<double>(members));
    page.gauge("members_reachable", "Other members that answer.",
        static_cast<double>(control.members().reachable().size()));
    page.gauge("settings_held_back", "Whether the version in force holds moved targets back.",
        settings.hasQuarantine() ? 1 : 0);
    page.gauge(
        "fenced", "Whether the instance is fenced after a pause.", control.members().isFenced() ? 1 : 0);
    page.counter("control_bytes_sent_total", "Bytes of control messages sent.", counters.peers.sentBytes);
    page.counter(
        "control_bytes_received_total", "Bytes of control messages received.", counters.peers.receivedBytes);
    page.counter("control_messages_sent_total", "Control messages sent.", counters.peers.sentMessages);
    page.counter(
        "control_messages_unsent_total", "Control messages that could not be sent.", counters.peers.unsent);
    page.counter("peers_refused_total", "Connections of unknown peers refused.", counters.peers.refusedPeers);
    page.counter(
        "control_messages_malformed_total", "Control messages that were refused.", counters.peers.malformed);
    page.counter("platform_calls_total", "Calls to the platform.", counters.platformCalls);
    page.counter("platform_failures_total", "Calls to the platform that failed.", counters.platformFailures);
    page.counter("records_total", "Connection records written.", counters.records);
}

std::string metricsPage(
    const InstanceControl &control, const TrafficCounters &traffic, const ControlCounters &counters)
{
    PageBuilder page;
    addTraffic(page, traffic);
    addControl(page, control, counters);
    return page.text();
}

} // namespace jasminequay
