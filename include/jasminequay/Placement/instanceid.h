// The ID of an instance, which is the same at every peer.
#pragma once

#include "jasminequay/Support/hash.h"

#include <compare>
#include <cstdint>
#include <string_view>

namespace jasminequay
{

/// The hash of an instance's name. Zero stands for no instance.
struct InstanceId {
    std::uint64_t value = 0;

    auto operator<=>(const InstanceId &) const = default;
};

/// Returns the ID of the instance with this name.
inline InstanceId instanceIdOf(std::string_view name)
{
    return {hashText(name)};
}

} // namespace jasminequay
