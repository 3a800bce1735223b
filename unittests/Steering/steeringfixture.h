// Packets, targets and an engine for steering tests.
#pragma once

#include "jasminequay/Steering/steeringengine.h"

#include <string>

namespace jasminequay::steering
{

constexpr TimePoint Start = TimePoint(std::chrono::hours(1));
constexpr Endpoint Service{{0xc6120001}, 443};

/// A packet made of its field values: an attachment other than the platform's that satisfies the same
/// concept.
struct PlainPacket {
    PacketSummary fields;

    [[nodiscard]] SteeredFlow flow() const
    {
        return fields.flow;
    }
    [[nodiscard]] SteeringToken token() const
    {
        return fields.token;
    }
    [[nodiscard]] bool isOpening() const
    {
        return fields.isOpening;
    }
    [[nodiscard]] std::uint32_t openingCopy() const
    {
        return fields.openingCopy;
    }
    [[nodiscard]] bool isEnd() const
    {
        return fields.isEnd;
    }
    [[nodiscard]] bool isReset() const
    {
        return fields.isReset;
    }
    [[nodiscard]] std::uint32_t sequence() const
    {
        return fields.sequence;
    }
    [[nodiscard]] std::uint32_t acknowledged() const
    {
        return fields.acknowledged;
    }
    [[nodiscard]] std::uint32_t dataSize() const
    {
        return fields.dataSize;
    }
};

static_assert(SteeredPacket<PlainPacket>);

/// Returns the flow of a numbered caller.
inline SteeredFlow flowOf(std::uint32_t caller)
{
    return {{{0x64400000 + (caller >> 14)}, static_cast<std::uint16_t>(1024 + (caller & 0x3fff))}, Service};
}

/// Returns an opening packet; `copy` is the number of earlier transmissions.
inline PlainPacket openingOf(std::uint32_t caller, std::uint32_t copy = 0)
{
    PlainPacket packet;
    packet.fields.flow = flowOf(caller);
    packet.fields.isOpening = true;
    packet.fields.openingCopy = copy;
    packet.fields.sequence = 1000;
    return packet;
}

/// Returns a packet with data that follows the opening packet.
inline PlainPacket dataOf(std::uint32_t caller, SteeringToken token, std::uint32_t sequence,
    std::uint32_t acknowledged, std::uint32_t size)
{
    PlainPacket packet;
    packet.fields.flow = flowOf(caller);
    packet.fields.token = token;
    packet.fields.sequence = sequence;
    packet.fields.acknowledged = acknowledged;
    packet.fields.dataSize = size;
    return packet;
}

/// Returns the entry of a numbered target.
inline TargetRecord targetOf(std::uint32_t number, std::uint64_t revision = 1, std::int64_t startedAt = 1)
{
    TargetRecord record;
    record.name = "i-" + std::to_string(number);
    record.identity = {number + 1, startedAt};
    record.address = {{0x0a800000 + number}, 8080};
    record.service = "desk";
    record.dataCentre = "dc-1";
    record.slots = 2;
    record.revision = revision;
    return record;
}

/// Returns routes to one service.
inline RouteConfiguration routesOf(std::uint64_t version, RequestKind kind = RequestKind::Idempotent)
{
    RouteConfiguration configuration;
    configuration.version = version;
    configuration.routes.push_back({"r", Service, kind, std::chrono::seconds(1), {{"desk", 1}}, {}, 0});
    return configuration;
}

/// An engine whose routes and targets are current.
class SteeredInstance
{
public:
    explicit SteeredInstance(
        std::uint32_t targets, RequestKind kind = RequestKind::Idempotent, SteeringFeatures features = {})
        : engine({"dc-1", 4096, std::chrono::seconds(60), std::chrono::milliseconds(1500), {}, {}, features})
    {
        engine.replaceRoutes(routesOf(1, kind), now);
        for (std::uint32_t number = 0; number < targets; ++number) {
            engine.targets().put(targetOf(number), now);
        }
        engine.markCurrentAt(now);
    }

    /// Advances the time by `after` and decides about a packet.
    SteeringDecision take(const PlainPacket &packet, Duration after = std::chrono::milliseconds(1))
    {
        now += after;
        return engine.decide(packet, now);
    }

    /// Opens a flow and returns its target and token.
    SteeringDecision open(std::uint32_t caller)
    {
        const SteeringDecision placed = take(openingOf(caller));
        take(dataOf(caller, placed.token, 1001, 5000, 0));
        return placed;
    }

    /// Returns a numbered target.
    KnownTarget &target(std::uint32_t number, std::int64_t startedAt = 1)
    {
        return *engine.targets().find(targetOf(number, 1, startedAt).identity.key());
    }

    SteeringEngine engine;
    TimePoint now = Start;
};

} // namespace jasminequay::steering
