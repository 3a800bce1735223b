// Service-level burn: how fast each service uses up the failures that its objectives allow.
#pragma once

#include "jasminequay/Record/connectionrecord.h"
#include "jasminequay/Settings/configuration.h"

#include <array>
#include <cstdint>
#include <string>
#include <vector>

namespace jasminequay
{

/// A window that burn is computed over.
struct BurnWindow {
    std::string_view name;
    std::int64_t milliseconds;
};

constexpr std::array<BurnWindow, 4> BurnWindows{
    {{"5m", 300'000}, {"1h", 3'600'000}, {"6h", 21'600'000}, {"3d", 259'200'000}}};

/// An objective of a service.
enum class Objective : std::uint8_t {
    Whole, ///< Flows end with a whole answer.
    Refused, ///< Few flows are refused.
    FirstPacket, ///< Answers begin in time.
};

constexpr std::array<Objective, 3> Objectives{Objective::Whole, Objective::Refused, Objective::FirstPacket};

std::string_view objectiveName(Objective objective);

/// The events of one objective in one window.
struct BurnCell {
    std::uint64_t events = 0;
    std::uint64_t bad = 0;
    double allowed = 0; ///< The share of events that may be bad.

    /// Returns the share of bad events over the allowed share: above one the objective will be missed.
    [[nodiscard]] double rate() const;
};

/// The burn of one service.
struct ServiceBurn {
    std::string service;
    std::array<std::array<BurnCell, BurnWindows.size()>, Objectives.size()> cells{};
};

/// Computes the burn of each service at a moment. Windows are the multi-window burn rates of Beyer et al.,
/// "The Site Reliability Workbook", 2018, chapter 5.
std::vector<ServiceBurn> computeBurn(
    const std::vector<ConnectionRecord> &records, const Configuration &configuration, std::int64_t now);

} // namespace jasminequay
