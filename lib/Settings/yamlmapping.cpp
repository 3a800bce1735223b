#include "jasminequay/Settings/yamlmapping.h"

namespace jasminequay
{

void addMistake(Mistakes &mistakes, const YAML::Node &node, std::string path, std::string message)
{
    const YAML::Mark mark = node.IsDefined() ? node.Mark() : YAML::Mark::null_mark();
    const bool hasMark = !mark.is_null();
    const std::size_t line = hasMark ? static_cast<std::size_t>(mark.line) + 1 : 0;
    const std::size_t column = hasMark ? static_cast<std::size_t>(mark.column) + 1 : 0;
    mistakes.push_back({line, column, std::move(path), std::move(message)});
}

std::size_t lineOf(const YAML::Node &node)
{
    return node.Mark().is_null() ? 0 : static_cast<std::size_t>(node.Mark().line) + 1;
}

YamlMapping::YamlMapping(const YAML::Node &node, std::string path, Mistakes &mistakes)
    : m_node(node)
    , m_path(std::move(path))
    , m_mistakes(mistakes)
{
    if (!node.IsMap()) {
        addMistake(mistakes, node, m_path, "a mapping is expected here");
        return;
    }
    for (const auto &entry : node) {
        if (!entry.first.IsScalar()) {
            addMistake(mistakes, entry.first, m_path, "a key is not a text");
            continue;
        }
        const std::string &key = entry.first.Scalar();
        if (!m_entries.emplace(key, entry.second).second) {
            addMistake(mistakes, entry.first, pathOf(key), "the key '" + key + "' stands twice");
            continue;
        }
        m_keys.push_back(key);
    }
}

std::string YamlMapping::pathOf(std::string_view key) const
{
    return m_path.empty() ? std::string(key) : m_path + "/" + std::string(key);
}

YAML::Node YamlMapping::peek(std::string_view key) const
{
    const auto found = m_entries.find(key);
    return found == m_entries.end() ? YAML::Node(YAML::NodeType::Undefined) : found->second;
}

YAML::Node YamlMapping::take(std::string_view key)
{
    m_taken.emplace(key);
    return peek(key);
}

std::optional<std::string> YamlMapping::takeText(std::string_view key)
{
    const YAML::Node node = take(key);
    if (!node.IsDefined()) {
        return std::nullopt;
    }
    if (!node.IsScalar()) {
        addMistake(m_mistakes, node, pathOf(key), "a single value is expected here");
        return std::nullopt;
    }
    return node.Scalar();
}

void YamlMapping::reportAbsent(std::string_view key, bool isAbsent)
{
    if (isAbsent) {
        addMistake(m_mistakes, m_node, pathOf(key), "the key '" + std::string(key) + "' is missing");
    }
}

void YamlMapping::refuseRest()
{
    for (const std::string &key : m_keys) {
        if (!m_taken.contains(key)) {
            addMistake(m_mistakes, m_entries.at(key), pathOf(key), "the key '" + key + "' is unknown here");
        }
    }
}

} // namespace jasminequay
