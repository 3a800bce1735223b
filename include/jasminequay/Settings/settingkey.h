// The table of inherited settings: the name, unit, meaning, parser and printer of each.
#pragma once

#include "jasminequay/Settings/servicepolicy.h"

#include <span>
#include <string>
#include <string_view>

namespace jasminequay
{

/// One inherited setting.
struct SettingKey {
    PolicyKey key;
    std::string_view name;
    std::string_view unit;
    std::string_view meaning;
    /// Reads the text into the policy; returns what is wrong, or an empty text.
    std::string (*read)(std::string_view text, ServicePolicy &policy);
    /// Prints the value in force.
    std::string (*print)(const ServicePolicy &policy);
};

/// Returns the table, in the order of PolicyKey.
std::span<const SettingKey> settingKeys();

/// Returns the setting with this name, or null.
const SettingKey *settingKeyNamed(std::string_view name);

} // namespace jasminequay
