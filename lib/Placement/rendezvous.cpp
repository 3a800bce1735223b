#include "jasminequay/Placement/rendezvous.h"

#include "jasminequay/Support/hash.h"

#include <cassert>
#include <cmath>

namespace jasminequay
{

double rendezvousScore(std::uint64_t key, std::uint64_t node, double weight)
{
    assert(weight > 0 && "a rendezvous weight must be above zero");
    constexpr double Scale = 1.0 / 9007199254740992.0; // 2^-53, which maps 53 hash bits to (0, 1)
    const double uniform = (static_cast<double>(hashWords(key, node) >> 11) + 0.5) * Scale;
    return weight / -std::log(uniform);
}

} // namespace jasminequay
