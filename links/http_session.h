#pragma once

#include "core/instant.h"
#include "machines/caller_refusal.h"
#include "zones/callers/held_connection.h"

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <optional>
#include <utility>

namespace sardinecourse {

/** An open connection of an HttpServer. */
struct HttpSession
{
  using Parser =
    boost::beast::http::request_parser<boost::beast::http::string_body>;

  enum class State : std::uint8_t
  {
    /** Waits for a request or reads it. */
    kReading,
    kHandling,
    kWriting,
    /** The last answer is written; reads until the caller closes. */
    kLingering
  };

  HttpSession(boost::asio::ip::tcp::socket aSocket, std::size_t aBufferLimit)
    : stream(std::move(aSocket))
    , buffer(aBufferLimit)
  {
  }

  /** True if any byte of the next request has arrived. */
  bool HasPartialRequest() const
  {
    boost::system::error_code ignored;
    return this->HasBegun() || this->stream.socket().available(ignored) > 0;
  }

  /** As HasPartialRequest(), apart from what the system holds unread. */
  bool HasBegun() const
  {
    return this->buffer.size() > 0 ||
           (this->parser != nullptr && this->parser->got_some());
  }

  std::int64_t BufferBytes() const
  {
    return static_cast<std::int64_t>(this->buffer.capacity());
  }

  void Enter(State aState)
  {
    this->state = aState;
    this->since = Clock::now();
  }

  HeldConnection Held() const
  {
    using Phase = HeldConnection::Phase;
    HeldConnection held;
    held.phase = Phase::kHandling;
    if (this->state == State::kWriting) {
      held.phase = Phase::kAnswering;
    } else if (this->state == State::kReading) {
      held.phase = this->isReceiving ? Phase::kReceiving : Phase::kIdle;
    }
    held.bytes = this->bytes;
    held.since = this->since;
    held.isServed = this->isServed;
    return held;
  }

  boost::beast::tcp_stream stream;
  /** What was received and not parsed. */
  boost::beast::flat_buffer buffer;
  /** While a request is read. */
  Parser* parser = nullptr;
  State state = State::kReading;
  Instant openedAt = Clock::now();
  /** When the state began; while it reads, when the first byte arrived. */
  Instant since = this->openedAt;
  /** Memory charged for it. */
  std::int64_t bytes = 0;
  /** A part of a request has arrived, and its handling has not begun. */
  bool isReceiving = false;
  bool isServed = false;
  /** Set once it is chosen to be closed in favour of others. */
  std::optional<CallerRefusal> shedFor;
};

}
