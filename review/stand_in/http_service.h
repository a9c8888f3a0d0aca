#pragma once

#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <map>
#include <string>

namespace review {

struct ServiceCall
{
  std::string method;
  std::string path;
  std::map<std::string, std::string> query;
  /** Incarnation that the caller expects; empty for none. */
  std::string instance;
  std::string body;
};

struct ServiceAnswer
{
  int status = 200;
  std::string body = "{}";
  /** The answer is lost: the connection stays open and delivers nothing more.
   */
  bool isLost = false;
};

using ServiceHandler =
  std::function<boost::asio::awaitable<ServiceAnswer>(ServiceCall)>;

/** Serves HTTP/1.1 on a free port of aIp; returns "IP:PORT". */
std::string
ServeHttp(boost::asio::io_context& aContext,
          const std::string& aIp,
          ServiceHandler aHandler);

}
