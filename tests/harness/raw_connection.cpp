#include "tests/harness/raw_connection.h"

#include <array>
#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <charconv>

namespace sardinecourse::harness {

namespace asio = boost::asio;

namespace {

constexpr std::size_t kBlockBytes = 16384;

/** True if aText begins with a complete HTTP answer with a Content-Length. */
bool
HasAnswer(const std::string& aText)
{
  constexpr std::string_view kEndOfHead = "\r\n\r\n";
  constexpr std::string_view kLength = "Content-Length: ";
  const std::size_t head = aText.find(kEndOfHead);
  const std::size_t field = aText.find(kLength);
  if (head == std::string::npos || field > head) {
    return false;
  }
  std::size_t length = 0;
  const char* const value = aText.data() + field + kLength.size();
  std::from_chars(value, aText.data() + head, length);
  return aText.size() >= head + kEndOfHead.size() + length;
}

}

struct RawConnection::Socket
{
  asio::io_context context{ 1 };
  asio::ip::tcp::socket tcp{ context };
  bool isOpen = false;
  std::string received;
};

RawConnection::RawConnection(const Endpoint& aServer, int aReceiveBuffer)
  : socket(std::make_unique<Socket>())
{
  const asio::ip::tcp::endpoint server(asio::ip::make_address(aServer.Ip()),
                                       aServer.Port());
  boost::system::error_code error;
  this->socket->tcp.open(server.protocol(), error);
  if (aReceiveBuffer > 0) {
    this->socket->tcp.set_option(
      asio::socket_base::receive_buffer_size(aReceiveBuffer), error);
  }
  this->socket->tcp.connect(server, error);
  this->socket->isOpen = !error;
}

RawConnection::~RawConnection() = default;
RawConnection::RawConnection(RawConnection&&) noexcept = default;
RawConnection&
RawConnection::operator=(RawConnection&&) noexcept = default;

bool
RawConnection::IsOpen() const
{
  return this->socket->isOpen;
}

bool
RawConnection::Send(std::string_view aBytes)
{
  boost::system::error_code error;
  asio::write(this->socket->tcp, asio::buffer(aBytes), error);
  this->socket->isOpen = this->socket->isOpen && !error;
  return this->socket->isOpen;
}

void
RawConnection::RunFor(Milliseconds aTimeout)
{
  this->socket->context.restart();
  this->socket->context.run_for(aTimeout);
  boost::system::error_code ignored;
  this->socket->tcp.cancel(ignored);
  this->socket->context.restart();
  this->socket->context.run();
}

std::size_t
RawConnection::SendFor(std::string_view aBytes, Milliseconds aTimeout)
{
  std::size_t sent = 0;
  asio::async_write(
    this->socket->tcp,
    asio::buffer(aBytes),
    [this, &sent](const boost::system::error_code& aError, std::size_t aBytes) {
      sent = aBytes;
      if (aError && aError != asio::error::operation_aborted) {
        this->socket->isOpen = false;
      }
    });
  this->RunFor(aTimeout);
  return sent;
}

void
RawConnection::ReceiveSome(Milliseconds aTimeout)
{
  std::array<char, kBlockBytes> block{};
  this->socket->tcp.async_read_some(
    asio::buffer(block),
    [this, &block](const boost::system::error_code& aError,
                   std::size_t aBytes) {
      this->socket->received.append(block.data(), aBytes);
      if (aError && aError != asio::error::operation_aborted) {
        this->socket->isOpen = false;
      }
    });
  this->RunFor(aTimeout);
}

void
RawConnection::ReceiveFor(Milliseconds aTimeout)
{
  const Instant end = Clock::now() + aTimeout;
  while (this->IsOpen() && Clock::now() < end) {
    this->ReceiveSome(std::chrono::ceil<Milliseconds>(end - Clock::now()));
  }
}

bool
RawConnection::ReceiveAnswer(Milliseconds aTimeout)
{
  const Instant end = Clock::now() + aTimeout;
  while (!HasAnswer(this->Received()) && this->IsOpen() && Clock::now() < end) {
    this->ReceiveSome(std::chrono::ceil<Milliseconds>(end - Clock::now()));
  }
  return HasAnswer(this->Received());
}

const std::string&
RawConnection::Received() const
{
  return this->socket->received;
}

void
RawConnection::Forget()
{
  this->socket->received.clear();
}

void
RawConnection::Close()
{
  boost::system::error_code ignored;
  this->socket->tcp.close(ignored);
  this->socket->isOpen = false;
}

}
