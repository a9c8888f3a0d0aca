#include "review/stand_in/client.h"

#include "review/stand_in/words.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <chrono>

namespace review {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;

ClientAnswer
SendCall(const std::string& aAddress, const ClientCall& aCall)
{
  const std::size_t colon = aAddress.rfind(':');
  const tcp::endpoint peer(
    asio::ip::make_address(aAddress.substr(0, colon)),
    static_cast<std::uint16_t>(std::stoi(aAddress.substr(colon + 1))));
  const std::int64_t deadlineMs =
    aCall.deadlineMs > 0 ? aCall.deadlineMs : aCall.waitMs;
  http::request<http::string_body> request(
    http::string_to_verb(aCall.method), aCall.path, 11);
  request.set(http::field::host, "nony24.example");
  request.set(http::field::content_type, "application/json");
  request.set(Word("wait_field"), std::to_string(deadlineMs));
  if (!aCall.key.empty()) {
    request.set(Word("key_field"), aCall.key);
  }
  request.body() = aCall.body;
  request.prepare_payload();

  asio::io_context context(1);
  boost::beast::tcp_stream stream(context);
  boost::beast::flat_buffer buffer;
  http::response<http::string_body> response;
  ClientAnswer answer;
  stream.expires_after(std::chrono::milliseconds(aCall.waitMs));
  stream.async_connect(peer, [&](const boost::system::error_code& aError) {
    if (aError) {
      return;
    }
    http::async_write(
      stream,
      request,
      [&](const boost::system::error_code& aWriteError, std::size_t) {
        if (aWriteError) {
          return;
        }
        http::async_read(
          stream,
          buffer,
          response,
          [&](const boost::system::error_code& aReadError, std::size_t) {
            if (!aReadError) {
              answer.status = static_cast<int>(response.result_int());
              answer.body =
                nlohmann::json::parse(response.body(), nullptr, false);
            }
          });
      });
  });
  context.run();
  return answer;
}

}
