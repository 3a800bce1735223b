#include "jasminequay/Peer/keypair.h"

#include "jasminequay/Peer/datachannel.h"

#include <sodium.h>
#include <zmq.h>

#include <array>

namespace jasminequay
{

constexpr std::size_t EncodedKeySize = 41; // 40 characters and a zero byte

Result<KeyPair> makeKeyPair()
{
    std::array<char, EncodedKeySize> publicKey{};
    std::array<char, EncodedKeySize> secretKey{};
    if (zmq_curve_keypair(publicKey.data(), secretKey.data()) != 0) {
        return fail(Step::BindPeer, {}, "this ZeroMQ has no CURVE support");
    }
    return KeyPair{publicKey.data(), secretKey.data()};
}

std::string makeDataKey()
{
    std::array<unsigned char, DataChannel::KeySize> key{};
    randombytes_buf(key.data(), key.size());
    std::array<char, 2 * DataChannel::KeySize + 1> text{};
    sodium_bin2hex(text.data(), text.size(), key.data(), key.size());
    return text.data();
}

} // namespace jasminequay
