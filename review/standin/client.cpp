#include "client.h"

#include <algorithm>
#include <cstdlib>

namespace review
{

constexpr double CopyAfter[] = {0.2, 0.6};
constexpr double OpeningTimeout = 1.4;
constexpr double Deadline = 5;
constexpr double FirstRepeat = 0.2;
constexpr double LongestRepeat = 1.6;
constexpr std::int32_t ResetWindow = 76800;

Clients::Clients(std::vector<Address> addresses, ClientHooks hooks)
    : m_addresses(std::move(addresses))
    , m_hooks(std::move(hooks))
{
}

bool Clients::open()
{
    for (const Address address : m_addresses) {
        const int descriptor = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
        const sockaddr_in local = toSocketAddress(address);
        if (bind(descriptor, reinterpret_cast<const sockaddr *>(&local), sizeof local) != 0) {
            return false;
        }
        m_sockets.push_back(descriptor);
    }
    return true;
}

ClientFlow &Clients::start(Address route, bool mayRepeat, unsigned requests, int direct)
{
    ClientFlow flow;
    flow.self = {m_addresses[m_nextPort % m_addresses.size()].ip, m_nextPort};
    m_nextPort = m_nextPort < 60000 ? m_nextPort + 1 : 20000;
    flow.route = route;
    flow.mayRepeat = mayRepeat;
    flow.direct = direct;
    flow.requestsLeft = requests;
    flow.seq = static_cast<std::uint32_t>(m_random());
    flow.openedAt = now();
    ClientFlow &kept = m_flows.insert_or_assign({flow.self, route}, flow).first->second;
    send(kept, Syn, kept.seq, 0, {});
    return kept;
}

void Clients::send(
    ClientFlow &flow, std::uint8_t flags, std::uint32_t seq, std::uint32_t ack, const std::string &data)
{
    const Packet packet{flow.echo, flags, seq, ack, flow.self, flow.route, data, true, false};
    std::uint64_t hash = (std::uint64_t{flow.self.ip} << 16 | flow.self.port) * 0x9e3779b97f4a7c15;
    hash ^= (std::uint64_t{flow.route.ip} << 16 | flow.route.port) * 0xc2b2ae3d27d4eb4f;
    hash = (hash ^ hash >> 29) * 0xbf58476d1ce4e5b9;
    const std::size_t socket = flow.self.port % m_addresses.size();
    flow.lastPacketAt = now();
    m_hooks.route(m_sockets[socket], encode(packet), hash >> 17, flow.direct);
}

void Clients::receive(int socket)
{
    char buffer[2048];
    sockaddr_in from{};
    socklen_t length = sizeof from;
    ssize_t size = 0;
    while ((size = recvfrom(socket, buffer, sizeof buffer, 0, reinterpret_cast<sockaddr *>(&from), &length))
        > 0) {
        if (const auto packet = decode({buffer, static_cast<std::size_t>(size)})) {
            take(*packet, {ntohl(from.sin_addr.s_addr), ntohs(from.sin_port)});
        }
    }
}

void Clients::take(const Packet &packet, Address from)
{
    const auto found = m_flows.find({packet.destination, packet.source});
    if (found == m_flows.end() || found->second.stage == FlowStage::Ended
        || (!packet.isGenuine && !packet.isSystemReset)) {
        return;
    }
    ClientFlow &flow = found->second;
    if ((packet.flags & Rst) != 0) {
        takeReset(flow, packet, from);
        return;
    }
    // The last echo that was received on the flow goes into the client's own packets.
    flow.echo = packet.echo;
    if ((packet.flags & Syn) != 0) {
        if (flow.stage == FlowStage::Opening) {
            flow.stage = FlowStage::Open;
            flow.establishedAt = now();
            flow.received = packet.seq + 1;
            ++flow.seq;
            ask(flow);
        }
        return;
    }
    if (packet.data.empty()) {
        return;
    }
    if (packet.seq != flow.received || flow.request.empty()) {
        send(flow, Ack, flow.seq, flow.received, {});
        return;
    }
    flow.received += static_cast<std::uint32_t>(packet.data.size());
    flow.seq += static_cast<std::uint32_t>(flow.request.size());
    if (packet.data.find(flow.request) == std::string::npos) {
        m_hooks.log("client " + text(flow.self) + " got a body that isn't its own");
    }
    const std::string number = flow.request.substr(5, flow.request.find('/', 5) - 5);
    m_hooks.log("client " + text(flow.self) + " to " + text(flow.route) + " has the answer to " + number);
    flow.request.clear();
    ++m_counts.answered;
    send(flow, Ack, flow.seq, flow.received, {});
    if (--flow.requestsLeft == 0) {
        send(flow, Fin | Ack, flow.seq, flow.received, {});
        end(flow);
        return;
    }
    flow.nextAskAt = now() + 0.4 + (m_random() % 1000) / 1000.0;
}

void Clients::takeReset(ClientFlow &flow, const Packet &packet, Address from)
{
    const auto distance = static_cast<std::int32_t>(packet.seq - flow.received);
    const bool isTooFar
        = packet.isSystemReset && flow.stage == FlowStage::Open && std::abs(distance) > ResetWindow;
    if (isTooFar) {
        return;
    }
    ++m_counts.reset;
    m_hooks.onReset(flow, packet, from);
    end(flow);
}

void Clients::ask(ClientFlow &flow)
{
    flow.request = "GET /" + std::to_string(++m_requests) + "/" + text(flow.self) + " HTTP/1.1\r\n\r\n";
    flow.askedAt = now();
    flow.interval = FirstRepeat;
    flow.repeatAt = now() + flow.interval;
    ++m_counts.asked;
    m_hooks.log(
        "client " + text(flow.self) + " to " + text(flow.route) + " asks " + std::to_string(m_requests));
    send(flow, Ack, flow.seq, flow.received, flow.request);
}

void Clients::end(ClientFlow &flow)
{
    flow.stage = FlowStage::Ended;
    flow.request.clear();
}

std::size_t Clients::openFlows() const
{
    return static_cast<std::size_t>(std::count_if(m_flows.begin(), m_flows.end(),
        [](const auto &item) { return item.second.stage == FlowStage::Open; }));
}

void Clients::tick()
{
    const double at = now();
    for (auto &[key, flow] : m_flows) {
        if (flow.stage == FlowStage::Opening) {
            if (at - flow.openedAt >= OpeningTimeout) {
                m_hooks.log("client " + text(flow.self) + " gives up: its flow did not open");
                ++m_counts.notOpened;
                end(flow);
            } else if (flow.copies < 2 && at - flow.openedAt >= CopyAfter[flow.copies]) {
                ++flow.copies;
                send(flow, Syn, flow.seq, flow.copies, {});
            }
        } else if (flow.stage == FlowStage::Open && flow.request.empty()) {
            if (at >= flow.nextAskAt) {
                ask(flow);
            }
        } else if (flow.stage == FlowStage::Open) {
            if (at - flow.askedAt >= Deadline) {
                m_hooks.log("client " + text(flow.self) + " gives up: no answer before its deadline");
                ++m_counts.timedOut;
                end(flow);
            } else if (at >= flow.repeatAt) {
                flow.interval = std::min(2 * flow.interval, LongestRepeat);
                flow.repeatAt = at + flow.interval;
                send(flow, Ack, flow.seq, flow.received, flow.request);
            }
        }
    }
    std::erase_if(m_flows, [at](const auto &item) {
        return item.second.stage == FlowStage::Ended && at - item.second.lastPacketAt > Deadline;
    });
}

} // namespace review
