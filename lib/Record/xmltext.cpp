#include "xmltext.h"

namespace jasminequay
{

std::string escapeXml(std::string_view text)
{
    std::string escaped;
    for (const char character : text) {
        switch (character) {
        case '&':
            escaped += "&amp;";
            break;
        case '<':
            escaped += "&lt;";
            break;
        default:
            escaped += character;
        }
    }
    return escaped;
}

} // namespace jasminequay
