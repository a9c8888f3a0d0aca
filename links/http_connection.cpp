#include "links/http_connection.h"

#include "core/reason.h"
#include "links/http_message.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <cerrno>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <utility>

namespace sardinecourse {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

constexpr std::uint64_t kBodyLimitBytes = 64ULL << 20U;
/** The connection fails when sent data stays unacknowledged for this long. */
constexpr int kUnacknowledgedLimitMs = 3000;

using UserTimeout =
  asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
using Parser = http::response_parser<http::string_body>;

bool
IsInterim(const Parser& aParser)
{
  return http::to_status_class(aParser.get().result()) ==
         http::status_class::informational;
}

/** False for an answer that is delimited by the end of the connection: it
 * cannot be distinguished from a truncated one. */
bool
HasKnownEnd(const Parser& aParser, bool aIsHead)
{
  const http::status status = aParser.get().result();
  return aIsHead || status == http::status::no_content ||
         status == http::status::not_modified || aParser.chunked() ||
         aParser.content_length().has_value();
}

}

struct HttpConnection::Stream
{
  explicit Stream(asio::io_context& aContext)
    : tcp(aContext)
  {
  }
  boost::beast::tcp_stream tcp;
  boost::beast::flat_buffer buffer;
  bool reusable = false;
};

HttpConnection::HttpConnection(asio::io_context& aContext, Endpoint aEndpoint)
  : endpoint(std::move(aEndpoint))
  , stream(std::make_unique<Stream>(aContext))
{
}

HttpConnection::~HttpConnection() = default;
HttpConnection::HttpConnection(HttpConnection&&) noexcept = default;
HttpConnection&
HttpConnection::operator=(HttpConnection&&) noexcept = default;

bool
HttpConnection::Reusable() const
{
  return this->stream->reusable;
}

bool
HttpConnection::HasNoPendingInput() const
{
  char byte = 0;
  const auto handle = this->stream->tcp.socket().native_handle();
  const auto received = ::recv(handle, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

asio::awaitable<bool>
HttpConnection::Connect(Milliseconds aTimeout, Reason& aReason)
{
  boost::system::error_code error;
  const asio::ip::tcp::endpoint peer(
    asio::ip::make_address(this->endpoint.Ip()), this->endpoint.Port());
  this->stream->tcp.expires_after(aTimeout);
  co_await this->stream->tcp.async_connect(
    peer, asio::redirect_error(asio::use_awaitable, error));
  if (error) {
    aReason =
      Reason(Step::kUpstreamConnect, this->endpoint.Text(), error.message());
    this->Close();
    co_return false;
  }
  boost::system::error_code ignored;
  this->stream->tcp.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
  this->stream->tcp.socket().set_option(UserTimeout(kUnacknowledgedLimitMs),
                                        ignored);
  this->stream->reusable = true;
  co_return true;
}

asio::awaitable<std::optional<HttpAnswer>>
HttpConnection::Exchange(const HttpRequest& aRequest,
                         Milliseconds aTimeout,
                         ExchangeProgress& aProgress,
                         Reason& aReason)
{
  boost::system::error_code error;
  auto message = ToMessage(aRequest);
  message.set(http::field::host, this->endpoint.Text());
  this->stream->reusable = false;
  this->stream->tcp.expires_after(aTimeout);
  aProgress = ExchangeProgress::kMaybeSent;
  co_await http::async_write(this->stream->tcp,
                             message,
                             asio::redirect_error(asio::use_awaitable, error));
  if (error) {
    aReason =
      Reason(Step::kUpstreamSend, this->endpoint.Text(), error.message());
    this->Close();
    co_return std::nullopt;
  }
  const bool isHead = message.method() == http::verb::head;
  std::optional<Parser> parser;
  do {
    parser.emplace();
    parser->body_limit(kBodyLimitBytes);
    parser->skip(isHead);
    co_await http::async_read(this->stream->tcp,
                              this->stream->buffer,
                              *parser,
                              asio::redirect_error(asio::use_awaitable, error));
  } while (!error && IsInterim(*parser));
  if (error || !HasKnownEnd(*parser, isHead)) {
    const std::string text =
      error ? error.message()
            : "the answer has no length, so it may be truncated";
    aReason = Reason(Step::kUpstreamReceive, this->endpoint.Text(), text);
    this->Close();
    co_return std::nullopt;
  }
  aProgress = ExchangeProgress::kAnswered;
  // Surplus bytes after the answer would be read as the answer to the next
  // request.
  this->stream->reusable =
    parser->keep_alive() && this->stream->buffer.size() == 0;
  if (!this->stream->reusable) {
    this->Close();
  }
  co_return FromMessage(parser->release());
}

void
HttpConnection::Close()
{
  this->stream->reusable = false;
  this->stream->tcp.close();
}

}
