// CURVE keys for the settings of instances.
#pragma once

#include "jasminequay/Support/failure.h"

#include <string>

namespace jasminequay
{

/// A CURVE key pair, each key 40 characters of Z85.
struct KeyPair {
    std::string publicKey;
    std::string secretKey;
};

/// Makes a new key pair; fails where ZeroMQ was built without CURVE.
Result<KeyPair> makeKeyPair();

/// Makes a new key for the data channel: 64 hexadecimal digits.
std::string makeDataKey();

} // namespace jasminequay
