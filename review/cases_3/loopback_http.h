#pragma once

#include <atomic>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <thread>

namespace review {

struct Request
{
  std::string method;
  std::string path;
  std::map<std::string, std::string> query;
  std::map<std::string, std::string> fields;
  std::string body;
};

/** Status of an answer that only closes the connection. */
constexpr int kClosed = 0;

struct Answer
{
  int status = 0;
  std::string body;
};

/** Address of a listening socket. */
struct Address
{
  std::string ip;
  int port = 0;

  std::string Text() const;
};

/** Returns an address of aIp on which nothing listens. */
Address
FreeAddress(const std::string& aIp);

/** Serves HTTP/1.1 on a loopback address, with one thread a connection. */
class LoopbackServer
{
public:
  /** Without an answer the connection delivers nothing further. */
  using Handler = std::function<std::optional<Answer>(const Request&)>;

  LoopbackServer(const std::string& aIp, Handler aHandler);

  const Address& Listen() const { return this->address; }

private:
  void Accept(int aListener);
  void Serve(int aSocket);

  Address address;
  Handler handler;
};

/** Sends one request on a connection of its own; empty when no whole answer
 * came within aTimeoutMs. */
std::optional<Answer>
Call(const Address& aServer,
     const std::string& aMethod,
     const std::string& aTarget,
     const std::map<std::string, std::string>& aFields,
     const std::string& aBody,
     int aTimeoutMs);

}
