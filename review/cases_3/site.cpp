#include "site.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>

namespace review {

using nlohmann::json;

namespace {

constexpr int kOk = 200;
constexpr int kConflict = 409;
constexpr int kMisdirected = 421;
constexpr int kPreconditionFailed = 412;
constexpr std::int64_t kStopMs = 300;
constexpr std::int64_t kHoldMaxMs = 10000;
constexpr std::int64_t kPollMs = 5;
constexpr const char* kAlphabet =
  "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::int64_t
UnixMs()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

std::string
EncodeValue(const std::string& aText)
{
  std::string text;
  std::uint32_t bits = 0;
  int count = 0;
  for (const char letter : aText) {
    bits = (bits << 8U) | static_cast<unsigned char>(letter);
    count += 8;
    while (count >= 6) {
      count -= 6;
      text += kAlphabet[(bits >> static_cast<unsigned>(count)) & 63U];
    }
  }
  if (count > 0) {
    text += kAlphabet[(bits << static_cast<unsigned>(6 - count)) & 63U];
  }
  while (text.size() % 4 != 0) {
    text += '=';
  }
  return text;
}

std::int64_t
NumberOf(const std::map<std::string, std::string>& aQuery,
         const std::string& aName)
{
  const auto found = aQuery.find(aName);
  return found == aQuery.end() || found->second.empty()
           ? 0
           : std::stoll(found->second);
}

std::string
TextOf(const std::map<std::string, std::string>& aQuery,
       const std::string& aName)
{
  const auto found = aQuery.find(aName);
  return found == aQuery.end() ? "" : found->second;
}

Answer
JsonAnswer(int aStatus, const json& aBody)
{
  return Answer{ aStatus, aBody.dump() };
}

/** Fills in the placeholders of a settings template. */
std::string
Render(std::string aTemplate, const std::map<std::string, std::string>& aFields)
{
  std::size_t start = 0;
  while ((start = aTemplate.find("{{", start)) != std::string::npos) {
    const std::size_t end = aTemplate.find("}}", start);
    const std::string name = aTemplate.substr(start + 2, end - start - 2);
    const std::string value = TextOf(aFields, name);
    aTemplate.replace(start, end + 2 - start, value);
    start += value.size();
  }
  return aTemplate;
}

std::string
ReadFile(const std::string& aPath)
{
  std::ifstream file(aPath);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

}

const std::string&
Wire(const std::string& aKey)
{
  static const auto kNames =
    json::parse(std::ifstream("review/cases_3/wire.json"))
      .get<std::map<std::string, std::string>>();
  return kNames.at(aKey);
}

std::int64_t
NowMs()
{
  using Clock = std::chrono::steady_clock;
  static const Clock::time_point started = Clock::now();
  return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() -
                                                               started)
    .count();
}

void
SleepMs(std::int64_t aTime)
{
  std::this_thread::sleep_for(std::chrono::milliseconds(aTime));
}

Record::Record(const std::string& aPath)
  : path(aPath)
{
  std::ofstream(this->path, std::ios::trunc).flush();
}

void
Record::Add(const std::string& aLine)
{
  const std::lock_guard<std::mutex> lock(this->mutex);
  std::ofstream(this->path, std::ios::app)
    << NowMs() << " ms " << aLine << '\n';
}

Store::Store(const std::string& aIp, Record& aRecord)
  : record(&aRecord)
{
  this->server = std::make_unique<LoopbackServer>(
    aIp, [this](const Request& aRequest) { return this->Handle(aRequest); });
}

void
Store::SetFate(FateOf aFateOf)
{
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->fateOf = std::move(aFateOf);
}

void
Store::Write(const Name& aName, const std::string& aValue, bool aIsRemoved)
{
  this->rows[aName] = Row{ aValue, this->version, aIsRemoved };
  this->changed.notify_all();
}

void
Store::Put(const std::string& aTable,
           const std::string& aKey,
           const json& aValue)
{
  const std::lock_guard<std::mutex> lock(this->mutex);
  ++this->version;
  this->Write({ aTable, "", aKey }, EncodeValue(aValue.dump()), false);
}

void
Store::Remove(const std::string& aTable, const std::string& aKey)
{
  const std::lock_guard<std::mutex> lock(this->mutex);
  ++this->version;
  this->Write({ aTable, "", aKey }, "", true);
}

json
Store::ToJson(const Name& aName, const Row& aRow)
{
  json object = { { "Table", std::get<0>(aName) },
                  { "part", std::get<1>(aName) },
                  { "Key", std::get<2>(aName) },
                  { "Ver", aRow.version } };
  if (aRow.isRemoved) {
    object["Removed"] = true;
  } else {
    object["Value"] = aRow.value;
  }
  return object;
}

std::optional<Answer>
Store::Handle(const Request& aRequest)
{
  if (aRequest.path == Wire("call_rows_tx")) {
    return this->Transact(aRequest.body);
  }
  return aRequest.path == Wire("call_rows_feed") ? this->Feed(aRequest)
                                                 : this->Range(aRequest);
}

std::optional<Answer>
Store::Transact(const std::string& aBody)
{
  const json transaction = json::parse(aBody, nullptr, false);
  const auto nameOf = [](const json& aRow) {
    return Name{ aRow.value("Table", ""),
                 aRow.value("part", ""),
                 aRow.value("Key", "") };
  };
  const std::lock_guard<std::mutex> lock(this->mutex);
  json current = json::array();
  bool areMet = true;
  for (const json& check :
       transaction.value(Wire("expected_rev"), json::array())) {
    const auto found = this->rows.find(nameOf(check));
    const bool exists = found != this->rows.end() && !found->second.isRemoved;
    areMet = areMet && check.value("Ver", std::int64_t{ -1 }) ==
                         (exists ? found->second.version : 0);
    if (exists) {
      current.push_back(ToJson(found->first, found->second));
    }
  }
  if (!areMet) {
    return JsonAnswer(
      kPreconditionFailed,
      { { "rows", current }, { "Ver", this->version }, { "NowMs", NowMs() } });
  }
  ++this->version;
  for (const json& row : transaction.value(Wire("set_keys"), json::array())) {
    this->Write(nameOf(row), row.value("Value", ""), false);
  }
  for (const json& row : transaction.value("Remove", json::array())) {
    this->Write(nameOf(row), "", true);
  }
  if (this->fateOf && this->fateOf(transaction) == Fate::kAnswerLost) {
    return std::nullopt;
  }
  return JsonAnswer(kOk, { { "Ver", this->version }, { "NowMs", NowMs() } });
}

Answer
Store::Range(const Request& aRequest) const
{
  constexpr std::size_t kMaxRows = 500;
  const std::string table = TextOf(aRequest.query, "Table");
  const std::string part = TextOf(aRequest.query, "part");
  const std::string from = TextOf(aRequest.query, "From");
  const std::string to = TextOf(aRequest.query, "Target");
  const std::lock_guard<std::mutex> lock(this->mutex);
  json found = json::array();
  bool hasMore = false;
  for (auto row = this->rows.lower_bound({ table, part, from });
       row != this->rows.end() && !hasMore;
       ++row) {
    const auto& [rowTable, rowPart, key] = row->first;
    if (rowTable != table || rowPart != part || (!to.empty() && key >= to)) {
      break;
    }
    if (row->second.isRemoved) {
      continue;
    }
    hasMore = found.size() == kMaxRows;
    if (!hasMore) {
      found.push_back(ToJson(row->first, row->second));
    }
  }
  return JsonAnswer(kOk,
                    { { "rows", found },
                      { "HasMore", hasMore },
                      { "Ver", this->version },
                      { "NowMs", NowMs() } });
}

Answer
Store::Feed(const Request& aRequest)
{
  const std::string table = TextOf(aRequest.query, "Table");
  const std::int64_t after = NumberOf(aRequest.query, Wire("depends_on"));
  const std::int64_t until = NowMs() + NumberOf(aRequest.query, "WaitMs");
  std::unique_lock<std::mutex> lock(this->mutex);
  while (true) {
    std::map<std::int64_t, json> changes;
    for (const auto& [name, row] : this->rows) {
      if (std::get<0>(name) == table && row.version > after) {
        json& list = changes[row.version];
        list.push_back(ToJson(name, row));
      }
    }
    const std::int64_t left = until - NowMs();
    if (!changes.empty() || left <= 0) {
      json ordered = json::array();
      for (const auto& [rowVersion, list] : changes) {
        ordered.insert(ordered.end(), list.begin(), list.end());
      }
      return JsonAnswer(kOk,
                        { { "rows", ordered },
                          { "Ver", this->version },
                          { "NowMs", NowMs() } });
    }
    this->changed.wait_for(lock, std::chrono::milliseconds(left));
  }
}

std::string
DecodeValue(const std::string& aText)
{
  const std::string alphabet = kAlphabet;
  std::string text;
  std::uint32_t bits = 0;
  int count = 0;
  for (const char letter : aText) {
    const std::size_t value = alphabet.find(letter);
    if (value == std::string::npos) {
      break;
    }
    bits = (bits << 6U) | static_cast<std::uint32_t>(value);
    count += 6;
    if (count >= 8) {
      count -= 8;
      text += static_cast<char>((bits >> static_cast<unsigned>(count)) & 255U);
    }
  }
  return text;
}

Worker::Worker(std::string aId, const std::string& aIp, Record& aRecord)
  : id(std::move(aId))
  , record(&aRecord)
  , born(UnixMs())
{
  this->server = std::make_unique<LoopbackServer>(
    aIp, [this](const Request& aRequest) { return this->Handle(aRequest); });
}

json
Worker::Entry(std::int64_t aAccelerators, const std::string& aZone) const
{
  json entry = {
    { "Service", "s1" },
    { "Addr", this->Listen().Text() },
    { "Zone", aZone },
    { "Version", "v1" },
    { "Slots", 8 },
    { "State", this->leavesAtMs > 0 ? "draining" : "ready" },

    { "Seq", 1 },
    { "born", this->born },
    { "Capacity",
      { { "Cpu", 64000 }, { "MemMb", 131072 }, { "Gpu", aAccelerators } } },
    { "Labels", { "a", "r1-1" } }
  };
  if (this->leavesAtMs > 0) {
    entry["RemainingMs"] =
      std::max<std::int64_t>(this->leavesAtMs - NowMs(), 0);
  }
  return entry;
}

std::set<std::string>
Worker::StartedJobs() const
{
  const std::lock_guard<std::mutex> lock(this->mutex);
  return this->startedJobs;
}

void
Worker::End(const std::string& aTask, const std::string& aOutcome)
{
  const std::int64_t run = this->runs.at(aTask).number;
  this->runs.erase(aTask);
  std::int64_t& past = this->pastRuns[aTask];
  past = std::max(past, run);
  this->ends.push_back(
    json::array({ ++this->lastEnd, aTask, run, aOutcome, "" }));
  this->record->Add(this->id + " ends " + aTask + " run " +
                    std::to_string(run) + ": " + aOutcome);
}

void
Worker::Advance()
{
  const std::int64_t now = this->ClockMs();
  std::map<std::string, std::string> ending;
  for (const auto& [task, run] : this->runs) {
    if (now >= this->leaseUntilMs) {
      ending[task] = "lapsed";
    } else if (now >= run.endsAtMs) {
      ending[task] = run.isStopping ? "stopped" : "done";
    }
  }
  for (const auto& [task, outcome] : ending) {
    this->End(task, outcome);
  }
}

std::map<std::string, std::int64_t>
Worker::Runs()
{
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->Advance();
  std::map<std::string, std::int64_t> numbers;
  for (const auto& [task, run] : this->runs) {
    numbers[task] = run.number;
  }
  return numbers;
}

void
Worker::Cut(bool aIsCut)
{
  this->record->Add(this->id + (aIsCut ? " is cut off" : " is reached again"));
  this->isCut = aIsCut;
}

void
Worker::Restart()
{
  const std::lock_guard<std::mutex> lock(this->mutex);
  ++this->life;
  this->token = 0;
  this->leaseUntilMs = 0;
  this->lastEnd = 0;
  this->born = UnixMs();
  this->clockOffsetMs = -NowMs();
  this->runs.clear();
  this->pastRuns.clear();
  this->ends.clear();
  this->record->Add(this->id + " has crashed and starts again");
}

void
Worker::Drain(std::int64_t aRemainingMs)
{
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->leavesAtMs = NowMs() + aRemainingMs;
  this->record->Add(this->id + " is draining");
}

void
Worker::Leave()
{
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->isGone = true;
  this->runs.clear();
  this->record->Add(this->id + " has left");
}

void
Worker::WaitWhileCut() const
{
  while (this->isCut) {
    SleepMs(kPollMs);
  }
}

std::optional<Answer>
Worker::Handle(const Request& aRequest)
{
  const json body = json::parse(aRequest.body, nullptr, false);
  const std::string expected = TextOf(aRequest.fields, "x-expect-instance");
  if (!body.is_object() || (!expected.empty() && expected != this->id)) {
    return JsonAnswer(kMisdirected, json::object());
  }
  this->startOrders += aRequest.path == Wire("call_run_start") ? 1 : 0;
  this->WaitWhileCut();
  if (this->isGone) {
    return Answer{ kClosed, "" };
  }
  int servedLife = 0;
  std::int64_t until = 0;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->Advance();
    servedLife = this->life;
    until = this->ClockMs() + body.value("WaitMs", std::int64_t{ 0 });
    const Answer answer = this->Execute(aRequest, body);
    if (answer.status != kOk || aRequest.path != Wire("call_hold")) {
      return answer;
    }
  }
  while (true) {
    this->WaitWhileCut();
    {
      const std::lock_guard<std::mutex> lock(this->mutex);
      this->Advance();
      if (this->life != servedLife || this->isGone) {
        return Answer{ kClosed, "" }; // The process that was asked is gone.
      }
      if (!this->ends.empty() || this->ClockMs() >= until) {
        return this->Report();
      }
    }
    SleepMs(kPollMs);
  }
}

