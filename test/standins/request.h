// What a caller asks of a target, and the answer that it must get.
#pragma once

#include "jasminequay/Packet/checksum.h"

#include <array>
#include <cstdint>
#include <optional>
#include <span>

namespace jasminequay::standin
{

constexpr std::size_t RequestSize = 16;

/// A request: a service, a number of its own and the size of the answer.
struct Request {
    std::uint32_t service = 0;
    std::uint32_t number = 0;
    std::uint32_t answerSize = 0;
    std::uint32_t paceBytes
        = 0; ///< Bytes of the answer in a tenth of a second; zero means as fast as it goes.

    [[nodiscard]] std::array<std::uint8_t, RequestSize> encode() const
    {
        std::array<std::uint8_t, RequestSize> bytes{};
        storeLong(bytes, 0, service);
        storeLong(bytes, 4, number);
        storeLong(bytes, 8, answerSize);
        storeLong(bytes, 12, paceBytes);
        return bytes;
    }

    static std::optional<Request> decode(std::span<const std::uint8_t> bytes)
    {
        if (bytes.size() != RequestSize) {
            return std::nullopt;
        }
        return Request{loadLong(bytes, 0), loadLong(bytes, 4), loadLong(bytes, 8), loadLong(bytes, 12)};
    }
};

/// Returns a byte of the answer to a request. Answers to different requests differ in every byte with high
/// probability.
constexpr std::uint8_t answerByte(std::uint32_t number, std::uint32_t offset)
{
    return static_cast<std::uint8_t>((number * 2654435761U + offset * 40503U) >> 13);
}

} // namespace jasminequay::standin
