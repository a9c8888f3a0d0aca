#pragma once

#include "links/http_connection.h"
#include "links/http_request.h"
#include "tests/load/load_options.h"
#include "tests/load/load_report.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <random>
#include <vector>

namespace sardinecourse {

/** Sends one thread's share of the load and records the answers. */
class LoadThread
{
public:
  LoadThread(const LoadOptions& aOptions, std::uint64_t aNumber);

  /** Sends the load; returns when every request was answered or timed out. */
  void Run();
  const LoadReport& Report() const { return this->report; }

private:
  using ConnectionPtr = std::unique_ptr<HttpConnection>;

  boost::asio::awaitable<void> SendAtRate();
  boost::asio::awaitable<void> SendBackToBack();
  boost::asio::awaitable<void> SendOne(Instant aDue);
  boost::asio::awaitable<ConnectionPtr> Open();
  HttpRequest MakeRequest();

  LoadOptions options;
  std::uint64_t number;
  boost::asio::io_context context;
  boost::asio::steady_timer arrivalTimer;
  std::mt19937_64 random;
  std::vector<ConnectionPtr> idleConnections;
  std::size_t nextTarget = 0;
  std::uint64_t nextKey = 0;
  Instant end;
  LoadReport report;
};

}