Answer
Worker::Execute(const Request& aRequest, const json& aBody)
{
  const std::int64_t now = this->ClockMs();
  const auto refuse = [now](const char* aReason) {
    return JsonAnswer(kConflict,
                      { { Wire("clock_ms"), now }, { "Reason", aReason } });
  };
  const std::int64_t sentToken =
    aBody.value(Wire("fencing_token"), std::int64_t{ 0 });
  if (sentToken < this->token) {
    return refuse("fence");
  }
  this->token = sentToken;
  const std::int64_t deadline =
    aBody.value(Wire("deadline_ms"), std::int64_t{ 0 });
  this->leaseUntilMs =
    std::max(this->leaseUntilMs, std::min(deadline, now + kHoldMaxMs));
  const std::string task = aBody.value("Task", "");
  const std::int64_t number = aBody.value("Run", std::int64_t{ 0 });
  const auto current = this->runs.find(task);
  if (aRequest.path == Wire("call_run_start")) {
    if (current != this->runs.end() && current->second.number == number) {
      return JsonAnswer(kOk, { { Wire("clock_ms"), now } });
    }
    if (current != this->runs.end() || number <= this->pastRuns[task]) {
      return refuse("old");
    }
    if (deadline <= now) {
      return refuse("late");
    }
    this->runs[task] =
      Run{ number, now + std::stoll(aBody.value("Spec", "0")), now, false };
    this->startedJobs.insert(task.substr(0, task.find('.')));
    this->record->Add(this->id + " starts " + task + " run " +
                      std::to_string(number) + " with token " +
                      std::to_string(sentToken));
  } else if (aRequest.path == Wire("call_run_stop")) {
    if (current != this->runs.end() && current->second.number <= number &&
        !current->second.isStopping) {
      current->second.isStopping = true;
      current->second.endsAtMs = now + kStopMs;
    }
    std::int64_t& past = this->pastRuns[task];
    past = std::max(past, number);
  } else {
    const std::int64_t cursor =
      aBody.value(Wire("ack_cursor"), std::int64_t{ 0 });
    std::erase_if(this->ends, [cursor](const json& aEnd) {
      return aEnd[0].get<std::int64_t>() <= cursor;
    });
  }
  return JsonAnswer(kOk, { { Wire("clock_ms"), now } });
}

