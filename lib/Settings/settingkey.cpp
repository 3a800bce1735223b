#include "jasminequay/Settings/settingkey.h"

#include "jasminequay/Support/units.h"

#include <algorithm>
#include <array>

namespace jasminequay
{

constexpr std::uint32_t MaximumOwners = 16;
constexpr double MaximumBound = 100;
constexpr std::uint64_t MaximumCount = 10'000'000;

static std::string printReal(double value)
{
    std::string text = std::to_string(value);
    text.erase(text.find_last_not_of('0') + 1);
    return text.back() == '.' ? text + "0" : text;
}

template <auto Member> static std::string readDuration(std::string_view text, ServicePolicy &policy)
{
    const std::optional<Duration> duration = parseDuration(text);
    if (!duration || duration->count() == 0) {
        return "'" + std::string(text) + "' is not a duration above zero with a unit (us, ms, s, m, h)";
    }
    policy.*Member = *duration;
    return {};
}

template <auto Member> static std::string printDuration(const ServicePolicy &policy)
{
    return formatDuration(policy.*Member);
}

template <auto Member, std::uint64_t Least, std::uint64_t Most>
static std::string readCount(std::string_view text, ServicePolicy &policy)
{
    const std::optional<std::uint64_t> count = parseNumber(text);
    if (!count || *count < Least || *count > Most) {
        return "'" + std::string(text) + "' is not a whole number from " + std::to_string(Least) + " to "
            + std::to_string(Most);
    }
    policy.*Member = static_cast<std::uint32_t>(*count);
    return {};
}

template <auto Member> static std::string printCount(const ServicePolicy &policy)
{
    return std::to_string(policy.*Member);
}

template <auto Member> static std::string readPercentage(std::string_view text, ServicePolicy &policy)
{
    const bool hasUnit = text.ends_with('%');
    const std::optional<double> value = hasUnit ? parseReal(text.substr(0, text.size() - 1)) : std::nullopt;
    if (!value || *value < 0 || *value > 100) {
        return "'" + std::string(text) + "' is not a percentage from 0% to 100%";
    }
    policy.*Member = *value;
    return {};
}

template <auto Member> static std::string printPercentage(const ServicePolicy &policy)
{
    return printReal(policy.*Member) + "%";
}

static std::string readDivision(std::string_view text, ServicePolicy &policy)
{
    const bool isName
        = !text.empty() && text.size() <= 64 && text.find_first_of(" \t\r\n\"=") == std::string_view::npos;
    if (!isName) {
        return "'" + std::string(text.substr(0, 80))
            + "' is not a division's name of 1 to 64 characters without spaces";
    }
    policy.division = text;
    return {};
}

static std::string readPlacement(std::string_view text, ServicePolicy &policy)
{
    const std::optional<PlacementPolicy> placement = placementPolicyNamed(text);
    if (!placement) {
        return "'" + std::string(text) + "' is not a placement (hash, bounded, least)";
    }
    policy.placement = *placement;
    return {};
}

static std::string readBound(std::string_view text, ServicePolicy &policy)
{
    const std::optional<double> bound = parseReal(text);
    if (!bound || *bound < 1 || *bound > MaximumBound) {
        return "'" + std::string(text) + "' is not a bound from 1 to 100";
    }
    policy.bound = *bound;
    return {};
}

static std::string readRepeatable(std::string_view text, ServicePolicy &policy)
{
    if (text != "true" && text != "false") {
        return "'" + std::string(text) + "' is neither true nor false";
    }
    policy.repeatable = text == "true";
    return {};
}

template <auto Member>
static constexpr SettingKey durationKey(PolicyKey key, std::string_view name, std::string_view meaning)
{
    return {key, name, "duration", meaning, readDuration<Member>, printDuration<Member>};
}

template <auto Member, std::uint64_t Least, std::uint64_t Most>
static constexpr SettingKey countKey(
    PolicyKey key, std::string_view name, std::string_view unit, std::string_view meaning)
{
    return {key, name, unit, meaning, readCount<Member, Least, Most>, printCount<Member>};
}

using Policy = ServicePolicy;

static constexpr std::array<SettingKey, PolicyKeyCount> Keys{{
    {PolicyKey::Division, "division", "name", "the division that is charged", readDivision,
        [](const Policy &policy) {
            return policy.division;
        }},
    {PolicyKey::Placement, "placement", "hash, bounded or least", "how a new flow gets its target",
        readPlacement,
        [](const Policy &policy) {
            return std::string(placementPolicyName(policy.placement));
        }},
    {PolicyKey::Bound, "bound", "multiple of the mean",
        "the load that a target may have under bounded placement", readBound,
        [](const Policy &policy) {
            return printReal(policy.bound);
        }},
    countKey<&Policy::owners, 1, MaximumOwners>(
        PolicyKey::Owners, "owners", "instances", "how many instances of a data centre place new flows"),
    {PolicyKey::Repeatable, "repeatable", "true or false", "whether a request may run twice", readRepeatable,
        [](const Policy &policy) {
            return std::string(policy.repeatable ? "true" : "false");
        }},
    countKey<&Policy::connectionLimit, 1, MaximumCount>(
        PolicyKey::ConnectionLimit, "connection-limit", "flows", "the flows that one target holds at most"),
    countKey<&Policy::slots, 1, MaximumCount>(
        PolicyKey::Slots, "slots", "requests", "the requests that one target works on at once"),
    countKey<&Policy::newFlowLimit, 0, MaximumCount>(PolicyKey::NewFlowLimit, "new-flow-limit",
        "flows a second", "the new flows that one owner places at most; 0 means no limit"),
    durationKey<&Policy::handshakeTimeout>(
        PolicyKey::HandshakeTimeout, "handshake-timeout", "how long a flow without an answer is kept"),
    durationKey<&Policy::idleTimeout>(
        PolicyKey::IdleTimeout, "idle-timeout", "how long a silent flow is kept"),
    durationKey<&Policy::drainDeadline>(
        PolicyKey::DrainDeadline, "drain-deadline", "how long a leaving instance goes on forwarding"),
    durationKey<&Policy::replicateAfter>(PolicyKey::ReplicateAfter, "replicate-after",
        "the age at which a binding that the table does not give is sent to the backup"),
    durationKey<&Policy::slowStart>(
        PolicyKey::SlowStart, "slow-start", "how long a cold target takes to reach its whole share"),
    durationKey<&Policy::recordInterval>(
        PolicyKey::RecordInterval, "record-interval", "the time between interim records of a flow"),
    {PolicyKey::ObjectiveWhole, "objective-whole", "per cent", "the flows that must end with a whole answer",
        readPercentage<&Policy::objectiveWhole>, printPercentage<&Policy::objectiveWhole>},
    {PolicyKey::ObjectiveRefused, "objective-refused", "per cent", "the flows that may be refused",
        readPercentage<&Policy::objectiveRefused>, printPercentage<&Policy::objectiveRefused>},
    durationKey<&Policy::objectiveFirstPacket>(PolicyKey::ObjectiveFirstPacket, "objective-first-packet",
        "the time to the first packet of an answer"),
    countKey<&Policy::reportPort, 0, 65535>(PolicyKey::ReportPort, "report-port", "port",
        "the port at which each target reports its load over HTTP; 0 means that it does not"),
}};

std::span<const SettingKey> settingKeys()
{
    return Keys;
}

const SettingKey *settingKeyNamed(std::string_view name)
{
    const auto *const found
        = std::find_if(Keys.begin(), Keys.end(), [name](const SettingKey &key) { return key.name == name; });
    return found == Keys.end() ? nullptr : &*found;
}

} // namespace jasminequay
