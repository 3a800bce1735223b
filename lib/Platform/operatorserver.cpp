#include "jasminequay/Platform/operatorserver.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace jasminequay
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

constexpr auto Awaited = asio::as_tuple(asio::use_awaitable);
constexpr auto RequestTimeout = std::chrono::seconds(5);

OperatorServer::OperatorServer(asio::io_context &context, Handler handler)
    : m_context(context)
    , m_acceptor(context)
    , m_handler(std::move(handler))
{
}

Result<void> OperatorServer::open(Endpoint address)
{
    const asio::ip::tcp::endpoint local(asio::ip::address_v4(address.address.value), address.port);
    beast::error_code error;
    m_acceptor.open(local.protocol(), error);
    if (!error) {
        m_acceptor.set_option(asio::socket_base::reuse_address(true), error);
    }
    if (!error) {
        m_acceptor.bind(local, error);
    }
    if (!error) {
        m_acceptor.listen(asio::socket_base::max_listen_connections, error);
    }
    if (error) {
        return fail(Step::ServeOperators, format(address), error.message());
    }
    asio::co_spawn(m_context, accept(), asio::detached);
    return {};
}

asio::awaitable<void> OperatorServer::accept()
{
    while (m_acceptor.is_open()) {
        auto [error, socket] = co_await m_acceptor.async_accept(Awaited);
        if (!error) {
            asio::co_spawn(m_context, serve(std::move(socket)), asio::detached);
        }
    }
}

asio::awaitable<void> OperatorServer::serve(asio::ip::tcp::socket socket)
{
    beast::tcp_stream stream(std::move(socket));
    stream.expires_after(RequestTimeout);
    beast::flat_buffer buffer;
    http::request<http::string_body> request;
    if (const auto [error, size] = co_await http::async_read(stream, buffer, request, Awaited); error) {
        co_return;
    }
    const OperatorPage page = m_handler(std::string(request.target()));
    http::response<http::string_body> response(static_cast<http::status>(page.status), request.version());
    response.set(http::field::content_type, "text/plain; version=0.0.4");
    response.keep_alive(false);
    response.body() = page.body;
    response.prepare_payload();
    co_await http::async_write(stream, response, Awaited);
}

} // namespace jasminequay