Answer
Worker::Report() const
{
  constexpr std::int64_t kFullPercent = 100;
  const std::int64_t now = this->ClockMs();
  json running = json::array();
  for (const auto& [task, run] : this->runs) {
    const std::int64_t length =
      std::max<std::int64_t>(run.endsAtMs - run.startedAtMs, 1);
    const std::int64_t percent =
      std::min((now - run.startedAtMs) * kFullPercent / length, kFullPercent);
    running.push_back(json::array({ task, run.number, "", percent, 0 }));
  }
  return JsonAnswer(kOk,
                    { { Wire("clock_ms"), now },
                      { "born", this->born },
                      { "Running", running },
                      { "Ended", this->ends } });
}

Daemon::Daemon(std::string aName,
               const std::string& aIp,
               const Address& aStore,
               const std::string& aFolder)
  : name(std::move(aName))
  , front(FreeAddress(aIp))
  , readiness(FreeAddress(aIp))
  , settingsPath(aFolder + "/" + this->name + ".conf")
  , logPath(aFolder + "/" + this->name + ".log")
{
  const Address metrics = FreeAddress(aIp);
  // Those of cmiw-fretdesk.
  std::ofstream(this->settingsPath)
    << Render(ReadFile("deploy/host.yaml.template"),
              { { "Node", this->name },
                { "Zone", "zone-a" },
                { "Listen.Front", this->front.Text() },
                { "Listen.Ready", this->readiness.Text() },
                { "Ip", aIp },
                { "PortRange.0", std::to_string(metrics.port) },
                { "platform.Addr", aStore.Text() },
                { "Limits.CpuShare", "0.25" },
                { "Limits.MemoryMb", "260" },
                { "Limits.MaxFds", "4100" },
                { "Bounds.GraceS", "6" },
                { "Bounds.HoldMaxMs", "10000" },
                { "Bounds.finish_s", "14" },
                { "Bounds.StopMs", "900" },
                { "Bounds.ReclaimMs", "3400" },
                { "Bounds.RevokeMs", "5000" } });
}

