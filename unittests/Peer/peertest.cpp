#include "jasminequay/Peer/controlmessage.h"
#include "jasminequay/Peer/datachannel.h"
#include "jasminequay/Peer/keypair.h"
#include "jasminequay/Peer/peerlink.h"

#include <gtest/gtest.h>
#include <poll.h>
#include <rapidcheck/gtest.h>

namespace jasminequay
{

template <typename Value> static std::optional<Value> valueOf(Result<Value> result)
{
    return result ? std::optional<Value>(std::move(result.value())) : std::nullopt;
}

static ControlMessage digestMessage()
{
    Digest digest;
    digest.entries.push_back({"fk-1", 7, 9, MemberPhase::Leaving, 12, true});
    digest.peerData = {{0x7f000001}, 5};
    digest.wantsReply = true;
    return {"fk-1", digest};
}

TEST(ControlMessage, EveryKindSurvivesItsWireForm)
{
    const BindingMessage binding{BindingKind::Replica, {{{1}, 2}, {{3}, 4}, Protocol::Udp}, {{5}, 6}, true};
    SettingsReply reply{3, std::string(5000, 'x'), {}};
    reply.held.endpoints.emplace(Endpoint{{9}, 8}, Protocol::Udp);
    reply.held.services.insert("s");
    InstanceList list{4, {{"a", "dc", {{1}, 2}, {{3}, 4}, true}}};
    const ControlBody bodies[] = {std::get<Digest>(digestMessage().body), SettingsRequest{8}, reply,
        Confirmation{1, 2, 3}, BindingBatch{5, {binding}}, list, ConfirmationRequest{6}};
    for (const ControlBody &body : bodies) {
        const std::string bytes = encodeControl({"fk-1", body});
        const std::optional<ControlMessage> decoded = valueOf(decodeControl(bytes, "fk-1"));
        ASSERT_TRUE(decoded);
        EXPECT_EQ(decoded->body.index(), body.index());
        EXPECT_EQ(encodeControl(*decoded), bytes);
    }
}

RC_GTEST_PROP(ControlMessage, AnyBytesAreSafe, (const std::string &bytes))
{
    static_cast<void>(decodeControl(bytes, "peer"));
    std::string mutated = encodeControl(digestMessage());
    const auto place = *rc::gen::inRange<std::size_t>(0, mutated.size());
    mutated[place] = *rc::gen::arbitrary<char>();
    static_cast<void>(decodeControl(mutated, "peer"));
}

TEST(DataChannel, CarriesPacketsAndBindings)
{
    const DataChannel channel({7}, std::string(64, 'b'));
    const DataMessage forwarded{{7}, ForwardedPacket{FabricSide::Targets, 1, {1, 2, 3}}};
    const std::optional<DataMessage> decoded = valueOf(channel.decode(channel.encode(forwarded, 42), "peer"));
    ASSERT_TRUE(decoded);
    EXPECT_EQ(std::get<ForwardedPacket>(decoded->body).packet, (std::vector<std::uint8_t>{1, 2, 3}));
    EXPECT_EQ(decoded->sender, InstanceId{7});
}

RC_GTEST_PROP(DataChannel, AnyChangeIsRefused, (const std::vector<std::uint8_t> &packet))
{
    const DataChannel channel({7}, std::string(64, 'b'));
    const DataChannel foreign({7}, std::string(64, 'c'));
    std::vector<std::uint8_t> datagram
        = channel.encode({{7}, ForwardedPacket{FabricSide::Callers, 0, packet}}, 1);
    RC_ASSERT(!valueOf(foreign.decode(datagram, "peer")));
    const auto place = *rc::gen::inRange<std::size_t>(DataChannel::SteeringSize, datagram.size());
    datagram[place] ^= *rc::gen::inRange<std::uint8_t>(1, 255);
    RC_ASSERT(!valueOf(channel.decode(datagram, "peer")));
    datagram.resize(*rc::gen::inRange<std::size_t>(0, datagram.size()));
    RC_ASSERT(!valueOf(channel.decode(datagram, "peer")));
}

/// Instances on loopback with real keys.
class PeerLinkTest : public testing::Test
{
protected:
    static InstanceSettings settingsFor(const std::string &name, std::uint16_t port)
    {
        InstanceSettings settings;
        settings.instance = name;
        settings.peerControl = {{0x7f000001}, port};
        const KeyPair keys = makeKeyPair().value();
        settings.publicKey = keys.publicKey;
        settings.secretKey = keys.secretKey;
        return settings;
    }

