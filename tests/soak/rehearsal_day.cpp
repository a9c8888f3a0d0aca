#include "tests/soak/rehearsal_day.h"

#include "tests/harness/http_client.h"
#include "tests/harness/relay.h"
#include "tests/harness/site_deployment.h"
#include "tests/model/model_settings.h"
#include "tests/soak/disruption_log.h"
#include "tests/soak/rehearsal_hosts.h"
#include "tests/soak/rehearsal_jobs.h"
#include "tests/soak/rehearsal_workers.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <thread>
#include <utility>

namespace sardinecourse::harness {

namespace {

constexpr Milliseconds kPollInterval{ 10 };
/** The time that a leaving worker announces. */
constexpr Milliseconds kDrainTime{ 2000 };
/** How long a configuration may differ between hosts, and how long requests
 * that it cuts count. */
constexpr Milliseconds kApplyTime{ 3000 };
/** Delay of a store link while nothing disturbs it, and of a slow one. */
constexpr Milliseconds kStoreDelay{ 3 };
constexpr Milliseconds kSlowStoreDelay{ 180 };
constexpr Milliseconds kSlowStoreTime{ 4500 };
constexpr Milliseconds kWorkerCutTime{ 5500 };

/** What may happen at the end of the traffic; planned work first. */
constexpr std::array<const char*, 7> kLateKinds{ "drain",      "evict", "roll",
                                                 "evict_kill", "crash", "cut",
                                                 "kill" };
constexpr std::size_t kPlannedLateKinds = 3;

std::vector<std::size_t>
Shuffled(std::size_t aCount, std::mt19937& aRandom)
{
  std::vector<std::size_t> order(aCount);
  for (std::size_t item = 0; item < aCount; ++item) {
    order[item] = item;
  }
  std::shuffle(order.begin(), order.end(), aRandom);
  return order;
}

std::size_t
CountOf(double aShare, std::size_t aCount)
{
  return std::max<std::size_t>(
    1, static_cast<std::size_t>(aShare * static_cast<double>(aCount)));
}

}

RehearsalDay::RehearsalDay(SiteDeployment& aSite,
                           RehearsalHosts& aHosts,
                           RehearsalWorkers& aWorkers,
                           const ModelSettings& aSettings,
                           DisruptionLog& aDisruptions,
                           RehearsalOptions aOptions,
                           Instant aStart)
  : site(&aSite)
  , hosts(&aHosts)
  , workers(&aWorkers)
  , settings(&aSettings)
  , disruptions(&aDisruptions)
  , options(std::move(aOptions))
  , start(aStart)
  , random(this->options.seed)
{
  this->DrawPlanned();
  if (!this->options.isPlannedOnly) {
    this->DrawUnplanned();
  }
  this->DrawLate();
  this->DrawClosing();
}

void
RehearsalDay::Run(Instant aUntil)
{
  while (Clock::now() < aUntil) {
    this->hosts->Update();
    while (!this->plan.empty() && this->plan.top().at <= Clock::now()) {
      const Work work = this->plan.top();
      this->plan.pop();
      work.execute();
    }
    std::this_thread::sleep_for(kPollInterval);
  }
}

void
RehearsalDay::At(Milliseconds aTime, std::function<void()> aExecute)
{
  this->plan.push(
    Work{ this->start + aTime, this->works++, std::move(aExecute) });
}

void
RehearsalDay::After(Milliseconds aTime, std::function<void()> aExecute)
{
  this->plan.push(
    Work{ Clock::now() + aTime, this->works++, std::move(aExecute) });
}

Milliseconds
RehearsalDay::Draw(std::int64_t aMinMs, std::int64_t aMaxMs)
{
  std::uniform_int_distribution<std::int64_t> time(aMinMs, aMaxMs);
  return Milliseconds(time(this->random));
}

bool
RehearsalDay::Chance(double aShare)
{
  return std::uniform_real_distribution<>(0.0, 1.0)(this->random) < aShare;
}

void
RehearsalDay::DrawPlanned()
{
  const std::int64_t lengthMs = this->options.traffic.count();
  const auto at = [&] { return this->Draw(lengthMs / 30, lengthMs * 8 / 10); };
  this->RollHosts(this->Draw(lengthMs / 30, lengthMs / 2));
  this->ChangeConfiguration(at(), 1);
  if (this->Chance(0.5)) {
    this->RollHosts(this->Draw(lengthMs / 2, lengthMs * 8 / 10));
  }
  if (this->Chance(0.5)) {
    this->ReloadHosts(at());
  }
  if (this->Chance(0.5)) {
    this->ChangeConfiguration(at(), 12);
  }
  if (this->Chance(0.7)) {
    this->DrainWorkers(at(), 0.065);
  }
  if (this->Chance(0.5)) {
    this->EvictWorkers(at(), 0.14);
  }
  if (this->Chance(0.5)) {
    this->At(at(), [this] {
      const int count = std::max(1, this->settings->workers / 10);
      this->disruptions->Print("add " + std::to_string(count) + " workers");
      this->workers->Add(count);
    });
  }
}

void
RehearsalDay::DrawUnplanned()
{
  const std::int64_t lengthMs = this->options.traffic.count();
  for (int series = 0; series < 3; ++series) {
    const Milliseconds at = this->Draw(lengthMs / 20, lengthMs * 8 / 10);
    switch (this->random() % 9) {
      case 0:
        this->KillHolder(at);
        break;
      case 1:
        this->KillHosts(at, 0.16);
        break;
      case 2:
        this->KillHosts(at, 1.0);
        break;
      case 3:
        this->CutStore(at, 0.33);
        break;
      case 4:
        this->SlowStore(at);
        break;
      case 5:
        this->CutWorkers(at, 0.17);
        break;
      case 6:
        this->CrashWorkers(at, 0.1, true);
        break;
      case 7:
        this->RefuseCalls(at);
        break;
      default:
        this->DrainWorkers(at, 0.065);
        this->KillHolder(at + this->Draw(100, 3000));
        break;
    }
  }
}

void
RehearsalDay::DrawLate()
{
  const std::int64_t lengthMs = this->options.traffic.count();
  const int series = 1 + static_cast<int>(this->random() % 2);
  for (int drawn = 0; drawn < series; ++drawn) {
    const Milliseconds at = this->Draw(lengthMs * 8 / 10, lengthMs);
    const std::size_t kinds =
      this->options.isPlannedOnly ? kPlannedLateKinds : kLateKinds.size();
    const std::string kind = kLateKinds[this->random() % kinds];
    this->AddLate(this->options.late.empty() ? kind : this->options.late, at);
  }
}

void
RehearsalDay::AddLate(const std::string& aKind, Milliseconds aAt)
{
  if (aKind == "drain") {
    this->DrainWorkers(aAt, 0.15);
  } else if (aKind == "evict") {
    this->EvictWorkers(aAt, 0.15);
  } else if (aKind == "roll") {
    this->RollHosts(aAt);
  } else if (aKind == "evict_kill") {
    this->EvictWorkers(aAt, 0.15);
    this->KillHolder(std::min(aAt + Milliseconds(3000), this->options.traffic));
  } else if (aKind == "crash") {
    this->CrashWorkers(aAt, 0.1, false);
  } else if (aKind == "cut") {
    this->CutWorkers(aAt, 0.17);
  } else if (aKind == "kill") {
    this->KillHolder(aAt);
  }
}

void
RehearsalDay::DrawClosing()
{
  const bool isDrawn = this->Chance(0.5) && !this->options.isPlannedOnly;
  const std::string closing = !this->options.closing.empty()
                                ? this->options.closing
                                : (isDrawn ? "kill" : "none");
  if (closing == "power") {
    this->CrashWorkers(this->options.traffic, 1.0, true);
  }
  if (closing == "power" || closing == "kill") {
    this->KillHosts(this->options.traffic, 1.0);
  }
}

void
RehearsalDay::RollHosts(Milliseconds aAt)
{
  const double share = this->Chance(0.5) ? 1.0 : 0.45;
  const bool isHolderFirst = this->Chance(0.5);
  std::vector<std::size_t> order = Shuffled(this->hosts->Count(), this->random);
  order.resize(CountOf(share, order.size()));
  // Two hosts of forty at a time, so that the roll ends within the day.
  const std::size_t together = 1 + this->hosts->Count() / 16;
  const Milliseconds gap = this->Draw(1100, 2000);
  if (isHolderFirst) {
    this->At(aAt, [this] { this->hosts->Stop(this->hosts->Holder()); });
  }
  for (std::size_t stop = 0; stop < order.size(); ++stop) {
    const std::size_t host = order[stop];
    this->At(aAt + gap * static_cast<std::int64_t>(stop / together),
             [this, host] { this->hosts->Stop(host); });
  }
}

void
RehearsalDay::ReloadHosts(Milliseconds aAt)
{
  std::vector<std::size_t> order = Shuffled(this->hosts->Count(), this->random);
  order.resize(CountOf(0.6, order.size()));
  this->At(aAt, [this, order] {
    for (const std::size_t host : order) {
      this->hosts->Reload(host);
    }
  });
}

void
RehearsalDay::ChangeConfiguration(Milliseconds aAt, int aVersions)
{
  constexpr Milliseconds kGap{ 330 };
  for (int change = 0; change < aVersions; ++change) {
    const int furtherQueues = static_cast<int>(this->random() % 4);
    this->At(aAt + change * kGap, [this, furtherQueues] {
      this->disruptions->Add(
        Disruption::kAllHosts, true, "configuration", Clock::now(), kApplyTime);
      this->site->Control("config",
                          nlohmann::json::parse(RehearsalConfiguration(
                            *this->settings,
                            this->site->Site().Ip(),
                            // Versions increase in uneven steps.
                            this->version += 1 + furtherQueues,
                            furtherQueues)));
    });
  }
}

void
RehearsalDay::DrainWorkers(Milliseconds aAt, double aShare)
{
  this->At(aAt, [this, aShare] {
    for (const std::string& worker :
         this->workers->Select(aShare, this->random)) {
      this->workers->Drain(worker, kDrainTime);
      this->After(kDrainTime + this->settings->linger,
                  [this, worker] { this->workers->Exit(worker, true); });
    }
  });
}

void
RehearsalDay::EvictWorkers(Milliseconds aAt, double aShare)
{
  this->At(aAt, [this, aShare] {
    for (const std::string& worker :
         this->workers->Select(aShare, this->random)) {
      this->workers->Drain(worker, kDrainTime);
      this->After(kDrainTime,
                  [this, worker] { this->workers->Exit(worker, true); });
    }
  });
}

void
RehearsalDay::CrashWorkers(Milliseconds aAt, double aShare, bool aIsBack)
{
  this->At(aAt, [this, aShare, aIsBack] {
    for (const std::string& worker :
         this->workers->Select(aShare, this->random)) {
      this->workers->Exit(worker, false);
      if (aIsBack) {
        this->After(this->Draw(1500, 8000),
                    [this, worker] { this->workers->Restart(worker); });
      }
    }
  });
}

void
RehearsalDay::CutWorkers(Milliseconds aAt, double aShare)
{
  this->At(aAt, [this, aShare] {
    for (const std::string& worker :
         this->workers->Select(aShare, this->random)) {
      this->workers->Cut(worker);
      this->After(kWorkerCutTime,
                  [this, worker] { this->workers->Join(worker); });
    }
  });
}

void
RehearsalDay::KillHolder(Milliseconds aAt)
{
  const Milliseconds downTime = this->Draw(500, 3500);
  this->At(aAt, [this, downTime] {
    this->hosts->Kill(this->hosts->Holder(), downTime);
  });
}

void
RehearsalDay::KillHosts(Milliseconds aAt, double aShare)
{
  std::vector<std::size_t> order = Shuffled(this->hosts->Count(), this->random);
  order.resize(CountOf(aShare, order.size()));
  const Milliseconds downTime = this->Draw(600, 1400);
  this->At(aAt, [this, order, downTime] {
    for (const std::size_t host : order) {
      this->hosts->Kill(host, downTime);
    }
  });
}

void
RehearsalDay::CutStore(Milliseconds aAt, double aShare)
{
  std::vector<std::size_t> order = Shuffled(this->hosts->Count(), this->random);
  order.resize(CountOf(aShare, order.size()));
  const bool isHolderCut = this->Chance(0.5);
  const RelayMode mode =
    this->Chance(0.5) ? RelayMode::kCut : RelayMode::kBlackhole;
  const Milliseconds length = this->Draw(4000, 7000);
  this->At(aAt, [this, order, isHolderCut, mode, length] {
    std::vector<std::size_t> cut = order;
    if (isHolderCut) {
      cut.front() = this->hosts->Holder();
    }
    for (const std::size_t host : cut) {
      this->disruptions->Add(
        host, false, "cut from the store", Clock::now(), length);
      this->site->StoreLink(host).Set(mode);
      this->After(length, [this, host] {
        this->site->StoreLink(host).Set(RelayMode::kForward);
      });
    }
  });
}

void
RehearsalDay::SlowStore(Milliseconds aAt)
{
  this->At(aAt, [this] {
    this->disruptions->Add(
      Disruption::kAllHosts, false, "slow store", Clock::now(), kSlowStoreTime);
    for (std::size_t host = 0; host < this->hosts->Count(); ++host) {
      this->site->StoreLink(host).SetDelay(kSlowStoreDelay);
    }
    this->After(kSlowStoreTime, [this] {
      for (std::size_t host = 0; host < this->hosts->Count(); ++host) {
        this->site->StoreLink(host).SetDelay(kStoreDelay);
      }
    });
  });
}

void
RehearsalDay::RefuseCalls(Milliseconds aAt)
{
  const Milliseconds length = this->Draw(3000, 5000);
  this->At(aAt, [this, length] {
    this->disruptions->Add(
      Disruption::kAllHosts, false, "store refuses", Clock::now(), length);
    this->site->Control("faults", { { "store", "refuse" } });
    this->After(length, [this] {
      this->site->Control("faults", nlohmann::json::object());
    });
  });
}

}
