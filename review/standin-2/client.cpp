#include "sockets.h"
#include "world.h"

#include <algorithm>

#include <unistd.h>

namespace review
{

using std::chrono::milliseconds;

constexpr auto FirstCopy = milliseconds(200);
constexpr auto SecondCopy = milliseconds(600);
constexpr auto OpeningTimeout = milliseconds(1400);
constexpr auto FirstRepeat = milliseconds(200);
constexpr auto LongestRepeat = milliseconds(1600);
constexpr auto Deadline = milliseconds(2000);
constexpr auto ShortestFlow = milliseconds(4000);
constexpr unsigned FlowSpreadMs = 8000;
constexpr auto Pause = milliseconds(150);
constexpr std::size_t AnswerSize = 4000;

Client::Client(World &world, std::uint32_t address, End route, bool mayRepeat)
    : m_world(world)
    , m_address(address)
    , m_route(route)
    , m_mayRepeat(mayRepeat)
    , m_datagrams(bindDatagrams(address, world.packetPort()))
{
}

Client::~Client()
{
    close(m_datagrams);
}

void Client::addDescriptors(std::vector<pollfd> &descriptors) const
{
    descriptors.push_back({m_datagrams, POLLIN, 0});
}

void Client::serve(Time now)
{
    std::string bytes;
    End from;
    while (receiveDatagram(m_datagrams, bytes, from)) {
        if (const std::optional<Packet> packet = decode(bytes); packet && packet->destination == m_self) {
            take(*packet, from, now);
        }
    }
    tick(now);
}

void Client::open(Time now)
{
    m_stage = Stage::Opening;
    m_self = {m_address, m_world.nextClientPort()};
    m_echo = 0;
    m_sent = static_cast<std::uint32_t>(m_world.random()());
    m_received = 0;
    m_copies = 0;
    m_request.clear();
    m_openedAt = now;
    m_closeAt = now + ShortestFlow + milliseconds(m_world.random()() % FlowSpreadMs);
    send(FlagOpening, m_sent, m_copies, {});
}

void Client::send(
    std::uint8_t flags, std::uint32_t sequence, std::uint32_t acknowledged, const std::string &data)
{
    m_world.sendToSystem(
        m_datagrams, {m_self, m_route, flags, m_echo, sequence, acknowledged, data, true, false});
}

void Client::ask(Time now)
{
    m_request = "request " + std::to_string(++m_world.counts.asked);
    m_answered = 0;
    m_askedAt = now;
    m_sentAt = now;
    m_repeats = 0;
    send(FlagAcknowledging, m_sent, m_received, m_request);
}

void Client::fail(const std::string &why, Time now)
{
    if (!m_request.empty() && m_stage == Stage::Open && !m_mayRepeat) {
        ++m_world.counts.lost;
        m_world.note(m_request + " of " + format(m_self) + " may run once and gets no answer: " + why);
    }
    m_stage = Stage::Closed;
    m_request.clear();
    m_nextAt = now + Pause;
}

void Client::take(const Packet &packet, End from, Time now)
{
    if (packet.has(FlagReset)) {
        takeReset(packet, from, now);
        return;
    }
    if (!packet.isGenuine) {
        m_world.note("MIXED: a client got a packet that its sender did not write so");
        return;
    }
    m_echo = packet.echo;
    if (packet.has(FlagOpening)) {
        if (m_stage == Stage::Opening) {
            m_stage = Stage::Open;
            m_received = packet.sequence + 1;
            ++m_sent;
            ask(now);
        }
        return;
    }
    if (!packet.data.empty() && m_stage == Stage::Open) {
        takeData(packet, now);
    }
}

void Client::takeReset(const Packet &packet, End from, Time now)
{
    if (m_stage == Stage::Opening) {
        ++m_world.counts.refused;
        fail("its flow was refused", now);
        return;
    }
    if (m_stage != Stage::Open) {
        return;
    }
    constexpr std::int32_t Window = 76800;
    const auto distance = static_cast<std::int32_t>(packet.sequence - m_received);
    if (distance > Window || distance < -Window) {
        return;
    }
    m_world.onReset(m_self, m_route, packet, from);
    fail("its flow was reset", now);
}

void Client::takeData(const Packet &packet, Time now)
{
    if (packet.sequence != m_received || m_request.empty()) {
        send(FlagAcknowledging, m_sent, m_received, {});
        return;
    }
    if (m_answered == 0) {
        m_sent += static_cast<std::uint32_t>(m_request.size());
    }
    m_answered += packet.data.size();
    m_received += static_cast<std::uint32_t>(packet.data.size());
    const bool isWhole = m_answered >= AnswerSize;
    if (++m_unacknowledged >= 2 || isWhole) {
        m_unacknowledged = 0;
        send(FlagAcknowledging, m_sent, m_received, {});
    }
    if (!isWhole) {
        return;
    }
    ++m_world.counts.answered;
    m_request.clear();
    m_nextAt = now + Pause;
    if (now >= m_closeAt) {
        send(FlagEnd | FlagAcknowledging, m_sent, m_received, {});
        m_stage = Stage::Closed;
    }
}

void Client::tick(Time now)
{
    if (m_stage == Stage::Closed && now >= m_nextAt) {
        open(now);
    } else if (m_stage == Stage::Opening) {
        const bool isCopyDue = (m_copies == 0 && now - m_openedAt >= FirstCopy)
            || (m_copies == 1 && now - m_openedAt >= SecondCopy);
        if (isCopyDue) {
            send(FlagOpening, m_sent, ++m_copies, {});
        }
        if (now - m_openedAt >= OpeningTimeout) {
            ++m_world.counts.timedOut;
            fail("its flow did not open", now);
        }
    } else if (m_stage == Stage::Open && m_request.empty() && now >= m_nextAt) {
        ask(now);
    } else if (m_stage == Stage::Open && !m_request.empty()) {
        const auto interval
            = std::min<Clock::duration>(FirstRepeat * (1U << std::min(m_repeats, 4U)), LongestRepeat);
        if (m_answered == 0 && now - m_sentAt >= interval) {
            ++m_repeats;
            m_sentAt = now;
            send(FlagAcknowledging, m_sent, m_received, m_request);
        }
        if (now - m_askedAt >= Deadline) {
            ++m_world.counts.timedOut;
            fail("its deadline passed", now);
        }
    }
}

} // namespace review
