#pragma once

#include "core/endpoint.h"
#include "tests/stand_ins/minion_execution.h"
#include "tests/stand_ins/minion_faults.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <string>
#include <vector>

namespace sardinecourse {

class Reason;

/** One stand-in minion: an HTTP server with slots, a limit of connections and
 * faults, which records what it ran. */
class SimulatedMinion
{
public:
  SimulatedMinion(boost::asio::io_context& aContext,
                  std::string aName,
                  std::int32_t aSlots,
                  std::int32_t aConnections);

  bool Listen(const Endpoint& aEndpoint, Reason& aReason);

  const std::string& Name() const { return this->name; }
  /** Takes on another identity, as after a restart at the same address. */
  void Rename(std::string aName) { this->name = std::move(aName); }
  MinionFaults& Faults() { return this->faults; }
  /** Every connection that is open now goes silent for good. */
  void SilenceOpenConnections() { ++this->silentBefore; }
  void Record(bool aIsRecording) { this->isRecording = aIsRecording; }
  const std::vector<MinionExecution>& Executions() const
  {
    return this->executions;
  }
  std::int64_t RefusedConnections() const { return this->refusedConnections; }
  std::int64_t MaxWaiting() const { return this->maxWaiting; }

private:
  struct Session;

  boost::asio::awaitable<void> Accept();
  boost::asio::awaitable<void> Serve(boost::asio::ip::tcp::socket aSocket);
  boost::asio::awaitable<bool> ServeOne(Session& aSession);
  boost::asio::awaitable<void> Execute(std::string aIdentity,
                                       std::string aBody);
  boost::asio::awaitable<void> Pause(std::int64_t aMicroseconds);
  boost::asio::awaitable<void> TakeSlot();
  void ReleaseSlot();
  bool Hits(std::int64_t aEvery) const;

  boost::asio::io_context* context;
  boost::asio::ip::tcp::acceptor acceptor;
  std::string name;
  std::int32_t freeSlots;
  std::int32_t connectionLimit;
  std::int32_t openConnections = 0;
  std::int64_t refusedConnections = 0;
  std::int64_t maxWaiting = 0;
  std::int64_t count = 0;
  std::int64_t silentBefore = 0;
  bool isRecording = true;
  MinionFaults faults;
  std::deque<boost::asio::steady_timer*> waiting;
  std::vector<MinionExecution> executions;
};

}
