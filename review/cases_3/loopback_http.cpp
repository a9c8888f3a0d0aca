#include "loopback_http.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cctype>
#include <cstdint>
#include <cstring>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdexcept>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>
#include <utility>

namespace review {

namespace {

constexpr int kBacklog = 256;
constexpr std::size_t kBlockBytes = 65536;

sockaddr_in
SocketAddress(const Address& aAddress)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(aAddress.port));
  inet_pton(AF_INET, aAddress.ip.c_str(), &address.sin_addr);
  return address;
}

/** Binds a socket; aPort 0 lets the kernel choose the port. */
int
Bind(Address& aAddress)
{
  const int handle = ::socket(AF_INET, SOCK_STREAM, 0);
  const int on = 1;
  ::setsockopt(handle, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  sockaddr_in address = SocketAddress(aAddress);
  if (::bind(handle, reinterpret_cast<sockaddr*>(&address), sizeof(address)) !=
      0) {
    throw std::runtime_error("cannot bind " + aAddress.Text());
  }
  socklen_t length = sizeof(address);
  ::getsockname(handle, reinterpret_cast<sockaddr*>(&address), &length);
  aAddress.port = ntohs(address.sin_port);
  return handle;
}

bool
SendAll(int aSocket, const std::string& aText)
{
  std::size_t sent = 0;
  while (sent < aText.size()) {
    const ssize_t count =
      ::send(aSocket, aText.data() + sent, aText.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(count);
  }
  return true;
}

bool
Receive(int aSocket, std::string& aBuffer)
{
  std::string block(kBlockBytes, '\0');
  const ssize_t count = ::recv(aSocket, block.data(), block.size(), 0);
  if (count <= 0) {
    return false;
  }
  aBuffer.append(block, 0, static_cast<std::size_t>(count));
  return true;
}

std::string
Lower(std::string aText)
{
  std::transform(aText.begin(), aText.end(), aText.begin(), [](char aLetter) {
    return static_cast<char>(std::tolower(static_cast<unsigned char>(aLetter)));
  });
  return aText;
}

/** Reads one message with a Content-Length; its first line, fields and body. */
bool
ReadMessage(int aSocket,
            std::string& aBuffer,
            std::string& aFirstLine,
            std::map<std::string, std::string>& aFields,
            std::string& aBody)
{
  std::size_t headEnd = std::string::npos;
  while ((headEnd = aBuffer.find("\r\n\r\n")) == std::string::npos) {
    if (!Receive(aSocket, aBuffer)) {
      return false;
    }
  }
  const std::string head = aBuffer.substr(0, headEnd + 2);
  aBuffer.erase(0, headEnd + 4);
  std::size_t start = head.find("\r\n");
  aFirstLine = head.substr(0, start);
  start += 2;
  while (start < head.size()) {
    const std::size_t end = head.find("\r\n", start);
    const std::string line = head.substr(start, end - start);
    const std::size_t colon = line.find(':');
    if (colon != std::string::npos) {
      std::size_t value = colon + 1;
      while (value < line.size() && line[value] == ' ') {
        ++value;
      }
      aFields[Lower(line.substr(0, colon))] = line.substr(value);
    }
    start = end + 2;
  }
  const auto length = aFields.find("content-length");
  const std::size_t bytes =
    length == aFields.end() ? 0 : std::stoul(length->second);
  while (aBuffer.size() < bytes) {
    if (!Receive(aSocket, aBuffer)) {
      return false;
    }
  }
  aBody = aBuffer.substr(0, bytes);
  aBuffer.erase(0, bytes);
  return true;
}

std::string
PercentDecode(const std::string& aText)
{
  constexpr int kHexadecimal = 16;
  std::string text;
  for (std::size_t position = 0; position < aText.size(); ++position) {
    if (aText[position] == '%' && position + 2 < aText.size()) {
      text += static_cast<char>(
        std::stoi(aText.substr(position + 1, 2), nullptr, kHexadecimal));
      position += 2;
    } else {
      text += aText[position];
    }
  }
  return text;
}

void
SetTarget(const std::string& aTarget, Request& aRequest)
{
  const std::size_t mark = aTarget.find('?');
  aRequest.path = aTarget.substr(0, mark);
  std::size_t start = mark == std::string::npos ? aTarget.size() : mark + 1;
  while (start < aTarget.size()) {
    const std::size_t end = std::min(aTarget.find('&', start), aTarget.size());
    const std::string pair = aTarget.substr(start, end - start);
    const std::size_t equals = pair.find('=');
    if (equals != std::string::npos) {
      aRequest.query[pair.substr(0, equals)] =
        PercentDecode(pair.substr(equals + 1));
    }
    start = end + 1;
  }
}

}

std::string
Address::Text() const
{
  return this->ip + ":" + std::to_string(this->port);
}

Address
FreeAddress(const std::string& aIp)
{
  Address address{ aIp, 0 };
  ::close(Bind(address));
  return address;
}

LoopbackServer::LoopbackServer(const std::string& aIp, Handler aHandler)
  : address{ aIp, 0 }
  , handler(std::move(aHandler))
{
  const int listener = Bind(this->address);
  ::listen(listener, kBacklog);
  std::thread([this, listener] { this->Accept(listener); }).detach();
}

void
LoopbackServer::Accept(int aListener)
{
  while (true) {
    const int accepted = ::accept(aListener, nullptr, nullptr);
    if (accepted >= 0) {
      std::thread([this, accepted] { this->Serve(accepted); }).detach();
    }
  }
}

void
LoopbackServer::Serve(int aSocket)
{
  const int on = 1;
  ::setsockopt(aSocket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  std::string buffer;
  std::string line;
  while (true) {
    Request request;
    if (!ReadMessage(aSocket, buffer, line, request.fields, request.body)) {
      break;
    }
    const std::size_t first = line.find(' ');
    const std::size_t second = line.find(' ', first + 1);
    request.method = line.substr(0, first);
    SetTarget(line.substr(first + 1, second - first - 1), request);
    const std::optional<Answer> answer = this->handler(request);
    if (answer && answer->status == kClosed) {
      break;
    }
    if (!answer) {
      while (Receive(aSocket, buffer)) {
      }
      break;
    }
    const std::string text =
      "HTTP/1.1 " + std::to_string(answer->status) +
      " -\r\nContent-Type: application/json\r\nContent-Length: " +
      std::to_string(answer->body.size()) + "\r\n\r\n" + answer->body;
    if (!SendAll(aSocket, text)) {
      break;
    }
  }
  ::close(aSocket);
}

std::optional<Answer>
Call(const Address& aServer,
     const std::string& aMethod,
     const std::string& aTarget,
     const std::map<std::string, std::string>& aFields,
     const std::string& aBody,
     int aTimeoutMs)
{
  constexpr std::int64_t kMillisecondsPerSecond = 1000;
  const int handle = ::socket(AF_INET, SOCK_STREAM, 0);
  timeval timeout{};
  timeout.tv_sec = aTimeoutMs / kMillisecondsPerSecond;
  timeout.tv_usec =
    (aTimeoutMs % kMillisecondsPerSecond) * kMillisecondsPerSecond;
  ::setsockopt(handle, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
  ::setsockopt(handle, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof(timeout));
  sockaddr_in address = SocketAddress(aServer);
  std::string head = aMethod + " " + aTarget + " HTTP/1.1\r\n";
  for (const auto& [name, value] : aFields) {
    head += name + ": " + value + "\r\n";
  }
  head += "Content-Type: application/json\r\nContent-Length: " +
          std::to_string(aBody.size()) + "\r\nConnection: close\r\n\r\n";
  std::string buffer;
  std::string line;
  std::map<std::string, std::string> fields;
  Answer answer;
  const bool isAnswered =
    ::connect(handle, reinterpret_cast<sockaddr*>(&address), sizeof(address)) ==
      0 &&
    SendAll(handle, head + aBody) &&
    ReadMessage(handle, buffer, line, fields, answer.body);
  ::close(handle);
  if (!isAnswered) {
    return std::nullopt;
  }
  answer.status = std::stoi(line.substr(line.find(' ') + 1));
  return answer;
}

}
