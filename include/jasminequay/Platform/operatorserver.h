// The HTTP server for operators: metrics and health.
#pragma once

#include "jasminequay/Packet/endpoint.h"
#include "jasminequay/Support/failure.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <string>

namespace jasminequay
{

/// A page for operators.
struct OperatorPage {
    unsigned status = 200;
    std::string body;
};

/// Serves pages by path.
class OperatorServer
{
public:
    using Handler = std::function<OperatorPage(const std::string &path)>;

    OperatorServer(boost::asio::io_context &context, Handler handler);

    /// Listens on an address.
    Result<void> open(Endpoint address);

private:
    boost::asio::awaitable<void> accept();
    boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket socket);

    boost::asio::io_context &m_context;
    boost::asio::ip::tcp::acceptor m_acceptor;
    Handler m_handler;
};

} // namespace jasminequay
