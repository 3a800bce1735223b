#include "jasminequay/Node/steeringmetrics.h"

#include "pagebuilder.h"

namespace jasminequay
{

static void addPath(PageBuilder &page, const PathCounters &path)
{
    page.counter("packets_received_total", "Packets of callers.", path.packets);
    page.counter("packets_forwarded_total", "Packets sent on to targets.", path.forwarded);
    page.counter("resets_sent_total", "Resets sent to callers.", path.resets);
    page.counter("packets_malformed_total", "Datagrams that are no packets of callers.", path.malformed);
    page.counter("packets_unsent_total", "Packets that the kernel did not take.", path.unsent);
    prometheus::ClientMetric latency;
    std::uint64_t cumulative = 0;
    double bound = 1e-6;
    for (const std::uint64_t count : path.latencyBuckets) {
        cumulative += count;
        latency.histogram.bucket.push_back({cumulative, bound});
        bound *= 2;
    }
    latency.histogram.sample_count = cumulative;
    latency.histogram.sample_sum = static_cast<double>(path.latencyNanoseconds) * 1e-9;
    page.family("decision_seconds", "Time from reading a packet to sending it on.",
            prometheus::MetricType::Histogram)
        .metric.push_back(latency);
}

static void addRetransmissions(PageBuilder &page, const EarlyRetransmissionCounters &counters)
{
    page.counter("early_retransmission_packets_covered_total", "Packets that may be retransmitted early.",
        counters.covered);
    page.counter("early_retransmissions_total", "Packets sent once more to the same target.", counters.sent);
    page.counter("early_retransmissions_suppressed_by_budget_total",
        "Early retransmissions beyond second-try-share.", counters.suppressedByBudget);
    page.counter("early_retransmissions_suppressed_by_load_total",
        "Early retransmissions left out because of the state of targets, or because the instance was late.",
        counters.suppressedByLoad);
    page.counter("early_retransmissions_answered_total",
        "Flows that went on within 10 ms after an early retransmission.", counters.answered);
}

static void addDecisions(PageBuilder &page, const SteeringCounters &counters)
{
    prometheus::MetricFamily &decisions = page.family(
        "decisions_total", "Decisions about packets and flows, by cause.", prometheus::MetricType::Counter);
    for (std::size_t cause = 0; cause < SteeringCauseCount; ++cause) {
        prometheus::ClientMetric metric = PageBuilder::counterMetric(counters[cause]);
        metric.label.push_back({"cause", std::string(steeringCauseName(static_cast<SteeringCause>(cause)))});
        decisions.metric.push_back(metric);
    }
}

static void addTargets(PageBuilder &page, SteeringControl &control, TimePoint now)
{
    std::map<std::string_view, double> byVerdict;
    for (const auto &[key, target] : control.engine().targets().targets()) {
        if (target.presence != TargetPresence::Gone) {
            ++byVerdict[targetVerdictName(target.evidence.verdict(now))];
        }
    }
    prometheus::MetricFamily &targets = page.family(
        "targets", "Known targets, by what is believed of them.", prometheus::MetricType::Gauge);
    for (const auto &[verdict, count] : byVerdict) {
        prometheus::ClientMetric metric;
        metric.gauge.value = count;
        metric.label.push_back({"verdict", std::string(verdict)});
        targets.metric.push_back(metric);
    }
    prometheus::MetricFamily &probes = page.family("target_probes_total",
        "Connections made to find out about targets, by outcome.", prometheus::MetricType::Counter);
    for (const auto &[outcome, count] : control.probeCounters()) {
        prometheus::ClientMetric metric = PageBuilder::counterMetric(count);
        metric.label.push_back({"outcome", std::string(reachabilityName(outcome))});
        probes.metric.push_back(metric);
    }
}

static void addLoads(PageBuilder &page, SteeringControl &control, TimePoint now)
{
    prometheus::MetricFamily &shares = page.family("answer_objective_share",
        "How much of their objective answers take, by service and data centre.",
        prometheus::MetricType::Gauge);
    prometheus::MetricFamily &overloads = page.family("service_overloaded",
        "Whether a queue stands at the targets, so that new flows are limited.",
        prometheus::MetricType::Gauge);
    for (const auto &[key, load] : control.engine().serviceLoads()) {
        prometheus::ClientMetric metric;
        metric.label.push_back({"service", key.first});
        metric.label.push_back({"data_centre", key.second});
        metric.gauge.value = load.objectiveShare(now);
        shares.metric.push_back(metric);
        metric.gauge.value = load.isOverloaded(now) ? 1 : 0;
        overloads.metric.push_back(metric);
    }
}

static void addOutliers(PageBuilder &page, SteeringControl &control, TimePoint now)
{
    OutlierEjection &outliers = control.engine().outliers();
    prometheus::MetricFamily &ejected = page.family("targets_ejected",
        "Targets that get no new flows, or single ones only, because of their answers, by service.",
        prometheus::MetricType::Gauge);
    prometheus::MetricFamily &failing = page.family("service_failing",
        "Whether so many answers of a service fail that no target is ejected.",
        prometheus::MetricType::Gauge);
    for (const std::string &service : outliers.services()) {
        prometheus::ClientMetric metric;
        metric.label.push_back({"service", service});
        metric.gauge.value = static_cast<double>(outliers.ejectedCount(service, now));
        ejected.metric.push_back(metric);
        metric.gauge.value = outliers.isServiceFailing(service, now) ? 1 : 0;
        failing.metric.push_back(metric);
    }
    const EjectionCounters &counters = outliers.counters();
    page.counter("target_failures_total", "Failed or overdue answers of targets.", counters.failures);
    page.counter("target_failures_reported_total", "Failed or overdue answers that peers reported.",
        counters.peerFailures);
    page.counter("target_reports_outdated_total", "Reports of peers that were too old to count.",
        counters.outdatedReports);
    page.counter("target_ejections_total", "Targets ejected because of their answers.", counters.ejections);
    page.counter("target_readmissions_total", "Ejected targets that were readmitted.", counters.readmissions);
}

static void addColdTargets(PageBuilder &page, const ColdTargetLimit &limit)
{
    prometheus::MetricFamily &passedOver = page.family("cold_passed_over_total",
        "Openings whose best target was cold and had no room, by service.", prometheus::MetricType::Counter);
    prometheus::MetricFamily &refused = page.family("cold_refused_total",
        "Openings that were refused because only cold targets without room were left, by service.",
        prometheus::MetricType::Counter);
    for (const auto &[service, counters] : limit.counters()) {
        prometheus::ClientMetric metric = PageBuilder::counterMetric(counters.passedOver);
        metric.label.push_back({"service", service});
        passedOver.metric.push_back(metric);
        metric.counter.value = static_cast<double>(counters.refused);
        refused.metric.push_back(metric);
    }
}

static void addAdmission(PageBuilder &page, SteeringControl &control, TimePoint now)
{
    prometheus::MetricFamily &probabilities = page.family("admission_probability",
        "The share of new flows that is admitted, by service, data centre and priority.",
        prometheus::MetricType::Gauge);
    for (const auto &[key, admission] : control.engine().admissions()) {
        for (const auto &[priority, probability] : admission.probabilities(now)) {
            prometheus::ClientMetric metric;
            metric.label.push_back({"service", key.first});
            metric.label.push_back({"data_centre", key.second});
            metric.label.push_back({"priority", std::to_string(priority)});
            metric.gauge.value = probability;
            probabilities.metric.push_back(metric);
        }
    }
    prometheus::MetricFamily &refused = page.family("openings_refused_total",
        "Openings that were refused because all data centres were full, by priority.",
        prometheus::MetricType::Counter);
    for (const auto &[priority, count] : control.engine().refusedByPriority()) {
        prometheus::ClientMetric metric = PageBuilder::counterMetric(count);
        metric.label.push_back({"priority", std::to_string(priority)});
        refused.metric.push_back(metric);
    }
}

static void addDirectoryState(PageBuilder &page, SteeringControl &control, TimePoint now)
{
    const FleetControl &fleet = control.fleet();
    const std::chrono::duration<double> age = now - control.engine().currentAt();
    page.gauge("routes_version", "The version of the routes in force.",
        static_cast<double>(control.engine().routes().configuration().version));
    page.gauge("store_revision", "The revision of the store up to which targets are known.",
        static_cast<double>(numberOf(fleet.revision())));
    page.gauge("routes_revision", "The revision of the store up to which routes are known.",
        static_cast<double>(numberOf(fleet.routesRevision())));
    page.gauge("store_era", "How often the store has been restored from a copy, as far as is known.",
        static_cast<double>(fleet.storeEra()));
    TargetDirectory &targets = control.engine().targets();
    page.gauge("unassigned_entries", "Published entries of services that the configuration does not name.",
        static_cast<double>(targets.unassignedCount()));
    page.counter("conflicting_entries_total",
        "Entries that were ignored because they claim the identity of another target.",
        targets.conflictingEntries());
    page.gauge("held_entries", "Entries that do not count yet because they contradict what is known.",
        static_cast<double>(targets.heldCount()));
    page.gauge(
        "knowledge_age_seconds", "How long ago routes and targets were proved to be complete.", age.count());
    page.gauge("flows", "Flows that are remembered.", static_cast<double>(control.engine().flows().size()));
    page.gauge("members", "Other instances known.", static_cast<double>(fleet.members().members().size()));
    page.gauge("members_reachable", "Other instances that answer.",
        static_cast<double>(fleet.members().reachable().size()));
    page.gauge("reads_the_store", "Whether the instance reads the store for its data centre.",
        fleet.isReading() ? 1 : 0);
}

static void addEvacuations(PageBuilder &page, SteeringControl &control)
{
    page.gauge("evacuations_revision", "The revision of the store up to which evacuations are known.",
        static_cast<double>(numberOf(control.fleet().evacuationsRevision())));
    prometheus::MetricFamily &evacuations = page.family("data_centre_evacuated",
        "Whether the targets of a data centre get no new flows.", prometheus::MetricType::Gauge);
    for (const EvacuationRecord &record : control.engine().targets().evacuations().records()) {
        prometheus::ClientMetric metric;
        metric.label.push_back({"data_centre", record.dataCentre});
        metric.gauge.value = record.isActive ? 1 : 0;
        evacuations.metric.push_back(metric);
    }
}

static void addCounters(PageBuilder &page, const SteeringControl &control)
{
    const StoreCounters &store = control.storeCounters();
    page.counter("store_calls_total", "Calls to the store.", store.calls);
    page.counter("store_failures_total", "Reads of the store that failed.", store.failures);
    page.counter("store_oversized_answers_total", "Answers of the store that were larger than is taken.",
        store.oversizedAnswers);
    page.counter("store_changes_total", "Routes and entries of targets that the store sent.", store.changes);
    const PeerCounters &peers = control.peerCounters();
    page.counter("peer_messages_sent_total", "Messages sent to peers.", peers.sent);
    page.counter("peer_bytes_sent_total", "Bytes of messages sent to peers.", peers.sentBytes);
    page.counter("peer_messages_received_total", "Datagrams received from peers.", peers.received);
    page.counter("peer_messages_refused_total", "Datagrams that no peer can have sent.", peers.refused);
    page.counter("peer_messages_unsent_total", "Messages that the kernel did not take.", peers.unsent);
    page.counter("peer_fetches_total", "Fetches of everything that a peer knows.", peers.fetches);
    page.counter("peer_fetches_failed_total", "Fetches that failed.", peers.failedFetches);
}

std::string steeringMetricsPage(
    SteeringControl &control, const PathCounters &path, std::uint64_t logLinesLeftOut, TimePoint now)
{
    PageBuilder page;
    addPath(page, path);
    addRetransmissions(page, path.earlyRetransmissions);
    addDecisions(page, control.engine().counters());
    addLoads(page, control, now);
    addColdTargets(page, control.engine().coldTargets());
    addAdmission(page, control, now);
    addTargets(page, control, now);
    addOutliers(page, control, now);
    addDirectoryState(page, control, now);
    addEvacuations(page, control);
    addCounters(page, control);
    page.counter("log_lines_left_out_total", "Log lines that were left out.", logLinesLeftOut);
    return page.text();
}

} // namespace jasminequay
