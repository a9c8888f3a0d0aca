#include "zones/neighbours/neighbour_effects.h"

#include <cmath>
#include <cppunit/extensions/HelperMacros.h>
#include <random>
#include <set>

namespace sardinecourse {

namespace {

using Kind = NeighbourEffects::Kind;
using Slowdowns = std::map<std::pair<int, int>, double>;

constexpr unsigned kSeed = 6;
constexpr int kReportsOfRun = 8;

KindOfWork
MakeKind(int aKind)
{
  KindOfWork kind;
  kind.service = ServiceName("service");
  kind.queue = QueueName("queue-" + std::to_string(aKind));
  return kind;
}

/** Workers that each run a few tasks of random kinds at a time. */
class Workshop
{
public:
  Workshop(int aKinds, Slowdowns aTruth)
    : kinds(aKinds)
    , truth(std::move(aTruth))
    , random(kSeed)
  {
  }

  void SetTruth(Slowdowns aTruth) { this->truth = std::move(aTruth); }

  /** One round of runs on 50 workers. */
  void RunRound(NeighbourEffects& aEffects)
  {
    std::normal_distribution<double> noise(0.0, 0.15);
    std::bernoulli_distribution isLong(0.03);
    std::uniform_int_distribution<int> kind(0, this->kinds - 1);
    std::uniform_int_distribution<int> count(1, 4);
    for (int worker = 0; worker < 50; ++worker) {
      const WorkerName name("w" + std::to_string(worker));
      std::vector<NeighbourEffects::ReportedRun> runs;
      for (int task = count(this->random); task > 0; --task) {
        runs.push_back(NeighbourEffects::ReportedRun{
          ++this->lastRun, *aEffects.KindOf(MakeKind(kind(this->random))) });
      }
      for (int report = 0; report < kReportsOfRun; ++report) {
        CPPUNIT_ASSERT(aEffects.NoteReport(name, runs).empty());
      }
      for (const auto& ended : aEffects.NoteReport(name, {})) {
        double logRate =
          noise(this->random) - (isLong(this->random) ? std::log(7.0) : 0.0);
        for (const auto& [pair, slowdown] : this->truth) {
          const bool isSlowed =
            *aEffects.KindOf(MakeKind(pair.first)) == ended.kind &&
            ended.beside[*aEffects.KindOf(MakeKind(pair.second))] > 0.0;
          logRate -= isSlowed ? std::log1p(slowdown) : 0.0;
        }
        aEffects.NoteRate(ended, logRate);
      }
    }
    this->now += NeighbourEffects::kFitInterval;
    aEffects.Fit(this->now);
  }

private:
  int kinds;
  Slowdowns truth;
  std::mt19937 random;
  std::uint64_t lastRun = 0;
  Instant now{ std::chrono::hours(1) };
};

/** Pairs (slowed, beside) that are known after the changes. */
std::set<std::pair<std::string, std::string>>
PairsIn(const std::vector<KindPair>& aChanges)
{
  std::set<std::pair<std::string, std::string>> pairs;
  for (const KindPair& change : aChanges) {
    const std::pair pair(change.kind.queue.Text(), change.beside.queue.Text());
    if (change.slowdown > 0.0) {
      pairs.insert(pair);
    } else {
      pairs.erase(pair);
    }
  }
  return pairs;
}

}

/** Which kinds of work are noticed to slow each other down. */
class NeighbourEffectsTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(NeighbourEffectsTest);
  CPPUNIT_TEST(KindsThatDisturbEachOtherAreNoticed);
  CPPUNIT_TEST(KindsThatDoNotDisturbEachOtherAreNeverNoticed);
  CPPUNIT_TEST(SlightDisturbanceIsIgnored);
  CPPUNIT_TEST(DisturbanceThatEndsIsForgotten);
  CPPUNIT_TEST(TaskThatWasJustOrderedCounts);
  CPPUNIT_TEST(FurtherKindsCountAsWithoutEffect);
  CPPUNIT_TEST_SUITE_END();

public:
  void KindsThatDisturbEachOtherAreNoticed()
  {
    Workshop workshop(5, { { { 0, 1 }, 0.4 }, { { 1, 0 }, 0.3 } });
    NeighbourEffects effects;
    for (int round = 0; round < 30; ++round) {
      workshop.RunRound(effects);
    }
    const std::set<std::pair<std::string, std::string>> expected{
      { "queue-0", "queue-1" }, { "queue-1", "queue-0" }
    };
    CPPUNIT_ASSERT(PairsIn(effects.TakeChanges()) == expected);
    const Kind first = *effects.FindKind(MakeKind(0));
    const Kind second = *effects.FindKind(MakeKind(1));
    const Kind other = *effects.FindKind(MakeKind(2));
    const WorkerName worker("w");
    effects.NoteReport(worker, { { 1'000'000, second } });
    CPPUNIT_ASSERT_DOUBLES_EQUAL(
      0.7, effects.DisturbanceOn(worker, first), 0.2);
    CPPUNIT_ASSERT_EQUAL(0.0, effects.DisturbanceOn(worker, other));
    CPPUNIT_ASSERT(!effects.HasEffects(other));
  }

