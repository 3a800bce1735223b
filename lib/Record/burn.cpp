#include "jasminequay/Record/burn.h"

#include "jasminequay/Support/enumnames.h"

#include <map>
#include <optional>

namespace jasminequay
{

static constexpr EnumNames<Objective, 3> ObjectiveNames{{{Objective::Whole, "whole-answer"},
    {Objective::Refused, "refused"}, {Objective::FirstPacket, "first-packet"}}};

/// The share of answers that may begin late; the objective itself is a time.
constexpr double AllowedLate = 0.01;

std::string_view objectiveName(Objective objective)
{
    return nameIn(ObjectiveNames, objective);
}

double BurnCell::rate() const
{
    if (events == 0 || bad == 0) {
        return 0;
    }
    const double share = static_cast<double>(bad) / static_cast<double>(events);
    return allowed > 0 ? share / allowed : share * 1e6;
}

static bool isWhole(EndCause cause)
{
    return cause == EndCause::Finished || cause == EndCause::Idle;
}

/// Tells whether the record is an event of the objective, and if so whether a bad one.
static std::optional<bool> badness(const FlowRecord &flow, Objective objective, const ServicePolicy &policy)
{
    const bool isEnd = flow.isOwner && flow.cause != EndCause::Interim;
    switch (objective) {
    case Objective::Whole:
        return isEnd && flow.cause != EndCause::Refused ? std::optional(!isWhole(flow.cause)) : std::nullopt;
    case Objective::Refused:
        return isEnd ? std::optional(flow.cause == EndCause::Refused) : std::nullopt;
    case Objective::FirstPacket:
        return isEnd && flow.firstAnswer.count() > 0
            ? std::optional(flow.firstAnswer > policy.objectiveFirstPacket)
            : std::nullopt;
    }
    return std::nullopt;
}

static double allowedShare(Objective objective, const ServicePolicy &policy)
{
    switch (objective) {
    case Objective::Whole:
        return (100 - policy.objectiveWhole) / 100;
    case Objective::Refused:
        return policy.objectiveRefused / 100;
    case Objective::FirstPacket:
        return AllowedLate;
    }
    return 0;
}

static void countRecord(
    ServiceBurn &burn, const ConnectionRecord &record, const ServicePolicy &policy, std::int64_t now)
{
    for (const Objective objective : Objectives) {
        const std::optional<bool> isBad = badness(record.flow, objective, policy);
        if (!isBad) {
            continue;
        }
        for (std::size_t window = 0; window < BurnWindows.size(); ++window) {
            if (record.at > now || now - record.at > BurnWindows[window].milliseconds) {
                continue;
            }
            BurnCell &cell = burn.cells[static_cast<std::size_t>(objective)][window];
            ++cell.events;
            cell.bad += *isBad ? 1 : 0;
        }
    }
}

std::vector<ServiceBurn> computeBurn(
    const std::vector<ConnectionRecord> &records, const Configuration &configuration, std::int64_t now)
{
    std::map<std::string, ServicePolicy> policies;
    std::map<std::string, ServiceBurn> burns;
    for (const ServiceSettings &service : configuration.services) {
        policies.emplace(service.name, service.policy);
        burns[service.name].service = service.name;
    }
    for (const ConnectionRecord &record : records) {
        ServiceBurn &burn = burns[record.flow.service];
        burn.service = record.flow.service;
        countRecord(burn, record, policies[record.flow.service], now);
    }
    std::vector<ServiceBurn> result;
    for (auto &[name, burn] : burns) {
        for (const Objective objective : Objectives) {
            for (BurnCell &cell : burn.cells[static_cast<std::size_t>(objective)]) {
                cell.allowed = allowedShare(objective, policies[name]);
            }
        }
        result.push_back(std::move(burn));
    }
    return result;
}

} // namespace jasminequay
