#include "commandline.h"
#include "jasminequay/Peer/keypair.h"

#include <iostream>

namespace jasminequay
{

ExitCode runMakeKeys(int argumentCount, char **arguments)
{
    cxxopts::Options options(
        "jasminequay make-keys", "Makes the keys of one instance and a data key for all of them");
    ExitCode exit = ExitCode::Success;
    if (!parseOptions(options, argumentCount, arguments, "jasminequay make-keys", exit)) {
        return exit;
    }
    return withFailure(
        []() -> Result<ExitCode> {
            BOOST_LEAF_AUTO(keys, makeKeyPair());
            std::cout << "public-key: '" << keys.publicKey << "'\nsecret-key: '" << keys.secretKey
                      << "'\ndata-key: '" << makeDataKey() << "'\n";
            return ExitCode::Success;
        },
        [](const Failure &failure) {
            std::cerr << "jasminequay: " << describe(failure) << '\n';
            return ExitCode::Failure;
        });
}

} // namespace jasminequay
