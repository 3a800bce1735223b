#include "jasminequay/Node/settingswatch.h"

#include "jasminequay/Support/logevent.h"

#include <fstream>
#include <iterator>

namespace jasminequay
{

SettingsWatch::SettingsWatch(std::string path, std::string text)
    : m_path(std::move(path))
    , m_text(std::move(text))
{
}

std::optional<SteeringInstanceSettings> SettingsWatch::poll()
{
    std::ifstream file(m_path, std::ios::binary);
    std::string text{std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
    // A file that is being replaced may briefly be missing or empty.
    if (!file.good() && !file.eof()) {
        return std::nullopt;
    }
    if (text.empty() || text == m_text) {
        return std::nullopt;
    }
    m_text = std::move(text);
    const ParsedSteeringInstanceSettings parsed = parseSteeringInstanceSettings(m_text);
    for (const Mistake &mistake : parsed.mistakes) {
        LogEvent(Severity::Error, "settings-refused").with("mistake", describe(mistake, m_path));
    }
    return parsed.mistakes.empty() ? std::optional(parsed.settings) : std::nullopt;
}

} // namespace jasminequay
