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

/** Stand-in for one minion: an HTTP server with a fixed number of slots and
 * connections that injects faults and records each request that it ran. */
class SimulatedMinion
{
public:
  SimulatedMinion(boost::asio::io_context& aContext,
                  std::string aName,
                  std::int32_t aSlots,
                  std::int32_t aConnections);

  /** Binds the endpoint and starts to serve; false, with the reason, when the
   * endpoint cannot be bound. */
  bool Listen(const Endpoint& aEndpoint, Reason& aReason);

  const std::string& Name() const { return this->name; }
  /** Changes the name, as when another minion starts at the same address. */
  void Rename(std::string aName) { this->name = std::move(aName); }
  MinionFaults& Faults() { return this->faults; }
  /** Leaves all further requests on the connections that are now open
   * unanswered. */
  void SilenceOpenConnections() { ++this->minServedGeneration; }
  /** Switches the recording of executions on or off; on at first. */
  void SetRecording(bool aIsRecording) { this->isRecording = aIsRecording; }
  const std::vector<MinionExecution>& Executions() const
  {
    return this->executions;
  }
  /** Connections closed because the limit was reached. */
  std::int64_t RefusedConnections() const { return this->refusedConnections; }
  /** Longest queue of requests for a slot so far. */
  std::int64_t MaxSlotQueue() const { return this->maxSlotQueue; }

private:
  struct Session;

  boost::asio::awaitable<void> Accept();
  boost::asio::awaitable<void> Serve(boost::asio::ip::tcp::socket aSocket);
  boost::asio::awaitable<bool> ServeOne(Session& aSession);
  boost::asio::awaitable<void> Execute(std::string aIdentity,
                                       std::string aBody);
  boost::asio::awaitable<void> Pause(std::int64_t aMicroseconds);
  boost::asio::awaitable<void> AcquireSlot();
  void ReleaseSlot();
  /** Whether a fault of every aEvery-th request applies to this one. */
  bool IsFaultDue(std::int64_t aEvery) const;

  boost::asio::io_context* context;
  boost::asio::ip::tcp::acceptor acceptor;
  std::string name;
  std::int32_t freeSlots;
  std::int32_t maxConnections;
  std::int32_t openConnections = 0;
  std::int64_t refusedConnections = 0;
  std::int64_t maxSlotQueue = 0;
  std::int64_t requestCount = 0;
  /** Connections of an earlier generation get no answers. */
  std::int64_t minServedGeneration = 0;
  bool isRecording = true;
  MinionFaults faults;
  std::deque<boost::asio::steady_timer*> slotQueue;
  std::vector<MinionExecution> executions;
};

}
