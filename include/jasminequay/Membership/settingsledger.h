// Which version of the settings is in force: growing versions only, the last good one kept.
#pragma once

#include "jasminequay/Settings/configuration.h"
#include "jasminequay/Settings/mistake.h"

#include <cstdint>
#include <string>

namespace jasminequay
{

/// What became of a settings text that was offered.
enum class Offer : std::uint8_t {
    Accepted,
    Stale, ///< Its version does not grow: an old copy, or one that is in force already.
    Conflicting, ///< It has the version in force but other content; what is in force stays.
    Refused, ///< It has mistakes; what is in force stays.
};

/// Keeps the settings in force. A version once accepted is never replaced by a lower one.
class SettingsLedger
{
public:
    /// Checks a text from the platform, a peer or a file, and puts it in force if its version grows.
    Offer offer(const std::string &text);

    /// Returns the version in force; zero before the first.
    [[nodiscard]] std::uint64_t version() const
    {
        return m_configuration.version;
    }

    /// Returns the settings in force.
    [[nodiscard]] const Configuration &configuration() const
    {
        return m_configuration;
    }

    /// Returns the text in force, to hand on to peers.
    [[nodiscard]] const std::string &text() const
    {
        return m_text;
    }

    /// Returns the mistakes of the last text that was refused.
    [[nodiscard]] const Mistakes &mistakes() const
    {
        return m_mistakes;
    }

private:
    Configuration m_configuration;
    std::string m_text;
    Mistakes m_mistakes;
};

} // namespace jasminequay
