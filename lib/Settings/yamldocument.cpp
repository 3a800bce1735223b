#include "jasminequay/Settings/yamldocument.h"

#include <algorithm>

namespace jasminequay
{

constexpr std::size_t MaximumDepth = 64;

/// Deep nesting is refused before the recursive parser sees it.
static std::string forbiddenShape(const std::string &text)
{
    std::size_t depth = 0;
    std::size_t indicators = 0;
    for (const char character : text) {
        if (character == '\0') {
            return "the document holds a zero byte";
        }
        if (character == '[' || character == '{') {
            ++depth;
        }
        if ((character == ']' || character == '}') && depth > 0) {
            --depth;
        }
        const bool nests = character == '-' || character == '?' || character == ':' || character == ' ';
        const bool isIndicator = nests && character != ' ';
        indicators = isIndicator ? indicators + 1 : (nests ? indicators : 0);
        if (depth > MaximumDepth || indicators > MaximumDepth) {
            return "the document is nested more than " + std::to_string(MaximumDepth) + " deep";
        }
    }
    return {};
}

std::optional<YAML::Node> loadDocument(const std::string &text, std::size_t maximumSize, Mistakes &mistakes)
{
    if (text.size() > maximumSize) {
        mistakes.push_back(
            {0, 0, {}, "the document is larger than " + std::to_string(maximumSize) + " bytes"});
        return std::nullopt;
    }
    if (std::string message = forbiddenShape(text); !message.empty()) {
        mistakes.push_back({0, 0, {}, std::move(message)});
        return std::nullopt;
    }
    try {
        return YAML::Load(text);
    } catch (const YAML::Exception &exception) {
        const bool hasMark = !exception.mark.is_null();
        const std::size_t line = hasMark ? static_cast<std::size_t>(exception.mark.line) + 1 : 0;
        const std::size_t column = hasMark ? static_cast<std::size_t>(exception.mark.column) + 1 : 0;
        mistakes.push_back({line, column, {}, "not YAML: " + exception.msg});
    } catch (const std::exception &exception) {
        mistakes.push_back({0, 0, {}, std::string("not YAML: ") + exception.what()});
    }
    return std::nullopt;
}

} // namespace jasminequay
