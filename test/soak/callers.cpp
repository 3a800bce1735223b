#include "callers.h"

#include "soaktarget.h"

#include "jasminequay/Support/hash.h"

namespace jasminequay::soak
{

using std::chrono::milliseconds;

constexpr std::array<Duration, 2> CopyAfter{milliseconds(200), milliseconds(600)};
constexpr Duration OpeningTimeout = milliseconds(1400);
constexpr Duration FirstRepeat = milliseconds(200);
constexpr Duration LongestRepeat = milliseconds(1600);
constexpr Duration Deadline = milliseconds(5000);
constexpr unsigned RequestsPerFlow = 3;
constexpr unsigned Retries = 2;

/// A reset of an open flow must be this close to what the caller acknowledged last.
constexpr std::int32_t ResetWindow = 76800;

Callers::Callers(
    boost::asio::io_context &context, std::vector<Endpoint> addresses, CallerHooks hooks, std::uint64_t seed)
    : m_hooks(std::move(hooks))
    , m_addresses(std::move(addresses))
    , m_random(seed)
{
    for (const Endpoint address : m_addresses) {
        m_sockets.push_back(std::make_unique<DatagramSocket>(
            context, address, [this](std::string_view bytes, Endpoint from) { take(bytes, from); }));
    }
}

Callers::Flow &Callers::add(Endpoint route, bool mayRepeat, TimePoint now)
{
    Flow flow;
    flow.socket = m_random() % m_sockets.size();
    m_nextPort = m_nextPort < 60000 ? m_nextPort + 1 : 1024;
    flow.self = {m_addresses[flow.socket].address, m_nextPort};
    flow.route = route;
    flow.mayRepeat = mayRepeat;
    flow.sent = static_cast<std::uint32_t>(m_random());
    flow.requestsLeft = RequestsPerFlow;
    flow.triesLeft = Retries;
    flow.startedAt = now;
    return m_flows.insert_or_assign({flow.self, route}, std::move(flow)).first->second;
}

void Callers::start(Endpoint route, bool mayRepeat, TimePoint now)
{
    Flow &flow = add(route, mayRepeat, now);
    flow.request = ++m_requests;
    ++m_counts.asked;
    sendOpening(flow, now);
}

void Callers::probe(Endpoint route, std::size_t instance, TimePoint now)
{
    Flow &flow = add(route, true, now);
    flow.isProbe = true;
    flow.copies.push_back({{route, now, instance}, false});
    SoakPacket packet{flow.self, route, FlagOpening, 0, flow.sent, 0, {}, false, false};
    m_hooks.sendTo(*m_sockets[flow.socket], encodePacket(packet), instance);
}

void Callers::sendOpening(Flow &flow, TimePoint now)
{
    const auto copy = static_cast<std::uint32_t>(flow.copies.size());
    const SoakPacket packet{flow.self, flow.route, FlagOpening, 0, flow.sent, copy, {}, false, false};
    const std::uint64_t hash = hashWords(flow.self.packed(), flow.route.packed());
    const std::size_t instance = m_hooks.send(*m_sockets[flow.socket], encodePacket(packet), hash);
    flow.copies.push_back({{flow.route, now, instance}, false});
}

void Callers::sendPacket(Flow &flow, std::uint8_t flags, std::uint32_t sequence, std::string data)
{
    const SoakPacket packet{
        flow.self, flow.route, flags, flow.token, sequence, flow.received, std::move(data), false, false};
    const std::uint64_t hash = hashWords(flow.self.packed(), flow.route.packed());
    m_hooks.send(*m_sockets[flow.socket], encodePacket(packet), hash);
}

void Callers::sendRequest(Flow &flow, TimePoint now)
{
    flow.sentAt = now;
    sendPacket(flow, FlagAnswering, flow.sent, std::to_string(flow.request));
}

void Callers::take(std::string_view bytes, Endpoint from)
{
    const std::optional<SoakPacket> packet = decodePacket(bytes);
    if (!packet || (!packet->isGenuine && !packet->isFromInstance)) {
        m_hooks.onBreach("MIXED", "a caller got a packet that nobody wrote so, from " + format(from));
        return;
    }
    const auto found = m_flows.find({packet->destination, packet->source});
    if (found == m_flows.end() || found->second.stage == Stage::Ended) {
        return;
    }
    Flow &flow = found->second;
    const TimePoint now = std::chrono::steady_clock::now();
    if (packet->has(FlagReset)) {
        takeReset(flow, *packet, from);
        return;
    }
    flow.token = packet->token;
    if (flow.isProbe) {
        flow.stage = Stage::Ended;
        return;
    }
    if (packet->has(FlagOpening)) {
        if (flow.stage == Stage::Opening) {
            flow.stage = Stage::Open;
            flow.received = packet->sequence + 1;
            ++flow.sent;
            flow.interval = FirstRepeat;
            sendRequest(flow, now);
        }
        return;
    }
    if (!packet->data.empty()) {
        takeData(flow, *packet, now);
    }
}

void Callers::takeReset(Flow &flow, const SoakPacket &packet, Endpoint from)
{
    const bool hasOpened = flow.stage == Stage::Open;
    if (packet.isFromInstance && hasOpened) {
        const auto distance = static_cast<std::int32_t>(packet.sequence - flow.received);
        if (std::abs(distance) <= ResetWindow) {
            m_hooks.onReset(flow.self, flow.route, m_hooks.instanceAt(from));
            fail(flow, true);
        }
        return;
    }
    if (packet.isFromInstance) {
        const std::size_t instance = m_hooks.instanceAt(from);
        for (Copy &copy : flow.copies) {
            if (copy.opening.instance == instance && !copy.isHandled) {
                copy.isHandled = true;
                m_hooks.onRefused(copy.opening);
                break;
            }
        }
    }
    for (Copy &copy : flow.copies) {
        copy.isHandled = true;
    }
    fail(flow, hasOpened);
}

void Callers::takeData(Flow &flow, const SoakPacket &packet, TimePoint now)
{
    if (flow.stage != Stage::Open) {
        return;
    }
    if (packet.sequence != flow.received || flow.request == 0) {
        sendPacket(flow, FlagAnswering, flow.sent, {});
        return;
    }
    if (flow.answer.empty()) {
        flow.sent += static_cast<std::uint32_t>(std::to_string(flow.request).size());
    }
    flow.answer += packet.data;
    flow.received += static_cast<std::uint32_t>(packet.data.size());
    const bool isWhole = flow.answer.size() >= AnswerSize;
    if (++flow.partsSinceAcknowledged >= 2 || isWhole) {
        flow.partsSinceAcknowledged = 0;
        sendPacket(flow, FlagAnswering, flow.sent, {});
    }
    if (!isWhole) {
        return;
    }
    if (flow.answer != answerTo(flow.request)) {
        m_hooks.onBreach("MIXED", "request " + std::to_string(flow.request) + " got another answer");
    }
    ++m_counts.served;
    flow.answer.clear();
    flow.request = 0;
    if (--flow.requestsLeft == 0) {
        sendPacket(flow, FlagEnd | FlagAnswering, flow.sent, {});
        flow.stage = Stage::Ended;
        return;
    }
    flow.nextAt = now + milliseconds(100 + m_random() % 1400);
}

void Callers::ask(Flow &flow, TimePoint now)
{
    flow.request = ++m_requests;
    flow.startedAt = now;
    flow.interval = FirstRepeat;
    flow.triesLeft = Retries;
    ++m_counts.asked;
    sendRequest(flow, now);
}

/// What may not be repeated is tried again only if the flow never opened.
void Callers::fail(Flow &flow, bool hasOpened)
{
    flow.stage = Stage::Ended;
    if (flow.isProbe || flow.request == 0) {
        return;
    }
    if (flow.triesLeft > 0 && (flow.mayRepeat || !hasOpened)) {
        m_retries.push_back({flow.route, flow.mayRepeat, flow.triesLeft - 1, flow.request, flow.startedAt});
        return;
    }
    ++m_counts.failed;
    if (flow.startedAt >= m_calmSince) {
        ++m_counts.failedCalm;
        m_hooks.onBreach("SERVE",
            "request " + std::to_string(flow.request) + " at " + format(flow.route)
                + " failed in calm times");
    }
}

void Callers::tick(TimePoint now)
{
    for (const Retry &retry : std::exchange(m_retries, {})) {
        Flow &flow = add(retry.route, retry.mayRepeat, retry.startedAt);
        flow.request = retry.request;
        flow.triesLeft = retry.triesLeft;
        sendOpening(flow, now);
    }
    for (auto position = m_flows.begin(); position != m_flows.end();) {
        Flow &flow = position->second;
        if (flow.stage == Stage::Opening) {
            tickOpening(flow, now);
        } else if (flow.stage == Stage::Open) {
            tickOpen(flow, now);
        }
        const bool isOver = flow.stage == Stage::Ended && now - flow.startedAt > Deadline;
        position = isOver ? m_flows.erase(position) : std::next(position);
    }
}

void Callers::tickOpening(Flow &flow, TimePoint now)
{
    const TimePoint first = flow.copies.front().opening.sentAt;
    if (now - first >= OpeningTimeout) {
        for (const Copy &copy : flow.copies) {
            if (!copy.isHandled) {
                m_hooks.onUnhandled(copy.opening);
            }
        }
        fail(flow, false);
    } else if (!flow.isProbe && flow.copies.size() <= CopyAfter.size()
        && now - first >= CopyAfter[flow.copies.size() - 1]) {
        sendOpening(flow, now);
    }
}

void Callers::tickOpen(Flow &flow, TimePoint now)
{
    if (flow.request == 0) {
        if (now >= flow.nextAt) {
            ask(flow, now);
        }
    } else if (now - flow.startedAt >= Deadline) {
        fail(flow, true);
    } else if (flow.answer.empty() && now - flow.sentAt >= flow.interval) {
        flow.interval = std::min(flow.interval * 2, LongestRepeat);
        sendRequest(flow, now);
    }
}

void Callers::noteTaken(const SoakPacket &packet)
{
    const auto found = m_flows.find({packet.source, packet.destination});
    if (found != m_flows.end() && packet.acknowledged < found->second.copies.size()) {
        found->second.copies[packet.acknowledged].isHandled = true;
    }
}

bool Callers::isOpen(Endpoint caller, Endpoint route) const
{
    const auto found = m_flows.find({caller, route});
    return found != m_flows.end() && found->second.stage == Stage::Open;
}

const Opening *Callers::openingOf(const SoakPacket &packet) const
{
    const auto found = m_flows.find({packet.source, packet.destination});
    const bool isKnown = found != m_flows.end() && packet.acknowledged < found->second.copies.size();
    return isKnown ? &found->second.copies[packet.acknowledged].opening : nullptr;
}

void Callers::forgetRoute(Endpoint route)
{
    for (auto &[key, flow] : m_flows) {
        if (flow.route == route && !flow.isProbe) {
            flow.request = 0;
            flow.stage = Stage::Ended;
        }
    }
    std::erase_if(m_retries, [route](const Retry &retry) { return retry.route == route; });
}

} // namespace jasminequay::soak