Daemon::~Daemon()
{
  if (this->process > 0) {
    ::kill(this->process, SIGKILL);
    ::waitpid(this->process, nullptr, 0);
  }
}

void
Daemon::Start()
{
  if (this->process > 0) {
    ::waitpid(this->process, nullptr, 0);
  }
  this->process = ::fork();
  if (this->process == 0) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int log =
      ::open(this->logPath.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(log, STDOUT_FILENO);
    ::dup2(log, STDERR_FILENO);
    ::execl("target/sardinecoursed",
            "target/sardinecoursed",
            "--settings",
            this->settingsPath.c_str(),
            nullptr);
    ::_exit(127);
  }
}

void
Daemon::Signal(int aSignal) const
{
  ::kill(this->process, aSignal);
}

std::int64_t
Daemon::LastTakeoverMs() const
{
  std::int64_t takeover = 0;
  std::istringstream lines(ReadFile(this->logPath));
  for (std::string line; std::getline(lines, line);) {
    const json event = json::parse(line, nullptr, false);
    if (event.is_object() && event.value("event", "") == "domain_takeover" &&
        event.value("committed", 0) == 1) {
      takeover = event.value("at_ms", std::int64_t{ 0 });
    }
  }
  return takeover;
}

bool
Daemon::WaitUntilReady(int aTimeoutMs) const
{
  constexpr int kProbeMs = 500;
  const std::int64_t until = NowMs() + aTimeoutMs;
  while (NowMs() < until) {
    const auto answer =
      Call(this->readiness, "GET", Wire("call_ready"), {}, "", kProbeMs);
    if (answer && answer->status == kOk) {
      return true;
    }
    SleepMs(100);
  }
  return false;
}

}
