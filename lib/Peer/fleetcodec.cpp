#include "jasminequay/Peer/fleetcodec.h"

#include "compression.h"
#include "jasminequay/Support/hash.h"
#include "wireconversion.h"

#include <algorithm>
#include <cmath>
#include <cstring>
#include <limits>

namespace jasminequay
{

/// Marks a message of this protocol and version.
constexpr std::string_view NewsMark = "JQN1";
constexpr std::size_t ChecksumSize = sizeof(std::uint64_t);

/// An image starts with the size of what was deflated.
constexpr std::size_t SizeSize = sizeof(std::uint32_t);
constexpr std::uint32_t LargestImage = 16 << 20;

static std::uint64_t microseconds(Duration duration)
{
    const auto count = std::chrono::duration_cast<std::chrono::microseconds>(duration).count();
    return count < 0 ? 0 : static_cast<std::uint64_t>(count);
}

/// Bounds what a peer says, so that arithmetic on it cannot overflow.
static Duration duration(std::uint64_t microseconds)
{
    constexpr std::uint64_t Longest = 1'000'000'000'000;
    return std::chrono::microseconds(std::min(microseconds, Longest));
}

/// Returns whole milliseconds, at most what the field holds.
static std::uint32_t milliseconds(Duration duration)
{
    constexpr std::uint64_t Longest = std::numeric_limits<std::uint32_t>::max();
    return static_cast<std::uint32_t>(std::min(microseconds(duration) / 1000, Longest));
}

static void toWire(const TargetRecord &record, wire::WireTarget &wire)
{
    wire.set_name(record.name);
    wire.set_id(record.identity.id);
    wire.set_started_at_ms(record.identity.startedAt);
    toWire(record.address, *wire.mutable_address());
    wire.set_service(record.service);
    wire.set_data_centre(record.dataCentre);
    wire.set_slots(record.slots);
    wire.set_draining(record.isDraining);
    wire.set_warm_up_ms(milliseconds(record.warmUpLeft));
    wire.set_revision(record.revision);
}

static TargetRecord fromWire(const wire::WireTarget &wire)
{
    TargetRecord record;
    record.name = wire.name();
    record.identity = {wire.id(), wire.started_at_ms()};
    record.address = fromWire(wire.address());
    record.service = wire.service();
    record.dataCentre = wire.data_centre();
    record.slots = wire.slots();
    record.isDraining = wire.draining();
    record.warmUpLeft = std::chrono::milliseconds(wire.warm_up_ms());
    record.revision = wire.revision();
    return record;
}

template <typename Field> static std::vector<TargetRecord> targetsFrom(const Field &field)
{
    std::vector<TargetRecord> records;
    for (const wire::WireTarget &target : field) {
        records.push_back(fromWire(target));
    }
    return records;
}

template <typename Field> static std::vector<TargetRemoval> removalsFrom(const Field &field)
{
    std::vector<TargetRemoval> removals;
    for (const wire::WireRemoval &removal : field) {
        removals.push_back({removal.name(), removal.revision()});
    }
    return removals;
}

static void toWire(const TargetRemoval &removal, wire::WireRemoval &wire)
{
    wire.set_name(removal.name);
    wire.set_revision(removal.revision);
}

static void toWire(const EvacuationRecord &record, wire::WireEvacuation &wire)
{
    wire.set_data_centre(record.dataCentre);
    wire.set_revision(record.revision);
    wire.set_active(record.isActive);
}

template <typename Field> static std::vector<EvacuationRecord> evacuationsFrom(const Field &field)
{
    std::vector<EvacuationRecord> records;
    for (const wire::WireEvacuation &evacuation : field) {
        records.push_back({evacuation.data_centre(), evacuation.revision(), evacuation.active()});
    }
    return records;
}

static void toWire(const RouteConfiguration &configuration, wire::WireRoutes &wire)
{
    wire.set_version(configuration.version);
    wire.set_era(configuration.era);
    wire.set_idle_timeout_ms(milliseconds(configuration.idleTimeout));
    wire.mutable_health_paths()->insert(configuration.healthPaths.begin(), configuration.healthPaths.end());
    for (const auto &[service, slowStart] : configuration.slowStarts) {
        wire::WireSlowStart &body = (*wire.mutable_slow_starts())[service];
        body.set_duration_ms(milliseconds(slowStart.duration));
        body.set_flows_per_second(slowStart.flowsPerSecond);
    }
    for (const Route &route : configuration.routes) {
        wire::WireRoute &body = *wire.add_routes();
        body.set_name(route.name);
        toWire(route.address, *body.mutable_address());
        body.set_kind(static_cast<std::uint32_t>(route.kind));
        body.set_timeout_ms(milliseconds(route.timeout));
        body.set_objective_ms(milliseconds(route.objective));
        body.set_priority(route.priority);
        for (const WeightedService &service : route.services) {
            wire::WireWeightedService &weighted = *body.add_services();
            weighted.set_service(service.service);
            weighted.set_weight(service.weight);
        }
    }
}

static std::optional<RouteConfiguration> fromWire(const wire::WireRoutes &wire)
{
    RouteConfiguration configuration;
    configuration.version = wire.version();
    configuration.era = wire.era();
    configuration.idleTimeout = std::chrono::milliseconds(wire.idle_timeout_ms());
    configuration.healthPaths.insert(wire.health_paths().begin(), wire.health_paths().end());
    for (const auto &[service, body] : wire.slow_starts()) {
        const double flows = std::isfinite(body.flows_per_second()) ? body.flows_per_second() : 0;
        configuration.slowStarts[service]
            = {std::chrono::milliseconds(body.duration_ms()), std::max(flows, 0.0)};
    }
    for (const wire::WireRoute &body : wire.routes()) {
        if (body.kind() > static_cast<std::uint32_t>(RequestKind::Download)) {
            return std::nullopt;
        }
        Route route;
        route.name = body.name();
        route.address = fromWire(body.address());
        route.kind = static_cast<RequestKind>(body.kind());
        route.timeout = std::chrono::milliseconds(body.timeout_ms());
        route.objective = std::chrono::milliseconds(body.objective_ms());
        route.priority = body.priority();
        for (const wire::WireWeightedService &service : body.services()) {
            route.services.push_back({service.service(), service.weight()});
        }
        configuration.routes.push_back(std::move(route));
    }
    return configuration;
}

std::string encodeNews(const FleetMessage &news)
{
    wire::WireNews wire;
    wire.set_sender(news.sender);
    toWire(news.digest, *wire.mutable_digest());
    wire::WireStanding &standing = *wire.mutable_standing();
    standing.set_loaded(news.status.isLoaded);
    standing.set_revision(news.status.revision);
    standing.set_routes_version(news.status.routesVersion);
    standing.set_age_us(microseconds(news.status.age));
    standing.set_reading(news.status.isReading);
    standing.set_routes_revision(news.status.routesRevision);
    standing.set_routes_era(news.status.routesEra);
    standing.set_evacuations_revision(news.status.evacuationsRevision);
    for (const EvacuationRecord &record : news.status.evacuations) {
        toWire(record, *standing.add_evacuations());
    }
    if (news.changes.revision != 0) {
        wire::WireChanges &changes = *wire.mutable_changes();
        changes.set_after(news.changes.after);
        changes.set_revision(news.changes.revision);
        changes.set_complete_at(news.changes.completeReadRevision);
        for (const TargetRecord &record : news.changes.targets) {
            toWire(record, *changes.add_targets());
        }
        for (const TargetRemoval &removal : news.changes.removals) {
            toWire(removal, *changes.add_removals());
        }
    }
    for (const TargetLossReport &loss : news.targetLosses) {
        wire::WireLoss &body = *wire.add_losses();
        body.set_target_key(loss.targetKey);
        body.set_verdict(static_cast<std::uint32_t>(loss.verdict));
    }
    for (const TargetFailures &failures : news.targetFailures) {
        wire::WireTargetFailures &body = *wire.add_target_failures();
        body.set_target_key(failures.targetKey);
        body.set_count(failures.count);
        body.set_age_ms(milliseconds(failures.age));
    }
    const std::string message = wire.SerializeAsString();
    const std::uint64_t checksum = hashText(message);
    std::string bytes(NewsMark);
    bytes.append(reinterpret_cast<const char *>(&checksum), ChecksumSize);
    return bytes + message;
}

Result<FleetMessage> decodeNews(std::string_view bytes, const std::string &peer)
{
    const std::size_t headSize = NewsMark.size() + ChecksumSize;
    if (bytes.size() < headSize || bytes.size() > MaximumNewsSize || !bytes.starts_with(NewsMark)) {
        return fail(Step::DecodePeer, peer, "not a message of this protocol");
    }
    std::uint64_t checksum = 0;
    std::memcpy(&checksum, bytes.data() + NewsMark.size(), ChecksumSize);
    const std::string_view message = bytes.substr(headSize);
    wire::WireNews wire;
    if (checksum != hashText(message)
        || !wire.ParseFromArray(message.data(), static_cast<int>(message.size()))) {
        return fail(Step::DecodePeer, peer, "the message is damaged");
    }
    const std::optional<Digest> digest = fromWire(wire.digest());
    if (!digest) {
        return fail(Step::DecodePeer, peer, "the message names an unknown phase");
    }
    FleetMessage news;
    news.sender = wire.sender();
    news.digest = *digest;
    const wire::WireStanding &standing = wire.standing();
    news.status = {standing.loaded(), standing.revision(), standing.routes_version(),
        duration(standing.age_us()), standing.reading(), standing.routes_revision(),
        standing.evacuations_revision(), evacuationsFrom(standing.evacuations()), standing.routes_era()};
    news.changes = {wire.changes().after(), wire.changes().revision(), wire.changes().complete_at(),
        targetsFrom(wire.changes().targets()), removalsFrom(wire.changes().removals())};
    for (const wire::WireLoss &loss : wire.losses()) {
        if (loss.verdict() > static_cast<std::uint32_t>(TargetVerdict::Dead)) {
            return fail(Step::DecodePeer, peer, "the message names an unknown verdict");
        }
        news.targetLosses.push_back({loss.target_key(), static_cast<TargetVerdict>(loss.verdict())});
    }
    for (const wire::WireTargetFailures &failures : wire.target_failures()) {
        news.targetFailures.push_back(
            {failures.target_key(), failures.count(), std::chrono::milliseconds(failures.age_ms())});
    }
    return news;
}

std::string encodeImage(const FetchResponse &image)
{
    wire::WireImage wire;
    wire.set_revision(image.update.revision);
    wire.set_age_us(microseconds(image.age));
    wire.set_after(image.after);
    wire.set_removals_known_since(image.removalsKnownSince);
    wire.set_routes_revision(image.routesRevision);
    wire.set_evacuations_revision(image.evacuationsRevision);
    for (const EvacuationRecord &record : image.update.evacuations) {
        toWire(record, *wire.add_evacuations());
    }
    if (image.listingChecksum) {
        wire.mutable_listed()->set_count(image.listingChecksum->count);
        wire.mutable_listed()->set_sum(image.listingChecksum->sum);
    }
    if (image.update.routes) {
        toWire(*image.update.routes, *wire.mutable_routes());
    }
    for (const TargetRecord &record : image.update.targets) {
        toWire(record, *wire.add_targets());
    }
    for (const TargetRemoval &removal : image.update.removals) {
        toWire(removal, *wire.add_removals());
    }
    for (const TargetRecord &record : image.update.tombstones) {
        toWire(record, *wire.add_tombstones());
    }
    const std::string message = wire.SerializeAsString();
    const auto size = static_cast<std::uint32_t>(message.size());
    std::string bytes(reinterpret_cast<const char *>(&size), SizeSize);
    return bytes + deflateText(message);
}

Result<FetchResponse> decodeImage(const std::string &bytes, const std::string &peer)
{
    std::uint32_t size = 0;
    if (bytes.size() < SizeSize) {
        return fail(Step::DecodePeer, peer, "the image is cut off");
    }
    std::memcpy(&size, bytes.data(), SizeSize);
    if (size > LargestImage) {
        return fail(Step::DecodePeer, peer, "the image is too large");
    }
    const std::optional<std::string> message = inflateText(bytes.substr(SizeSize), size);
    wire::WireImage wire;
    if (!message || !wire.ParseFromString(*message)) {
        return fail(Step::DecodePeer, peer, "the image is damaged");
    }
    FetchResponse image;
    image.age = duration(wire.age_us());
    image.update.revision = wire.revision();
    image.after = wire.after();
    image.removalsKnownSince = wire.removals_known_since();
    image.routesRevision = wire.routes_revision();
    image.evacuationsRevision = wire.evacuations_revision();
    image.update.evacuations = evacuationsFrom(wire.evacuations());
    if (wire.has_listed()) {
        image.listingChecksum = ListingChecksum{wire.listed().count(), wire.listed().sum()};
    }
    image.update.isComplete = wire.after() == 0;
    if (wire.has_routes()) {
        image.update.routes = fromWire(wire.routes());
        if (!image.update.routes) {
            return fail(Step::DecodePeer, peer, "the image names an unknown kind of request");
        }
    }
    image.update.targets = targetsFrom(wire.targets());
    image.update.removals = removalsFrom(wire.removals());
    image.update.tombstones = targetsFrom(wire.tombstones());
    return image;
}

} // namespace jasminequay
