#include "soakfabric.h"

#include "jasminequay/Platform/httpexchange.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace jasminequay::soak
{

namespace asio = boost::asio;
using std::chrono::milliseconds;

constexpr Duration WatchInterval = milliseconds(500);
constexpr Duration WatchTimeout = milliseconds(400);
constexpr std::size_t LargestPage = 1024;
constexpr unsigned StatusOk = 200;

SoakFabric::SoakFabric(asio::io_context &context, const std::vector<std::unique_ptr<SoakInstance>> &instances,
    Promises &promises, std::uint64_t seed)
    : m_context(context)
    , m_instances(instances)
    , m_promises(promises)
    , m_misses(instances.size(), MissesAllowed)
{
    for (std::size_t index = 0; index < instances.size(); ++index) {
        m_links.emplace_back(context, seed + index);
        m_byAddress[instances[index]->place().packets] = index;
        asio::co_spawn(context, watch(index), asio::detached);
    }
}

asio::awaitable<void> SoakFabric::watch(std::size_t instance)
{
    asio::steady_timer timer(m_context);
    while (true) {
        const unsigned generation = m_instances[instance]->generation();
        const HttpAnswer answer = co_await httpGet(m_instances[instance]->place().readiness, "/v1/readyz",
            {WatchTimeout, LargestPage}, Step::ConnectPeer);
        const bool isReady = !answer.failure && answer.status == StatusOk;
        m_misses[instance] = isReady ? 0 : std::min(m_misses[instance] + 1, MissesAllowed);
        InstanceState &state = m_promises.instances[instance];
        const bool isSameProcess = generation == m_instances[instance]->generation();
        if (isReady && isSameProcess && state.readySince == TimePoint{}) {
            state.readySince = std::chrono::steady_clock::now();
        }
        timer.expires_after(WatchInterval);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
}

std::size_t SoakFabric::instanceAt(Endpoint packets) const
{
    const auto found = m_byAddress.find(packets);
    return found == m_byAddress.end() ? m_instances.size() : found->second;
}

bool SoakFabric::isWhole() const
{
    return std::all_of(
        m_misses.begin(), m_misses.end(), [](unsigned misses) { return misses < MissesAllowed; });
}

std::size_t SoakFabric::send(DatagramSocket &socket, const std::string &bytes, std::uint64_t flowHash)
{
    std::vector<std::size_t> rotation;
    for (std::size_t index = 0; index < m_misses.size(); ++index) {
        if (isReady(index)) {
            rotation.push_back(index);
        }
    }
    // With fewer than half in rotation the fabric uses all.
    const bool areTooFew = rotation.size() * 2 < m_misses.size();
    const std::size_t instance
        = areTooFew ? flowHash % m_misses.size() : rotation[flowHash % rotation.size()];
    sendTo(socket, bytes, instance);
    return instance;
}

void SoakFabric::sendTo(DatagramSocket &socket, const std::string &bytes, std::size_t instance)
{
    const Endpoint to = m_instances[instance]->place().packets;
    m_links[instance].carry([&socket, bytes, to]() { socket.send(bytes, to); });
}

} // namespace jasminequay::soak
