// Keeps the settings in force: versions only increase, and the last valid one is kept.
#pragma once

#include "jasminequay/Settings/configuration.h"
#include "jasminequay/Settings/mistake.h"

#include <cstdint>
#include <string>

namespace jasminequay
{

/// The outcome of offering a settings text.
enum class OfferOutcome : std::uint8_t {
    Accepted,
    Stale, ///< Its version is not higher: an old copy, or the text that is in force already.
    Conflicting, ///< It has the version in force but different content; the settings in force stay.
    Refused, ///< It has mistakes; the settings in force stay.
};

/// Keeps the settings in force. An accepted version is never replaced by a lower one.
class SettingsLedger
{
public:
    /// Checks a text from the platform, a peer or a file, and puts it in force if its version is higher.
    OfferOutcome offer(const std::string &text);

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

    /// Returns the text in force, to be sent to peers.
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
