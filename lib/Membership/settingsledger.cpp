#include "jasminequay/Membership/settingsledger.h"

#include "jasminequay/Settings/treeparser.h"

namespace jasminequay
{

Offer SettingsLedger::offer(const std::string &text)
{
    if (text == m_text) {
        return Offer::Stale;
    }
    ParsedTree tree = parseTree(text);
    if (!tree.mistakes.empty()) {
        m_mistakes = std::move(tree.mistakes);
        return Offer::Refused;
    }
    if (tree.configuration.version == m_configuration.version) {
        return Offer::Conflicting;
    }
    if (tree.configuration.version < m_configuration.version) {
        return Offer::Stale;
    }
    m_configuration = std::move(tree.configuration);
    m_text = text;
    return Offer::Accepted;
}

} // namespace jasminequay
