#include "jasminequay/Peer/controlmessage.h"

#include "compression.h"
#include "jasminequay/Settings/treeparser.h"
#include "wireconversion.h"

namespace jasminequay
{

static void toWire(const Digest &digest, wire::WireControl &control)
{
    toWire(digest, *control.mutable_digest());
}

static void toWire(const SettingsRequest &request, wire::WireControl &control)
{
    control.mutable_settings_request()->set_above_version(request.aboveVersion);
}

static void toWire(const SettingsReply &reply, wire::WireControl &control)
{
    wire::WireSettings &body = *control.mutable_settings();
    body.set_version(reply.version);
    body.set_size(reply.text.size());
    body.set_deflated(deflateText(reply.text));
    for (const auto &[endpoint, protocol] : reply.held.endpoints) {
        wire::WireHeldEndpoint &held = *body.add_held_endpoints();
        toWire(endpoint, *held.mutable_endpoint());
        held.set_protocol(static_cast<std::uint32_t>(protocol));
    }
    for (const std::string &service : reply.held.services) {
        body.add_held_services(service);
    }
}

static void toWire(const Confirmation &confirmation, wire::WireControl &control)
{
    wire::WireConfirmation &body = *control.mutable_confirmation();
    body.set_version(confirmation.version);
    body.set_incarnation(confirmation.incarnation);
    body.set_shared_bindings(confirmation.sharedBindings);
}

static void toWire(const BindingBatch &batch, wire::WireControl &control)
{
    control.mutable_bindings()->set_version(batch.version);
    for (const BindingMessage &binding : batch.bindings) {
        toWire(binding, *control.mutable_bindings()->add_bindings());
    }
}

static void toWire(const InstanceList &list, wire::WireControl &control)
{
    control.mutable_instance_list()->set_version(list.version);
    for (const ListedInstance &instance : list.instances) {
        wire::WireInstance &item = *control.mutable_instance_list()->add_instances();
        item.set_name(instance.name);
        item.set_data_centre(instance.dataCentre);
        toWire(instance.peerData, *item.mutable_peer_data());
        toWire(instance.peerControl, *item.mutable_peer_control());
        item.set_leaving(instance.isLeaving);
    }
}

static void toWire(const ConfirmationRequest &request, wire::WireControl &control)
{
    control.set_confirmation_request(request.version);
}

std::string encodeControl(const ControlMessage &message)
{
    wire::WireControl control;
    control.set_sender(message.sender);
    std::visit([&control](const auto &body) { toWire(body, control); }, message.body);
    return control.SerializeAsString();
}

static std::optional<SettingsReply> settingsFrom(const wire::WireSettings &body)
{
    if (body.size() > MaximumTreeSize) {
        return std::nullopt;
    }
    std::optional<std::string> text = inflateText(body.deflated(), body.size());
    if (!text) {
        return std::nullopt;
    }
    SettingsReply reply{body.version(), std::move(*text), {}};
    for (const wire::WireHeldEndpoint &held : body.held_endpoints()) {
        const bool isTcp = held.protocol() == static_cast<std::uint32_t>(Protocol::Tcp);
        reply.held.endpoints.emplace(fromWire(held.endpoint()), isTcp ? Protocol::Tcp : Protocol::Udp);
    }
    reply.held.services.insert(body.held_services().begin(), body.held_services().end());
    return reply;
}

static std::optional<BindingBatch> bindingsFrom(const wire::WireBindings &body)
{
    BindingBatch batch;
    batch.version = body.version();
    for (const wire::WireBinding &item : body.bindings()) {
        std::optional<BindingMessage> binding = fromWire(item);
        if (!binding) {
            return std::nullopt;
        }
        batch.bindings.push_back(*binding);
    }
    return batch;
}

static InstanceList listFrom(const wire::WireInstanceList &body)
{
    InstanceList list;
    list.version = body.version();
    for (const wire::WireInstance &item : body.instances()) {
        list.instances.push_back({item.name(), item.data_centre(), fromWire(item.peer_data()),
            fromWire(item.peer_control()), item.leaving()});
    }
    return list;
}

static std::optional<ControlBody> bodyFrom(const wire::WireControl &control)
{
    switch (control.body_case()) {
    case wire::WireControl::kDigest:
        return fromWire(control.digest());
    case wire::WireControl::kSettingsRequest:
        return SettingsRequest{control.settings_request().above_version()};
    case wire::WireControl::kSettings:
        return settingsFrom(control.settings());
    case wire::WireControl::kConfirmation:
        return Confirmation{control.confirmation().version(), control.confirmation().incarnation(),
            control.confirmation().shared_bindings()};
    case wire::WireControl::kBindings:
        return bindingsFrom(control.bindings());
    case wire::WireControl::kInstanceList:
        return listFrom(control.instance_list());
    case wire::WireControl::kConfirmationRequest:
        return ConfirmationRequest{control.confirmation_request()};
    case wire::WireControl::BODY_NOT_SET:
        break;
    }
    return std::nullopt;
}

Result<ControlMessage> decodeControl(std::string_view bytes, const std::string &peer)
{
    wire::WireControl control;
    if (!control.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
        return fail(Step::DecodePeer, peer, "control message is not protobuf");
    }
    std::optional<ControlBody> body = bodyFrom(control);
    if (!body) {
        return fail(Step::DecodePeer, peer, "control message has no valid body");
    }
    return ControlMessage{control.sender(), std::move(*body)};
}

} // namespace jasminequay
