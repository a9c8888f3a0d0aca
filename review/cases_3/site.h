#pragma once

#include "loopback_http.h"

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <sys/types.h>
#include <tuple>
#include <vector>

namespace review {

/** A name of the platform's protocol, by its key in wire.json. The programs run
 * in the repository's root. */
const std::string&
Wire(const std::string& aKey);

/** Milliseconds since the start of the program. */
std::int64_t
NowMs();

/** Appends lines with their time to record.txt. */
class Record
{
public:
  explicit Record(const std::string& aPath);

  void Add(const std::string& aLine);

private:
  std::mutex mutex;
  std::string path;
};

/** The platform's store with tables of rows, as PROTOCOL.md describes it. */
class Store
{
public:
  /** What happens to a transaction. */
  enum class Fate
  {
    kAnswered,
    /** Performed, but the answer is lost. */
    kAnswerLost
  };
  /** Chooses the fate of a transaction; called with its JSON. */
  using FateOf = std::function<Fate(const nlohmann::json&)>;

  Store(const std::string& aIp, Record& aRecord);

  const Address& Listen() const { return this->server->Listen(); }
  void SetFate(FateOf aFateOf);
  /** Writes a row as the operator or a worker does. */
  void Put(const std::string& aTable,
           const std::string& aKey,
           const nlohmann::json& aValue);
  void Remove(const std::string& aTable, const std::string& aKey);

private:
  using Name = std::tuple<std::string, std::string, std::string>;
  struct Row
  {
    std::string value;
    std::int64_t version = 0;
    bool isRemoved = false;
  };

  std::optional<Answer> Handle(const Request& aRequest);
  std::optional<Answer> Transact(const std::string& aBody);
  Answer Range(const Request& aRequest) const;
  Answer Feed(const Request& aRequest);
  void Write(const Name& aName, const std::string& aValue, bool aIsRemoved);
  static nlohmann::json ToJson(const Name& aName, const Row& aRow);

  Record* record;
  mutable std::mutex mutex;
  std::condition_variable changed;
  std::map<Name, Row> rows;
  std::int64_t version = 0;
  FateOf fateOf;
  std::unique_ptr<LoopbackServer> server;
};

/** Decodes the base64 text of a row's value. */
std::string
DecodeValue(const std::string& aText);

/** A worker whose tasks work for as many milliseconds as their payload says. */
class Worker
{
public:
  Worker(std::string aId, const std::string& aIp, Record& aRecord);

  const std::string& Id() const { return this->id; }
  const Address& Listen() const { return this->server->Listen(); }
  /** The worker's entry in the store. */
  nlohmann::json Entry(std::int64_t aAccelerators,
                       const std::string& aZone) const;
  /** Keys of the jobs of which a task has begun here. */
  std::set<std::string> StartedJobs() const;
  /** Names and numbers of the runs that are there now. */
  std::map<std::string, std::int64_t> Runs();
  /** While cut off, nothing is answered. What arrives meanwhile is carried out
   * when the cut ends. */
  void Cut(bool aIsCut);
  /** Crashes and starts again under the same id, with a new clock. */
  void Restart();
  /** Reports that it leaves, and by when. */
  void Drain(std::int64_t aRemainingMs);
  /** Leaves: its runs end, and it closes each connection. */
  void Leave();
  /** Number of orders to start a task that have arrived. */
  int StartOrders() const { return this->startOrders; }

private:
  /** The clock of a worker that has been up for a while. */
  static constexpr std::int64_t kFirstClockMs = 400000;

  struct Run
  {
    std::int64_t number = 0;
    std::int64_t endsAtMs = 0;
    std::int64_t startedAtMs = 0;
    bool isStopping = false;
  };

  std::optional<Answer> Handle(const Request& aRequest);
  Answer Execute(const Request& aRequest, const nlohmann::json& aBody);
  std::int64_t ClockMs() const { return NowMs() + this->clockOffsetMs; }
  void WaitWhileCut() const;
  Answer Report() const;
  void Advance();
  void End(const std::string& aTask, const std::string& aOutcome);

  std::string id;
  Record* record;
  mutable std::mutex mutex;
  std::int64_t token = 0;
  std::int64_t leaseUntilMs = 0;
  std::int64_t lastEnd = 0;
  std::int64_t born = 0;
  std::int64_t clockOffsetMs = kFirstClockMs;
  int life = 0;
  std::atomic<bool> isCut{ false };
  std::atomic<bool> isGone{ false };
  std::int64_t leavesAtMs = 0;
  std::atomic<int> startOrders{ 0 };
  std::map<std::string, Run> runs;
  std::map<std::string, std::int64_t> pastRuns;
  std::vector<nlohmann::json> ends;
  std::set<std::string> startedJobs;
  std::unique_ptr<LoopbackServer> server;
};

/** A daemon that runs with the command and the settings template of the deploy
 * files; it is killed with the object. */
class Daemon
{
public:
  Daemon(std::string aName,
         const std::string& aIp,
         const Address& aStore,
         const std::string& aFolder);
  ~Daemon();
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  const std::string& Name() const { return this->name; }
  const Address& Front() const { return this->front; }
  const Address& Readiness() const { return this->readiness; }
  void Start();
  void Signal(int aSignal) const;
  /** When the daemon last took the domain over, by its log; 0 if it never did.
   */
  std::int64_t LastTakeoverMs() const;
  /** Waits until the daemon reports itself ready; false after aTimeoutMs. */
  bool WaitUntilReady(int aTimeoutMs) const;

private:
  std::string name;
  Address front;
  Address readiness;
  std::string settingsPath;
  std::string logPath;
  pid_t process = 0;
};

void
SleepMs(std::int64_t aTime);

}
