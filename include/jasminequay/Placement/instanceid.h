// The identity of an instance, the same at every peer.
#pragma once

#include "jasminequay/Support/hash.h"

#include <compare>
#include <cstdint>
#include <string_view>

namespace jasminequay
{

/// An instance, known by the hash of its name. Zero stands for no instance.
struct InstanceId {
    std::uint64_t value = 0;

    auto operator<=>(const InstanceId &) const = default;
};

/// Returns the identity of the instance with this name.
inline InstanceId instanceIdOf(std::string_view name)
{
    return {hashText(name)};
}

} // namespace jasminequay
