#include "jasminequay/Steering/steeringtoken.h"

#include "jasminequay/Support/hash.h"

#include <cassert>

namespace jasminequay
{

/// The upper two bits of a token hold its number, so that the tokens of one target always differ; the lower
/// bits hold a hash.
constexpr unsigned HashBits = 30;
constexpr SteeringToken HashMask = (SteeringToken{1} << HashBits) - 1;

static_assert(TokensPerTarget <= 1U << (32 - HashBits));

std::uint64_t TargetIdentity::key() const
{
    return hashWords(id, static_cast<std::uint64_t>(startedAt));
}

SteeringToken steeringToken(std::uint64_t targetKey, unsigned number)
{
    assert(number < TokensPerTarget && "a target has no token of this number");
    const auto hash = static_cast<SteeringToken>(hashWords(targetKey, number)) & HashMask;
    return (SteeringToken{number} << HashBits) | (hash == 0 ? 1 : hash);
}

} // namespace jasminequay
