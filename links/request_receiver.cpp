#include "links/request_receiver.h"

#include "links/http_message.h"
#include "links/http_sessions.h"
#include "zones/callers/caller_admission.h"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/http/error.hpp>
#include <iterator>
#include <utility>

namespace sardinecourse {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

constexpr std::size_t kMinReadBytes = 512;
/** For the rest of a body whose length is not known. */
constexpr std::size_t kChunkReadBytes = 8U << 10U;
/** A buffer that is larger is released once it is empty. */
constexpr std::size_t kKeptBufferBytes = 8U << 10U;
/** Memory of a header field beside its text, while it is parsed and after. */
constexpr std::int64_t kFieldBytes = 256;

/** Memory of the fields and the body that were parsed. */
std::int64_t
ParsedBytes(const HttpSession::Parser& aParser)
{
  auto bytes = static_cast<std::int64_t>(aParser.get().body().capacity());
  for (const auto& field : aParser.get()) {
    bytes += kFieldBytes + static_cast<std::int64_t>(
                             field.name_string().size() + field.value().size());
  }
  return bytes;
}

std::size_t
NextReadBytes(const HttpSession& aSession, const HttpSession::Parser& aParser)
{
  const auto& buffer = aSession.buffer;
  std::size_t bytes =
    std::max(kMinReadBytes, buffer.capacity() - buffer.size());
  if (aParser.is_header_done()) {
    bytes = std::max<std::size_t>(
      bytes, aParser.content_length_remaining().value_or(kChunkReadBytes));
  }
  return std::min(bytes, buffer.max_size() - buffer.size());
}

}

asio::awaitable<RequestReceiver::Result>
RequestReceiver::Receive(HttpSession& aSession)
{
  const CallerLimits& limits = this->sessions->Limits();
  Parser parser;
  parser.eager(true);
  parser.body_limit(static_cast<std::uint64_t>(limits.BodyBytes()));
  parser.header_limit(static_cast<std::uint32_t>(limits.HeaderBytes()));
  aSession.parser = &parser;
  aSession.Enter(HttpSession::State::kReading);
  aSession.isReceiving = aSession.HasBegun();
  aSession.stream.expires_after(aSession.isReceiving ? limits.RequestTime()
                                                     : limits.IdleTime());
  Result result;
  boost::system::error_code error;
  result.refusal = co_await this->Read(aSession, parser, error);
  aSession.parser = nullptr;
  if (!error && !result.refusal) {
    result.isKeptOpen = parser.get().keep_alive();
    result.request = this->Admit(aSession, parser);
    if (!result.request) {
      result.refusal = CallerRefusal::kMemory;
    }
  }
  if (result.refusal && !aSession.shedFor) {
    this->sessions->Count(*result.refusal);
  }
  co_return result;
}

asio::awaitable<std::optional<CallerRefusal>>
RequestReceiver::Read(HttpSession& aSession,
                      Parser& aParser,
                      boost::system::error_code& aError)
{
  while (true) {
    if (aSession.buffer.size() > 0) {
      const std::optional<CallerRefusal> refusal =
        this->Parse(aSession, aParser);
      if (refusal || aParser.is_done()) {
        co_return refusal;
      }
    }
    const auto space =
      aSession.buffer.prepare(NextReadBytes(aSession, aParser));
    const std::size_t count = co_await aSession.stream.async_read_some(
      space, asio::redirect_error(asio::use_awaitable, aError));
    aSession.buffer.commit(count);
    if (aSession.shedFor == CallerRefusal::kMemory) {
      co_return CallerRefusal::kMemory;
    }
    // A request that crossed the close of its idle connection is served.
    if (aSession.shedFor && (aSession.isReceiving || count == 0)) {
      aError = asio::error::operation_aborted;
    }
    if (aError == boost::beast::error::timeout && aSession.isReceiving) {
      co_return CallerRefusal::kRequestTooSlow;
    }
    if (aError) {
      co_return std::nullopt;
    }
    if (!aSession.isReceiving) {
      aSession.isReceiving = true;
      aSession.since = Clock::now();
      aSession.stream.expires_after(this->sessions->Limits().RequestTime());
    }
  }
}

std::optional<CallerRefusal>
RequestReceiver::Parse(HttpSession& aSession, Parser& aParser) const
{
  boost::system::error_code error;
  const std::size_t used = aParser.put(aSession.buffer.data(), error);
  aSession.buffer.consume(used);
  if (error == http::error::body_limit) {
    return CallerRefusal::kBodyTooLarge;
  }
  // Trailers and the header of a chunk are parsed only as a whole.
  const bool isBufferFull =
    !aParser.is_done() && aSession.buffer.size() >= aSession.buffer.max_size();
  const auto fields = std::distance(aParser.get().begin(), aParser.get().end());
  if (error == http::error::header_limit || isBufferFull ||
      fields > this->sessions->Limits().HeaderFields()) {
    return CallerRefusal::kHeaderTooLarge;
  }
  if (error && error != http::error::need_more) {
    return CallerRefusal::kMalformed;
  }
  const std::int64_t bytes = HttpSessions::kConnectionBytes +
                             aSession.BufferBytes() + ParsedBytes(aParser);
  if (!this->sessions->TryCharge(aSession, bytes, HasRoomFor)) {
    return CallerRefusal::kMemory;
  }
  return std::nullopt;
}

std::optional<HttpRequest>
RequestReceiver::Admit(HttpSession& aSession, Parser& aParser) const
{
  const std::int64_t request = ParsedBytes(aParser);
  if (aSession.buffer.capacity() > kKeptBufferBytes) {
    aSession.buffer.shrink_to_fit();
  }
  const std::int64_t bytes = HttpSessions::kConnectionBytes +
                             aSession.BufferBytes() +
                             HandledRequestBytes(request);
  if (!this->sessions->TryCharge(aSession, bytes, AdmitsRequest)) {
    return std::nullopt;
  }
  return FromMessage(aParser.release());
}

}