  void KindsThatDoNotDisturbEachOtherAreNeverNoticed()
  {
    Workshop workshop(8, {});
    NeighbourEffects effects;
    for (int round = 0; round < 200; ++round) {
      workshop.RunRound(effects);
      CPPUNIT_ASSERT(!effects.HasEffects());
    }
    CPPUNIT_ASSERT(effects.TakeChanges().empty());
  }

  void SlightDisturbanceIsIgnored()
  {
    Workshop workshop(4, { { { 0, 1 }, 0.03 } });
    NeighbourEffects effects;
    for (int round = 0; round < 100; ++round) {
      workshop.RunRound(effects);
      CPPUNIT_ASSERT(!effects.HasEffects());
    }
  }

  void DisturbanceThatEndsIsForgotten()
  {
    Workshop workshop(4, { { { 0, 1 }, 0.4 } });
    NeighbourEffects effects;
    for (int round = 0; round < 30; ++round) {
      workshop.RunRound(effects);
    }
    CPPUNIT_ASSERT(effects.HasEffects());
    workshop.SetTruth({});
    for (int round = 0; round < 100; ++round) {
      workshop.RunRound(effects);
    }
    CPPUNIT_ASSERT(!effects.HasEffects());
    CPPUNIT_ASSERT(PairsIn(effects.TakeChanges()).empty());
  }

  void TaskThatWasJustOrderedCounts()
  {
    Workshop workshop(4, { { { 0, 1 }, 0.4 } });
    NeighbourEffects effects;
    for (int round = 0; round < 30; ++round) {
      workshop.RunRound(effects);
    }
    const Kind first = *effects.FindKind(MakeKind(0));
    const WorkerName worker("w");
    CPPUNIT_ASSERT_EQUAL(0.0, effects.DisturbanceOn(worker, first));
    effects.NoteStart(worker, *effects.FindKind(MakeKind(1)));
    CPPUNIT_ASSERT(effects.DisturbanceOn(worker, first) > 0.0);
    effects.Forget(worker);
    CPPUNIT_ASSERT_EQUAL(0.0, effects.DisturbanceOn(worker, first));
  }

  void FurtherKindsCountAsWithoutEffect()
  {
    NeighbourEffects effects;
    for (std::size_t kind = 0; kind < kMaxKinds; ++kind) {
      CPPUNIT_ASSERT(effects.KindOf(MakeKind(static_cast<int>(kind))));
    }
    CPPUNIT_ASSERT(!effects.KindOf(MakeKind(kMaxKinds)));
    CPPUNIT_ASSERT(effects.KindOf(MakeKind(0)) == Kind{ 0 });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(NeighbourEffectsTest);

}
