#include "jasminequay/Platform/httpexchange.h"

#include <boost/algorithm/string/case_conv.hpp>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace jasminequay
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

constexpr auto Awaited = asio::as_tuple(asio::use_awaitable);

asio::awaitable<HttpAnswer> httpGet(Endpoint server, std::string path, HttpLimits limits, Step step)
{
    beast::tcp_stream stream(co_await asio::this_coro::executor);
    const asio::ip::tcp::endpoint address(asio::ip::address_v4(server.address.value), server.port);
    HttpAnswer answer;
    const auto failed = [&](const beast::error_code &error) {
        answer.isRefused = error == asio::error::connection_refused || error == asio::error::connection_reset;
        answer.isTooLarge = error == http::error::body_limit;
        answer.failure = Failure{step, format(server) + path, error.message()};
        return answer;
    };
    stream.expires_after(std::chrono::duration_cast<std::chrono::steady_clock::duration>(limits.timeout));
    if (const auto [error] = co_await stream.async_connect(address, Awaited); error) {
        co_return failed(error);
    }
    answer.isConnected = true;
    http::request<http::empty_body> request(http::verb::get, path, 11);
    request.set(http::field::host, format(server));
    request.keep_alive(false);
    if (const auto [error, size] = co_await http::async_write(stream, request, Awaited); error) {
        co_return failed(error);
    }
    beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    parser.body_limit(limits.bodySize);
    if (const auto [error, size] = co_await http::async_read(stream, buffer, parser, Awaited); error) {
        co_return failed(error);
    }
    for (const auto &field : parser.get()) {
        answer.headers[boost::algorithm::to_lower_copy(std::string(field.name_string()))] = field.value();
    }
    answer.status = parser.get().result_int();
    answer.body = std::move(parser.get().body());
    co_return answer;
}

} // namespace jasminequay
