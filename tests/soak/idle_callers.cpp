#include "tests/soak/idle_callers.h"

#include "tests/harness/site_deployment.h"
#include "tests/soak/load_balancer.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <deque>
#include <random>
#include <string>

namespace sardinecourse::harness {

namespace {

using boost::asio::ip::tcp;

/** Connections of one caller; the oldest is closed for the next. */
constexpr std::size_t kMaxConnections = 24;
constexpr Milliseconds kConnectPause{ 150 };

/** The beginning of a request, or nothing. */
std::string
DrawPart(std::mt19937& aRandom)
{
  switch (aRandom() % 4) {
    case 0:
      return "POST /wide/00 HTTP/1.1\r\nHo";
    case 1:
      return "POST /wide/00 HTTP/1.1\r\nHost: a\r\n"
             "Content-Length: 500\r\n\r\n{\"Spec\"";
    default:
      return "";
  }
}

}

IdleCallers::IdleCallers(const SiteDeployment& aSite,
                         const LoadBalancer& aBalancer,
                         int aCallers,
                         unsigned aSeed)
  : site(&aSite)
  , balancer(&aBalancer)
{
  for (int index = 0; index < aCallers; ++index) {
    const unsigned seed = aSeed * aCallers + index;
    this->threads.emplace_back([this, seed] { this->Run(seed); });
  }
}

IdleCallers::~IdleCallers()
{
  this->Stop();
}

void
IdleCallers::Stop()
{
  this->isStopping = true;
  for (std::thread& thread : this->threads) {
    if (thread.joinable()) {
      thread.join();
    }
  }
}

void
IdleCallers::Run(unsigned aSeed)
{
  std::mt19937 random(aSeed);
  boost::asio::io_context context(1);
  std::deque<tcp::socket> connections;
  while (!this->isStopping) {
    const Endpoint& host = this->site->Callers(this->balancer->Select(random));
    boost::system::error_code error;
    tcp::socket connection(context);
    connection.connect(
      tcp::endpoint(boost::asio::ip::make_address(host.Ip()), host.Port()),
      error);
    if (!error) {
      boost::asio::write(
        connection, boost::asio::buffer(DrawPart(random)), error);
      connections.push_back(std::move(connection));
    }
    if (connections.size() > kMaxConnections) {
      connections.pop_front();
    }
    std::this_thread::sleep_for(kConnectPause);
  }
}

}
