#include "jasminequay/Settings/settingparsers.h"

namespace jasminequay
{

std::optional<std::string> parseName(std::string_view text)
{
    const bool isName
        = !text.empty() && text.size() <= 64 && text.find_first_of(" \t\r\n\"=/") == std::string_view::npos;
    return isName ? std::optional<std::string>(text) : std::nullopt;
}

std::optional<std::string> parseLogLevel(std::string_view text)
{
    const bool isLevel = text == "info" || text == "warning" || text == "error";
    return isLevel ? std::optional<std::string>(text) : std::nullopt;
}

std::optional<bool> parseTruth(std::string_view text)
{
    if (text != "true" && text != "false") {
        return std::nullopt;
    }
    return text == "true";
}

std::optional<Duration> parseFractionalDuration(std::string_view text)
{
    const bool isMilliseconds = text.ends_with("ms");
    if (!isMilliseconds && !text.ends_with("s")) {
        return std::nullopt;
    }
    constexpr double LongestSeconds = 1e6;
    const std::optional<double> amount = parseReal(text.substr(0, text.size() - (isMilliseconds ? 2 : 1)));
    if (!amount || *amount < 0 || *amount > LongestSeconds) {
        return std::nullopt;
    }
    const std::chrono::duration<double> seconds(isMilliseconds ? *amount / 1000 : *amount);
    return std::chrono::duration_cast<Duration>(seconds);
}

std::optional<Duration> parseSignedDuration(std::string_view text)
{
    const bool isNegative = text.starts_with('-');
    const std::optional<Duration> amount = parseFractionalDuration(isNegative ? text.substr(1) : text);
    return isNegative && amount ? std::optional(-*amount) : amount;
}

} // namespace jasminequay
