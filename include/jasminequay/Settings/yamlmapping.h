// A checked view of one YAML mapping: duplicates and wrong kinds become mistakes.
#pragma once

#include "jasminequay/Settings/mistake.h"

#include <yaml-cpp/yaml.h>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace jasminequay
{

/// Adds a mistake at the place of a node.
void addMistake(Mistakes &mistakes, const YAML::Node &node, std::string path, std::string message);

/// Returns the line of a node, counted from one.
std::size_t lineOf(const YAML::Node &node);

/// The entries of one mapping. Each entry must be taken; `refuseRest` reports those that nobody took.
class YamlMapping
{
public:
    /// Reads `node`, which must be a mapping; reports duplicate keys and keys that are not text.
    YamlMapping(const YAML::Node &node, std::string path, Mistakes &mistakes);

    /// Takes an entry of any kind; an undefined node where it is absent.
    YAML::Node take(std::string_view key);

    /// Takes a text; nothing where it is absent or of another kind, which is reported.
    std::optional<std::string> takeText(std::string_view key);

    /// Takes a text and parses it; reports what does not parse as "not <kind>". Absence is reported if
    /// `required`.
    template <typename Value, typename Parser>
    void takeParsed(std::string_view key, std::string_view kind, bool required, Parser parser, Value &value)
    {
        const YAML::Node node = peek(key);
        const std::optional<std::string> text = takeText(key);
        if (!text) {
            reportAbsent(key, required && !node.IsDefined());
            return;
        }
        if (const auto parsed = parser(*text)) {
            value = static_cast<Value>(*parsed);
            return;
        }
        addMistake(m_mistakes, node, pathOf(key), "'" + *text + "' is not " + std::string(kind));
    }

    /// Reports each entry that nobody took as an unknown key.
    void refuseRest();

    /// Returns the path of an entry.
    [[nodiscard]] std::string pathOf(std::string_view key) const;

    /// Returns the keys in the order of the document.
    [[nodiscard]] const std::vector<std::string> &keys() const
    {
        return m_keys;
    }

    /// Returns an entry without taking it.
    [[nodiscard]] YAML::Node peek(std::string_view key) const;

private:
    void reportAbsent(std::string_view key, bool isAbsent);

    YAML::Node m_node;
    std::string m_path;
    Mistakes &m_mistakes;
    std::vector<std::string> m_keys;
    std::map<std::string, YAML::Node, std::less<>> m_entries;
    std::set<std::string, std::less<>> m_taken;
};

} // namespace jasminequay
