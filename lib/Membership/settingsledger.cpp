#include "jasminequay/Membership/settingsledger.h"

#include "jasminequay/Settings/treeparser.h"

namespace jasminequay
{

OfferOutcome SettingsLedger::offer(const std::string &text)
{
    if (text == m_text) {
        return OfferOutcome::Stale;
    }
    ParsedTree tree = parseTree(text);
    if (!tree.mistakes.empty()) {
        m_mistakes = std::move(tree.mistakes);
        return OfferOutcome::Refused;
    }
    if (tree.configuration.version == m_configuration.version) {
        return OfferOutcome::Conflicting;
    }
    if (tree.configuration.version < m_configuration.version) {
        return OfferOutcome::Stale;
    }
    m_configuration = std::move(tree.configuration);
    m_text = text;
    return OfferOutcome::Accepted;
}

} // namespace jasminequay
