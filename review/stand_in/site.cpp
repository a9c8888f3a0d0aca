#include "review/stand_in/site.h"

#include "review/stand_in/loopback.h"
#include "review/stand_in/record.h"
#include "review/stand_in/words.h"

#include <algorithm>
#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <chrono>
#include <cstdio>
#include <utility>

namespace review {

using nlohmann::json;
namespace asio = boost::asio;

namespace {

constexpr int kBadRequest = 400;
constexpr int kMisdirected = 421;
constexpr int kOk = 200;
constexpr int kUnavailable = 503;
constexpr std::int64_t kTickMs = 10;
constexpr std::int64_t kMaxWaitMs = 2000;
constexpr std::size_t kMaxRecordedRefusals = 5;
/** Low 32 bits in the form of the platform's ids. */
constexpr std::uint32_t kFirstId = 0x7f3a0000;

std::int64_t
NumberOf(const std::map<std::string, std::string>& aQuery, const char* aKey)
{
  const auto found = aQuery.find(aKey);
  return found == aQuery.end() || found->second.empty()
           ? 0
           : std::stoll(found->second);
}

std::string
TextOf(const std::map<std::string, std::string>& aQuery, const char* aKey)
{
  const auto found = aQuery.find(aKey);
  return found == aQuery.end() ? std::string() : found->second;
}

std::string
MinionName(int aIndex)
{
  std::array<char, 16> text{};
  std::snprintf(text.data(),
                text.size(),
                "i-%08x",
                kFirstId + static_cast<std::uint32_t>(aIndex) * 2654435U);
  return text.data();
}

std::string
JobOf(const std::string& aTask)
{
  return aTask.substr(0, aTask.find('.'));
}

}

Site::Site(const Shape& aShape, WorkOf aWorkOf, Record& aRecord)
  : context(1)
  , record(&aRecord)
  , workOf(std::move(aWorkOf))
{
  const std::string ip = NextLoopbackIp();
  this->storeAddress = ServeHttp(this->context, ip, [this](ServiceCall aCall) {
    return aCall.path == Word("feed") ? this->HandleFeed(std::move(aCall))
                                      : this->HandleStore(std::move(aCall));
  });
  const std::int64_t born = this->NowMs();
  for (int index = 0; index < aShape.minions; ++index) {
    this->minions.emplace_back(MinionName(index),
                               born,
                               aShape.maxLeaseMs,
                               aShape.stopMs,
                               [this](const std::string& aMinion,
                                      const std::string& aTask,
                                      std::int64_t aRun,
                                      const std::string& aEvent) {
                                 this->OnRun(aMinion, aTask, aRun, aEvent);
                               });
  }
  for (int index = 0; index < aShape.minions; ++index) {
    const std::string address =
      ServeHttp(this->context, ip, [this, index](ServiceCall aCall) {
        return this->HandleMinion(static_cast<std::size_t>(index),
                                  std::move(aCall));
      });
    const std::string rack =
      "r1-" + std::to_string(index / aShape.minionsPerRack);
    const json entry = { { "Service", "huvo11a" },
                         { "Addr", address },
                         { "Zone", "cascade-a" },
                         { "Version", "v1" },
                         { "Slots", 8 },
                         { "State", "ready" },
                         { "Capacity",
                           { { "Cpu", aShape.milliCores },
                             { "MemMb", aShape.memoryMb },
                             { "Gpu", aShape.accelerators } } },
                         { "Labels", { "a", rack } },
                         { "born", born },
                         { "Seq", 1 } };
    this->store.Put("servers", MinionName(index), entry.dump());
  }
  asio::co_spawn(this->context, this->Tick(), asio::detached);
  this->thread = std::thread([this] { this->context.run(); });
}

Site::~Site()
{
  this->context.stop();
  this->thread.join();
}

std::int64_t
Site::NowMs() const
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

void
Site::Configure(const json& aConfiguration)
{
  const std::lock_guard lock(this->mutex);
  this->store.Put("op", "config", aConfiguration.dump());
}

std::vector<std::string>
Site::MinionNames() const
{
  std::vector<std::string> names;
  for (const Minion& minion : this->minions) {
    names.push_back(minion.Name());
  }
  return names;
}

std::vector<std::string>
Site::IdleMinions()
{
  const std::lock_guard lock(this->mutex);
  std::vector<std::string> names;
  for (const Minion& minion : this->minions) {
    if (minion.Running() == 0) {
      names.push_back(minion.Name());
    }
  }
  return names;
}

void
Site::RefuseStarts(const std::vector<std::string>& aMinions, int aStatus)
{
  const std::lock_guard lock(this->mutex);
  for (Minion& minion : this->minions) {
    for (const std::string& name : aMinions) {
      if (minion.Name() == name) {
        minion.RefuseStarts(aStatus);
      }
    }
  }
}

void
Site::SetStoreTimes(std::int64_t aReadMs, std::int64_t aCommitMs)
{
  const std::lock_guard lock(this->mutex);
  this->readMs = aReadMs;
  this->commitMs = aCommitMs;
}

std::size_t
Site::Running()
{
  const std::lock_guard lock(this->mutex);
  std::size_t count = 0;
  for (const Minion& minion : this->minions) {
    count += minion.Running();
  }
  return count;
}

std::size_t
Site::RunningOf(const std::string& aJob)
{
  const std::lock_guard lock(this->mutex);
  std::size_t count = 0;
  for (const Minion& minion : this->minions) {
    count += minion.RunningOf(aJob);
  }
  return count;
}

std::size_t
Site::StartsOf(const std::string& aJob)
{
  const std::lock_guard lock(this->mutex);
  return this->startsOf[aJob];
}

std::int64_t
Site::LastStartMs(const std::string& aJob)
{
  const std::lock_guard lock(this->mutex);
  const auto found = this->lastStartOf.find(aJob);
  return found == this->lastStartOf.end() ? -1 : found->second;
}

std::size_t
Site::StartsAfterDone()
{
  const std::lock_guard lock(this->mutex);
  std::size_t count = 0;
  for (const auto& [task, starts] : this->startsAfterDone) {
    count += this->noted.contains(task) ? starts : 0;
  }
  return count;
}

void
Site::SetStoreDown(bool aIsDown)
{
  const std::lock_guard lock(this->mutex);
  this->isStoreDown = aIsDown;
}

std::size_t
Site::StoreRefusals()
{
  const std::lock_guard lock(this->mutex);
  return this->refusals;
}

void
Site::RecordRuns(bool aIsRecorded)
{
  const std::lock_guard lock(this->mutex);
  this->isRunRecorded = aIsRecorded;
}

void
Site::OnRun(const std::string& aMinion,
            const std::string& aTask,
            std::int64_t aRun,
            const std::string& aEvent)
{
  if (aEvent == "start") {
    ++this->startsOf[JobOf(aTask)];
    this->lastStartOf[JobOf(aTask)] = this->record->NowMs();
    this->startsAfterDone[aTask] += this->done.contains(aTask) ? 1 : 0;
  } else if (aEvent == "done") {
    this->done.insert(aTask);
  } else if (aEvent == "noted done") {
    this->noted.insert(aTask);
  }
  if (this->isRunRecorded) {
    this->record->Line("minion " + aMinion + ": run " + std::to_string(aRun) +
                       " of " + aTask + " " + aEvent);
  }
}

asio::awaitable<void>
Site::Pause(std::int64_t aMs)
{
  boost::system::error_code ignored;
  asio::steady_timer timer(this->context, std::chrono::milliseconds(aMs));
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

asio::awaitable<void>
Site::Tick()
{
  while (true) {
    co_await this->Pause(kTickMs);
    const std::lock_guard lock(this->mutex);
    const std::int64_t now = this->NowMs();
    for (Minion& minion : this->minions) {
      minion.Advance(now);
    }
  }
}

asio::awaitable<ServiceAnswer>
Site::HandleStore(ServiceCall aCall)
{
  const bool isCommit = aCall.path == Word("commit");
  std::int64_t timeMs = 0;
  {
    const std::lock_guard lock(this->mutex);
    timeMs = isCommit ? this->commitMs : this->readMs;
  }
  co_await this->Pause(timeMs);
  const std::lock_guard lock(this->mutex);
  ServiceAnswer answer;
  if (this->isStoreDown) {
    answer.status = kUnavailable;
    co_return answer;
  }
  if (!isCommit) {
    answer.body = this->store
                    .Range(TextOf(aCall.query, "Table"),
                           TextOf(aCall.query, "part"),
                           TextOf(aCall.query, "From"),
                           TextOf(aCall.query, "Target"))
                    .dump();
    co_return answer;
  }
  json body;
  answer.status = this->store.Commit(aCall.body, body);
  if (answer.status == kBadRequest &&
      ++this->refusals <= kMaxRecordedRefusals) {
    this->record->Line("store: transaction refused, " +
                       body.value("Error", ""));
  }
  answer.body = body.dump();
  co_return answer;
}

asio::awaitable<ServiceAnswer>
Site::HandleFeed(ServiceCall aCall)
{
  const std::string table = TextOf(aCall.query, "Table");
  const std::int64_t after = NumberOf(aCall.query, Word("after").c_str());
  std::int64_t leftMs = NumberOf(aCall.query, "WaitMs");
  ServiceAnswer answer;
  while (true) {
    {
      const std::lock_guard lock(this->mutex);
      if (this->isStoreDown) {
        answer.status = kUnavailable;
        co_return answer;
      }
      const json changes = this->store.Changes(table, after);
      if (!changes["rows"].empty() || leftMs <= 0) {
        answer.body = changes.dump();
        co_return answer;
      }
    }
    co_await this->Pause(kTickMs);
    leftMs -= kTickMs;
  }
}

asio::awaitable<ServiceAnswer>
Site::HandleMinion(std::size_t aMinion, ServiceCall aCall)
{
  ServiceAnswer answer;
  const json body = json::parse(aCall.body, nullptr, false);
  const bool isHold = aCall.path == Word("hold");
  std::int64_t leftMs = 0;
  {
    const std::lock_guard lock(this->mutex);
    Minion& minion = this->minions[aMinion];
    if (aCall.instance != minion.Name() || !body.is_object()) {
      answer.status = kMisdirected;
      co_return answer;
    }
    json reply;
    if (!isHold) {
      answer.status =
        minion.Order(aCall.path, body, this->workOf, this->NowMs(), reply);
      answer.body = reply.dump();
      co_return answer;
    }
    answer.status = minion.Hold(body, this->NowMs(), reply);
    answer.body = reply.dump();
    if (answer.status != kOk) {
      co_return answer;
    }
    leftMs = std::min(kMaxWaitMs, body.value("WaitMs", std::int64_t{ 0 }));
  }
  while (true) {
    {
      const std::lock_guard lock(this->mutex);
      const Minion& minion = this->minions[aMinion];
      if (minion.HasEnds() || leftMs <= 0) {
        answer.body = minion.Report(this->NowMs()).dump();
        co_return answer;
      }
    }
    co_await this->Pause(kTickMs);
    leftMs -= kTickMs;
  }
}

}
