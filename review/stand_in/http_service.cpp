#include "review/stand_in/http_service.h"

#include "review/stand_in/words.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <memory>
#include <utility>

namespace review {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace {

constexpr int kHexBase = 16;

std::string
Decoded(const std::string& aText)
{
  std::string text;
  for (std::size_t at = 0; at < aText.size(); ++at) {
    if (aText[at] == '%' && at + 2 < aText.size()) {
      text += static_cast<char>(
        std::stoi(aText.substr(at + 1, 2), nullptr, kHexBase));
      at += 2;
    } else {
      text += aText[at];
    }
  }
  return text;
}

ServiceCall
CallOf(const http::request<http::string_body>& aRequest)
{
  ServiceCall call;
  call.method = std::string(aRequest.method_string());
  const std::string target(aRequest.target());
  const std::size_t mark = target.find('?');
  call.path = target.substr(0, mark);
  std::string rest =
    mark == std::string::npos ? std::string() : target.substr(mark + 1);
  while (!rest.empty()) {
    const std::string pair = rest.substr(0, rest.find('&'));
    rest.erase(0, pair.size() + 1);
    const std::size_t equals = pair.find('=');
    if (equals != std::string::npos) {
      call.query[pair.substr(0, equals)] = Decoded(pair.substr(equals + 1));
    }
  }
  call.instance = std::string(aRequest[Word("instance_field")]);
  call.body = aRequest.body();
  return call;
}

asio::awaitable<void>
ServeConnection(tcp::socket aSocket, const ServiceHandler* aHandler)
{
  boost::system::error_code error;
  aSocket.set_option(tcp::no_delay(true), error);
  boost::beast::tcp_stream stream(std::move(aSocket));
  boost::beast::flat_buffer buffer;
  while (true) {
    http::request<http::string_body> request;
    co_await http::async_read(stream,
                              buffer,
                              request,
                              asio::redirect_error(asio::use_awaitable, error));
    if (error) {
      co_return;
    }
    ServiceCall call = CallOf(request);
    const ServiceAnswer answer = co_await (*aHandler)(std::move(call));
    if (answer.isLost) {
      http::request<http::string_body> ignored;
      co_await http::async_read(
        stream,
        buffer,
        ignored,
        asio::redirect_error(asio::use_awaitable, error));
      co_return;
    }
    http::response<http::string_body> response(
      static_cast<http::status>(answer.status), request.version());
    response.set(http::field::content_type, "application/json");
    response.keep_alive(request.keep_alive());
    response.body() = answer.body;
    response.prepare_payload();
    co_await http::async_write(
      stream, response, asio::redirect_error(asio::use_awaitable, error));
    if (error || !response.keep_alive()) {
      co_return;
    }
  }
}

asio::awaitable<void>
Accept(std::shared_ptr<tcp::acceptor> aAcceptor,
       std::shared_ptr<const ServiceHandler> aHandler)
{
  while (true) {
    boost::system::error_code error;
    tcp::socket socket = co_await aAcceptor->async_accept(
      asio::redirect_error(asio::use_awaitable, error));
    if (error == asio::error::operation_aborted) {
      co_return;
    }
    if (!error) {
      asio::co_spawn(aAcceptor->get_executor(),
                     ServeConnection(std::move(socket), aHandler.get()),
                     asio::detached);
    }
  }
}

}

std::string
ServeHttp(asio::io_context& aContext,
          const std::string& aIp,
          ServiceHandler aHandler)
{
  const auto acceptor = std::make_shared<tcp::acceptor>(
    aContext, tcp::endpoint(asio::ip::make_address(aIp), 0));
  const auto handler =
    std::make_shared<const ServiceHandler>(std::move(aHandler));
  std::string address =
    aIp + ":" + std::to_string(acceptor->local_endpoint().port());
  asio::co_spawn(aContext, Accept(acceptor, handler), asio::detached);
  return address;
}

}
