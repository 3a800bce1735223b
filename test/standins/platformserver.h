// A platform that publishes two files: a settings value and the list of instances, each by read and by
// waiting watch.
#pragma once

#include "jasminequay/Packet/endpoint.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <string>

namespace jasminequay::standin
{

/// Serves /v1/settings and /v1/instances as docs/platform.md describes.
class PlatformServer
{
public:
    PlatformServer(boost::asio::io_context &context, Endpoint address, std::string settingsFile,
        std::string instancesFile);

    [[nodiscard]] std::uint64_t calls() const
    {
        return m_calls;
    }

private:
    boost::asio::awaitable<void> accept();
    boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket socket);

    boost::asio::io_context &m_context;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::string m_settingsFile;
    std::string m_instancesFile;
    std::uint64_t m_calls = 0;
};

} // namespace jasminequay::standin
