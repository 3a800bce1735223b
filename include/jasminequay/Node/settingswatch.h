// Notices that the settings file of a running instance has changed.
#pragma once

#include "jasminequay/Settings/steeringinstancesettings.h"

#include <optional>
#include <string>

namespace jasminequay
{

/// Reads the file again when asked to. Settings with mistakes are logged, each with its place, and left out.
class SettingsWatch
{
public:
    /// `text` is what the file held when the instance started.
    SettingsWatch(std::string path, std::string text);

    /// Returns the settings if the file has changed since the last call and holds no mistakes.
    std::optional<SteeringInstanceSettings> poll();

private:
    std::string m_path;
    std::string m_text;
};

} // namespace jasminequay