    static void introduce(InstanceSettings &to, const std::string &name, const std::string &publicKey)
    {
        PeerKey key;
        key.instance = name;
        key.publicKey = publicKey;
        to.peers.push_back(key);
    }

    /// Receives until a message or a refusal has come; waits for the sockets, not for a time.
    static std::vector<ControlMessage> receiveOne(PeerLink &link)
    {
        std::vector<ControlMessage> messages;
        for (int round = 0; round < 200 && messages.empty() && link.counters().refusedPeers == 0; ++round) {
            std::vector<pollfd> descriptors;
            for (const int descriptor : link.descriptors()) {
                descriptors.push_back({descriptor, POLLIN, 0});
            }
            poll(descriptors.data(), descriptors.size(), 50);
            link.receive([&](ControlMessage message) { messages.push_back(std::move(message)); });
        }
        return messages;
    }
};

TEST_F(PeerLinkTest, KnownPeersAreHeardAlsoWithTheirOldKey)
{
    InstanceSettings receiver = settingsFor("fk-1", 17801);
    InstanceSettings sender = settingsFor("fk-2", 17802);
    introduce(sender, "fk-1", receiver.publicKey);
    introduce(receiver, "fk-2", sender.publicKey);
    introduce(receiver, "fk-2", makeKeyPair().value().publicKey);
    PeerLink in(receiver);
    PeerLink out(sender);
    ASSERT_TRUE(in.open());
    ASSERT_TRUE(out.send("fk-1", receiver.peerControl, ConfirmationRequest{5}));
    const std::vector<ControlMessage> messages = receiveOne(in);
    ASSERT_EQ(messages.size(), 1U);
    EXPECT_EQ(messages[0].sender, "fk-2");
}

TEST_F(PeerLinkTest, UnknownKeysAreRefusedAndCounted)
{
    InstanceSettings receiver = settingsFor("fk-1", 17803);
    InstanceSettings stranger = settingsFor("fk-2", 17804);
    introduce(stranger, "fk-1", receiver.publicKey);
    PeerLink in(receiver);
    PeerLink out(stranger);
    ASSERT_TRUE(in.open());
    ASSERT_TRUE(out.send("fk-1", receiver.peerControl, ConfirmationRequest{5}));
    EXPECT_TRUE(receiveOne(in).empty());
    EXPECT_GT(in.counters().refusedPeers, 0U);
}

TEST_F(PeerLinkTest, APeerCannotSpeakForAnother)
{
    InstanceSettings receiver = settingsFor("fk-1", 17805);
    InstanceSettings sender = settingsFor("fk-3", 17806);
    introduce(sender, "fk-1", receiver.publicKey);
    introduce(receiver, "fk-2", sender.publicKey);
    PeerLink in(receiver);
    PeerLink out(sender);
    ASSERT_TRUE(in.open());
    ASSERT_TRUE(out.send("fk-1", receiver.peerControl, ConfirmationRequest{5}));
    for (int round = 0; round < 200 && in.counters().malformed == 0; ++round) {
        pollfd descriptor{in.descriptors().front(), POLLIN, 0};
        poll(&descriptor, 1, 50);
        in.receive([](const ControlMessage &) { ADD_FAILURE() << "the message was taken"; });
    }
    EXPECT_EQ(in.counters().malformed, 1U);
}

} // namespace jasminequay
