#include "compression.h"

#include <zlib.h>

namespace jasminequay
{

std::string deflateText(const std::string &text)
{
    uLongf size = compressBound(text.size());
    std::string deflated(size, '\0');
    compress(reinterpret_cast<Bytef *>(deflated.data()), &size, reinterpret_cast<const Bytef *>(text.data()),
        text.size());
    deflated.resize(size);
    return deflated;
}

std::optional<std::string> inflateText(const std::string &deflated, std::size_t size)
{
    std::string text(size, '\0');
    uLongf written = size;
    const int status = uncompress(reinterpret_cast<Bytef *>(text.data()), &written,
        reinterpret_cast<const Bytef *>(deflated.data()), deflated.size());
    return status == Z_OK && written == size ? std::optional(std::move(text)) : std::nullopt;
}

} // namespace jasminequay
