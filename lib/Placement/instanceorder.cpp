#include "jasminequay/Placement/instanceorder.h"

#include "jasminequay/Support/hash.h"

#include <algorithm>

namespace jasminequay
{

std::vector<InstanceId> firstInstances(
    std::string_view name, const std::vector<InstanceId> &instances, std::size_t count)
{
    const std::uint64_t key = hashText(name);
    std::vector<InstanceId> order = instances;
    const std::size_t kept = std::min(count, order.size());
    std::partial_sort(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(kept), order.end(),
        [key](InstanceId left, InstanceId right) {
            return hashWords(key, left.value) > hashWords(key, right.value);
        });
    order.resize(kept);
    return order;
}

} // namespace jasminequay
