#include "jasminequay/Model/experiment.h"
#include "jasminequay/Settings/settingparsers.h"
#include "jasminequay/Settings/yamldocument.h"
#include "jasminequay/Settings/yamlmapping.h"

#include <array>

namespace jasminequay
{

/// The largest settings file that is read.
constexpr std::size_t MaxExperimentBytes = 1 << 16;

/// Upper bounds of call rates and load factors. A larger plan would not fit into memory.
constexpr double MaxCallsPerSecond = 100000;
constexpr double MaxFactor = 1000;

constexpr std::string_view DurationKind = "a duration with a unit (s, ms)";
constexpr std::string_view FactorKind = "a number above zero, up to 1000";

static std::optional<double> parseFactor(std::string_view text)
{
    const std::optional<double> factor = parseReal(text);
    return factor && *factor > 0 && *factor <= MaxFactor ? factor : std::nullopt;
}

static std::optional<double> parseCallRate(std::string_view text)
{
    const std::optional<double> calls = parseReal(text);
    return calls && *calls > 0 && *calls <= MaxCallsPerSecond ? calls : std::nullopt;
}

static std::optional<double> parseShare(std::string_view text)
{
    const std::optional<double> share = parseReal(text);
    return share && *share >= 0 && *share <= 1 ? share : std::nullopt;
}

template <typename Value, std::size_t Count>
static std::optional<Value> parseEnumName(
    std::string_view text, const std::array<Value, Count> &values, std::string_view (*name)(Value))
{
    for (const Value value : values) {
        if (name(value) == text) {
            return value;
        }
    }
    return std::nullopt;
}

static std::optional<LoadChange> parseChange(std::string_view text)
{
    constexpr std::array Changes{LoadChange::Surge, LoadChange::SlowTargets, LoadChange::LostTargets};
    return parseEnumName(text, Changes, loadChangeName);
}

static std::optional<LoadPolicy> parsePolicy(std::string_view text)
{
    constexpr std::array Policies{LoadPolicy::Limited, LoadPolicy::Unlimited};
    return parseEnumName(text, Policies, loadPolicyName);
}

static std::optional<QueuePolicy> parseQueuePolicy(std::string_view text)
{
    constexpr std::array Policies{QueuePolicy::RefuseNewest, QueuePolicy::DropOldest};
    return parseEnumName(text, Policies, queuePolicyName);
}

/// Reads a sequence of values that replaces the default. Without the key, the default stays.
template <typename Value, typename Parser>
static void readSequence(YamlMapping &mapping, std::string_view key, std::string_view kind, Parser parser,
    std::vector<Value> &values, Mistakes &mistakes)
{
    const YAML::Node list = mapping.take(key);
    if (!list.IsDefined()) {
        return;
    }
    if (!list.IsSequence() || list.size() == 0) {
        addMistake(
            mistakes, list, mapping.pathOf(key), "a sequence with at least one entry is expected here");
        return;
    }
    values.clear();
    for (const YAML::Node &node : list) {
        const auto parsed = node.IsScalar() ? parser(node.Scalar()) : decltype(parser("")){};
        if (parsed) {
            values.push_back(*parsed);
        } else {
            addMistake(mistakes, node, mapping.pathOf(key), "an entry is not " + std::string(kind));
        }
    }
}

/// Calls `read` for each mapping of a sequence.
template <typename Read>
static void readMappings(YamlMapping &mapping, std::string_view key, Mistakes &mistakes, Read read)
{
    const YAML::Node list = mapping.take(key);
    if (!list.IsDefined()) {
        return;
    }
    if (!list.IsSequence()) {
        addMistake(mistakes, list, mapping.pathOf(key), "a sequence of mappings is expected here");
        return;
    }
    for (const YAML::Node &node : list) {
        YamlMapping entry(node, mapping.pathOf(key), mistakes);
        read(entry);
        entry.refuseRest();
    }
}

static void readDataCentres(YamlMapping &mapping, LoadPlan &plan, Mistakes &mistakes)
{
    readMappings(mapping, "data-centres", mistakes, [&plan](YamlMapping &entry) {
        ModelDataCentre dataCentre;
        entry.takeParsed("name", "a name", true, parseName, dataCentre.name);
        entry.takeParsed(
            "instances", "a number from 1 to 100", false, parseWithin<1, 100>, dataCentre.instances);
        entry.takeParsed(
            "targets", "a number from 1 to 1000", false, parseWithin<1, 1000>, dataCentre.targets);
        entry.takeParsed("calls-per-second", "a rate above zero, up to 100000", false, parseCallRate,
            dataCentre.callsPerSecond);
        plan.dataCentres.push_back(dataCentre);
    });
    if (plan.dataCentres.empty()) {
        mistakes.push_back({0, 0, "data-centres", "at least one data centre is needed"});
    }
}

static void readEvents(YamlMapping &mapping, LoadPlan &plan, Mistakes &mistakes)
{
    readMappings(mapping, "events", mistakes, [&plan](YamlMapping &entry) {
        LoadEvent event;
        entry.takeParsed("change", "surge, slow-targets or lost-targets", true, parseChange, event.change);
        entry.takeParsed("data-centre", "a name", false, parseName, event.dataCentre);
        entry.takeParsed("factor", FactorKind, true, parseFactor, event.factor);
        entry.takeParsed("at", DurationKind, true, parseFractionalDuration, event.at);
        entry.takeParsed("lasting", DurationKind, true, parseFractionalDuration, event.lasting);
        plan.events.push_back(event);
    });
}

static void readTargets(YamlMapping &mapping, LoadPlan &plan)
{
    mapping.takeParsed("slots", "a number from 1 to 1000", false, parseWithin<1, 1000>, plan.slots);
    mapping.takeParsed("queue", "a number from 0 to 100000", false, parseWithin<0, 100000>, plan.queue);
    mapping.takeParsed(
        "queue-policy", "refuse-newest or drop-oldest", false, parseQueuePolicy, plan.queuePolicy);
    mapping.takeParsed("shed-delay", DurationKind, false, parseFractionalDuration, plan.shedDelay);
    mapping.takeParsed("work", DurationKind, false, parseFractionalDuration, plan.work);
    mapping.takeParsed("work-spread", FactorKind, false, parseFactor, plan.workSpread);
}

static void readCallers(YamlMapping &mapping, LoadPlan &plan)
{
    mapping.takeParsed("objective", DurationKind, false, parseFractionalDuration, plan.objective);
    mapping.takeParsed("deadline", DurationKind, false, parseFractionalDuration, plan.deadline);
    mapping.takeParsed("retries", "a number from 0 to 10", false, parseWithin<0, 10>, plan.retries);
    mapping.takeParsed("retry-pause", DurationKind, false, parseFractionalDuration, plan.retryPause);
    mapping.takeParsed("fresh-share", "a share from 0 to 1", false, parseShare, plan.newFlowShare);
    mapping.takeParsed("caller-delay", DurationKind, false, parseFractionalDuration, plan.callerDelay);
    mapping.takeParsed(
        "data-centre-delay", DurationKind, false, parseFractionalDuration, plan.dataCentreDelay);
}

static void readTimes(YamlMapping &mapping, Experiment &experiment, Mistakes &mistakes)
{
    LoadPlan &plan = experiment.plan;
    mapping.takeParsed("length", DurationKind, false, parseFractionalDuration, plan.length);
    mapping.takeParsed("measure-from", DurationKind, false, parseFractionalDuration, plan.measureFrom);
    mapping.takeParsed("measure-to", DurationKind, false, parseFractionalDuration, plan.measureTo);
    mapping.takeParsed("surge-at", DurationKind, false, parseFractionalDuration, experiment.surgeAt);
    mapping.takeParsed(
        "surge-lasting", DurationKind, false, parseFractionalDuration, experiment.surgeLasting);
    mapping.takeParsed("surge-data-centre", "a name", false, parseName, experiment.surgeDataCentre);
    if (plan.measureFrom >= plan.measureTo || plan.measureTo > plan.length) {
        mistakes.push_back({0, 0, "measure-to", "the measured interval is empty or ends after the run"});
    }
}

static void readExperiment(const YAML::Node &root, ParsedExperiment &parsed)
{
    Experiment &experiment = parsed.experiment;
    YamlMapping mapping(root, {}, parsed.mistakes);
    mapping.takeParsed("name", "a name", false, parseName, experiment.plan.name);
    readDataCentres(mapping, experiment.plan, parsed.mistakes);
    readTargets(mapping, experiment.plan);
    readCallers(mapping, experiment.plan);
    readTimes(mapping, experiment, parsed.mistakes);
    readEvents(mapping, experiment.plan, parsed.mistakes);
    readSequence(
        mapping, "policies", "limited or unlimited", parsePolicy, experiment.policies, parsed.mistakes);
    readSequence(mapping, "loads", FactorKind, parseFactor, experiment.loads, parsed.mistakes);
    readSequence(mapping, "seeds", "a number", parseNumber, experiment.seeds, parsed.mistakes);
    mapping.refuseRest();
}

ParsedExperiment parseExperiment(const std::string &text)
{
    ParsedExperiment parsed;
    const std::optional<YAML::Node> root = loadDocument(text, MaxExperimentBytes, parsed.mistakes);
    if (!root) {
        return parsed;
    }
    try {
        readExperiment(*root, parsed);
    } catch (const YAML::Exception &exception) {
        parsed.mistakes.push_back({0, 0, {}, "invalid experiment: " + exception.msg});
    }
    return parsed;
}

} // namespace jasminequay
