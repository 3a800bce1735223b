// Detects changes of the settings file while an instance runs.
#pragma once

#include "jasminequay/Settings/steeringinstancesettings.h"

#include <optional>
#include <string>

namespace jasminequay
{

/// Reads the file again on request. If it contains mistakes, each is logged with its position and the file is
/// ignored.
class SettingsWatch
{
public:
    /// `text` is the content of the file when the instance started.
    SettingsWatch(std::string path, std::string text);

    /// Returns the settings if the file has changed since the last call and contains no mistakes.
    std::optional<SteeringInstanceSettings> poll();

private:
    std::string m_path;
    std::string m_text;
};

} // namespace jasminequay
