#pragma once

#include "review/stand_in/http_service.h"
#include "review/stand_in/minion.h"
#include "review/stand_in/platform_store.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace review {

class Record;

/** The platform of one deployment: its store and its minions, each with an
 * address of its own on the loopback interface. A thread serves them; all other
 * calls are for any thread. */
class Site
{
public:
  struct Shape
  {
    int minions = 48;
    std::int64_t milliCores = 64'000;
    std::int64_t memoryMb = 131'072;
    std::int64_t accelerators = 8;
    int minionsPerRack = 6;
    std::int64_t maxLeaseMs = 10'000;
    std::int64_t stopMs = 900;
  };

  Site(const Shape& aShape, WorkOf aWorkOf, Record& aRecord);
  ~Site();
  Site(const Site&) = delete;
  Site& operator=(const Site&) = delete;

  const std::string& StoreAddress() const { return this->storeAddress; }
  void Configure(const nlohmann::json& aConfiguration);
  std::vector<std::string> MinionNames() const;
  /** Minions on which nothing runs. */
  std::vector<std::string> IdleMinions();
  void RefuseStarts(const std::vector<std::string>& aMinions, int aStatus);
  /** Time that the store takes for a read and for a transaction. */
  void SetStoreTimes(std::int64_t aReadMs, std::int64_t aCommitMs);

  std::size_t Running();
  std::size_t RunningOf(const std::string& aJob);
  /** Number of starts of the job's tasks so far. */
  std::size_t StartsOf(const std::string& aJob);
  /** Time of the job's latest start, on the clock of the record; -1 for none.
   */
  std::int64_t LastStartMs(const std::string& aJob);
  /** Number of starts of a task after another run of it had ended as done,
   * where that end was acknowledged by now. */
  std::size_t StartsAfterDone();
  /** While it is down, the store answers every call with 503. */
  void SetStoreDown(bool aIsDown);
  /** Refusals by the store for a broken limit. */
  std::size_t StoreRefusals();
  /** With false, runs are counted but not written to the record. */
  void RecordRuns(bool aIsRecorded);

private:
  boost::asio::awaitable<ServiceAnswer> HandleStore(ServiceCall aCall);
  boost::asio::awaitable<ServiceAnswer> HandleFeed(ServiceCall aCall);
  boost::asio::awaitable<ServiceAnswer> HandleMinion(std::size_t aMinion,
                                                     ServiceCall aCall);
  boost::asio::awaitable<void> Tick();
  boost::asio::awaitable<void> Pause(std::int64_t aMs);
  void OnRun(const std::string& aMinion,
             const std::string& aTask,
             std::int64_t aRun,
             const std::string& aEvent);
  std::int64_t NowMs() const;

  boost::asio::io_context context;
  Record* record;
  WorkOf workOf;
  mutable std::mutex mutex;
  PlatformStore store;
  std::vector<Minion> minions;
  std::string storeAddress;
  std::int64_t readMs = 4;
  std::int64_t commitMs = 10;
  std::map<std::string, std::size_t> startsOf;
  std::map<std::string, std::int64_t> lastStartOf;
  /** Starts of each task after a run of it had ended as done. */
  std::map<std::string, std::size_t> startsAfterDone;
  std::set<std::string> done;
  std::set<std::string> noted;
  bool isStoreDown = false;
  std::size_t refusals = 0;
  bool isRunRecorded = true;
  std::thread thread;
};

}
