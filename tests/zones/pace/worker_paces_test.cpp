#include "zones/pace/worker_paces.h"

#include "zones/pace/measured_run.h"

#include <cmath>
#include <cppunit/extensions/HelperMacros.h>
#include <random>

namespace sardinecourse {

namespace {

constexpr unsigned kSeed = 41;
constexpr double kSizeMs = 5000.0;
constexpr Milliseconds kReportInterval{ 700 };
const ServiceName kService("service");

/** Workers whose runs report their progress every kReportInterval and end. */
class Workshop
{
public:
  /** Spread of the estimates of steps, and of the sizes of their tasks, as
   * shares. */
  double estimateError = 0.2;
  double taskSpread = 0.15;
  /** Share of the tasks that take seven times as long as their siblings. */
  double longShare = 0.0;
  /** What a worker reports of a true percent; the truth by default. */
  std::map<std::string, double> reportedFactor;

  explicit Workshop(std::map<std::string, double> aPaces)
    : truth(std::move(aPaces))
    , random(kSeed)
  {
  }

  std::map<std::string, double>& Truth() { return this->truth; }

  /** Each worker runs one task of a step that all share; the members of a gang
   * have equal work, wait for the slowest one and report no end. */
  void RunStep(WorkerPaces& aPaces, bool aIsGang = false)
  {
    ++this->step;
    std::normal_distribution<double> error(0.0, this->estimateError);
    std::normal_distribution<double> spread(0.0, this->taskSpread);
    std::bernoulli_distribution isLong(this->longShare);
    const double estimate = kSizeMs * std::exp(error(this->random));
    std::map<std::string, double> durations;
    double longest = 0.0;
    for (const auto& [name, pace] : this->truth) {
      const double size = kSizeMs *
                          (aIsGang ? 1.0 : std::exp(spread(this->random))) *
                          (isLong(this->random) ? 7.0 : 1.0);
      durations[name] = size / pace;
      longest = std::max(longest, durations[name]);
    }
    std::map<std::string, bool> isDone;
    for (double passed = 0.0; passed < longest + 1000.0;
         passed += static_cast<double>(kReportInterval.count())) {
      for (const auto& [name, duration] : durations) {
        const MeasuredRun run{ this->step * 1000 + this->IndexOf(name),
                               this->step,
                               estimate,
                               aIsGang,
                               std::nullopt };
        if (passed < (aIsGang ? longest : duration)) {
          aPaces.NoteProgress(kService,
                              WorkerName(name),
                              run,
                              this->Reported(name, passed / duration),
                              this->clockMs,
                              this->Now());
        } else if (!aIsGang && !std::exchange(isDone[name], true)) {
          aPaces.NoteDone(
            kService, WorkerName(name), run, duration, this->Now());
        }
      }
      aPaces.Fit(this->Now());
      this->clockMs += kReportInterval.count();
    }
  }

  Instant Now() const { return Instant(Milliseconds(this->clockMs)); }

private:
  std::uint64_t IndexOf(const std::string& aName) const
  {
    return static_cast<std::uint64_t>(
      std::distance(this->truth.begin(), this->truth.find(aName)));
  }

  std::int32_t Reported(const std::string& aName, double aShare) const
  {
    const auto found = this->reportedFactor.find(aName);
    const double factor =
      found == this->reportedFactor.end() ? 1.0 : found->second;
    return static_cast<std::int32_t>(100.0 * std::min(aShare * factor, 1.0));
  }

  std::map<std::string, double> truth;
  std::mt19937 random;
  std::uint64_t step = 0;
  /** A machine has been up for longer than any history is kept. */
  std::int64_t clockMs = 360'000'000;
};

std::map<std::string, double>
MakeWorkers(std::int32_t aCount, const std::vector<double>& aPaces)
{
  std::map<std::string, double> workers;
  for (std::int32_t worker = 0; worker < aCount; ++worker) {
    workers["w" + std::to_string(100 + worker)] =
      aPaces[static_cast<std::size_t>(worker) % aPaces.size()];
  }
  return workers;
}

PaceClass
ClassIn(const WorkerPaces& aPaces, const std::string& aWorker)
{
  return PaceClassOf(aPaces.PaceOf(kService, WorkerName(aWorker)));
}

/** Number of workers whose class is that of their true pace. */
std::int32_t
CountRight(const WorkerPaces& aPaces,
           const std::map<std::string, double>& aTruth)
{
  std::int32_t right = 0;
  for (const auto& [name, pace] : aTruth) {
    right += ClassIn(aPaces, name) == PaceClassOf(pace) ? 1 : 0;
  }
  return right;
}

const std::vector<double> kUnlike{ 0.6, 1.0, 1.6 };

}

/** What is learned of workers' paces from the reports of their runs. */
class WorkerPacesTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(WorkerPacesTest);
  CPPUNIT_TEST(PacesAreToldApartByAFewRuns);
  CPPUNIT_TEST(MostPacesAreKnownBeforeTheFirstRunsEnd);
  CPPUNIT_TEST(FastMembersOfGangAreNotTakenForAsSlowAsTheSlowest);
  CPPUNIT_TEST(LongTasksAreNotTakenForSlowWorkers);
  CPPUNIT_TEST(AlikeWorkersKeepPaceOneWhateverTheEstimates);
  CPPUNIT_TEST(SmallDifferencesThatObjectivesBearChangeNothing);
  CPPUNIT_TEST(WorkerThatTurnsSlowAndRecoversIsFollowed);
  CPPUNIT_TEST(WorkerThatExaggeratesItsProgressIsJudgedByItsEnds);
  CPPUNIT_TEST(FewMeasuredWorkersHaveNoTypicalPace);
  CPPUNIT_TEST(NewLifeOfWorkerStartsUnknown);
  CPPUNIT_TEST(StoredPacesHoldUntilRunsShowOtherwise);
  CPPUNIT_TEST(StoredPacesHoldWhileWorkersAnswerOneByOne);
  CPPUNIT_TEST(ChangesOfClassAreListedOnce);
  CPPUNIT_TEST_SUITE_END();

public:
  void PacesAreToldApartByAFewRuns()
  {
    Workshop workshop(MakeWorkers(60, kUnlike));
    WorkerPaces paces;
    for (int step = 0; step < 4; ++step) {
      workshop.RunStep(paces);
    }
    CPPUNIT_ASSERT(paces.IsUneven(kService));
    CPPUNIT_ASSERT(CountRight(paces, workshop.Truth()) >= 57);
  }

  void MostPacesAreKnownBeforeTheFirstRunsEnd()
  {
    Workshop workshop(MakeWorkers(60, kUnlike));
    WorkerPaces paces;
    workshop.RunStep(paces);
    CPPUNIT_ASSERT(CountRight(paces, workshop.Truth()) >= 48);
  }

  void FastMembersOfGangAreNotTakenForAsSlowAsTheSlowest()
  {
    Workshop workshop(MakeWorkers(60, kUnlike));
    WorkerPaces paces;
    for (int step = 0; step < 3; ++step) {
      workshop.RunStep(paces, true);
    }
    CPPUNIT_ASSERT(CountRight(paces, workshop.Truth()) >= 59);
  }

  void LongTasksAreNotTakenForSlowWorkers()
  {
    Workshop workshop(MakeWorkers(60, kUnlike));
    workshop.longShare = 0.03;
    WorkerPaces paces;
    for (int step = 0; step < 8; ++step) {
      workshop.RunStep(paces);
    }
    CPPUNIT_ASSERT(CountRight(paces, workshop.Truth()) >= 57);
  }

  void AlikeWorkersKeepPaceOneWhateverTheEstimates()
  {
    Workshop workshop(MakeWorkers(60, { 1.0 }));
    workshop.estimateError = 0.9;
    workshop.taskSpread = 0.3;
    workshop.longShare = 0.03;
    WorkerPaces paces;
    for (int step = 0; step < 12; ++step) {
      workshop.RunStep(paces);
      for (const auto& [name, pace] : workshop.Truth()) {
        CPPUNIT_ASSERT_EQUAL(1.0, paces.PaceOf(kService, WorkerName(name)));
      }
    }
    CPPUNIT_ASSERT(paces.TakeChanges().empty());
  }

  void SmallDifferencesThatObjectivesBearChangeNothing()
  {
    Workshop workshop(MakeWorkers(60, { 0.8, 1.0, 1.25 }));
    WorkerPaces paces;
    for (int step = 0; step < 12; ++step) {
      workshop.RunStep(paces);
      CPPUNIT_ASSERT(!paces.IsUneven(kService));
    }
  }

  void WorkerThatTurnsSlowAndRecoversIsFollowed()
  {
    Workshop workshop(MakeWorkers(60, kUnlike));
    WorkerPaces paces;
    const std::string changing = "w101";
    for (const double pace : { 1.0, 0.25, 1.0 }) {
      workshop.Truth().at(changing) = pace;
      for (int step = 0; step < 5; ++step) {
        workshop.RunStep(paces);
      }
      CPPUNIT_ASSERT(ClassIn(paces, changing) == PaceClassOf(pace));
    }
  }

  void WorkerThatExaggeratesItsProgressIsJudgedByItsEnds()
  {
    Workshop workshop(MakeWorkers(60, kUnlike));
    const std::string liar = "w100";
    workshop.reportedFactor[liar] = 4.0;
    WorkerPaces paces;
    for (int step = 0; step < 5; ++step) {
      workshop.RunStep(paces);
    }
    CPPUNIT_ASSERT(ClassIn(paces, liar) == PaceClass::kSlow);
  }

  void FewMeasuredWorkersHaveNoTypicalPace()
  {
    Workshop workshop(MakeWorkers(18, kUnlike));
    WorkerPaces paces;
    for (int step = 0; step < 5; ++step) {
      workshop.RunStep(paces);
    }
    CPPUNIT_ASSERT(!paces.IsUneven(kService));
  }

  void NewLifeOfWorkerStartsUnknown()
  {
    Workshop workshop(MakeWorkers(60, kUnlike));
    WorkerPaces paces;
    for (int step = 0; step < 4; ++step) {
      workshop.RunStep(paces);
    }
    CPPUNIT_ASSERT(ClassIn(paces, "w100") == PaceClass::kSlow);
    paces.BeginIncarnation(kService, WorkerName("w100"), 2, workshop.Now());
    paces.Fit(workshop.Now() + WorkerPaces::kFitInterval);
    CPPUNIT_ASSERT(ClassIn(paces, "w100") == PaceClass::kDoubtful);
  }

  void StoredPacesHoldUntilRunsShowOtherwise()
  {
    Workshop workshop(MakeWorkers(60, kUnlike));
    WorkerPaces earlier;
    for (const auto& [name, pace] : workshop.Truth()) {
      earlier.BeginIncarnation(kService, WorkerName(name), 1, workshop.Now());
    }
    // The holder is at work before anything runs.
    earlier.Fit(workshop.Now());
    for (int step = 0; step < 4; ++step) {
      workshop.RunStep(earlier);
    }
    WorkerPaces paces;
    for (const auto& [name, pace] : workshop.Truth()) {
      paces.BeginIncarnation(kService, WorkerName(name), 1, workshop.Now());
    }
    paces.BeginIncarnation(kService, WorkerName("w103"), 2, workshop.Now());
    paces.Load(earlier.Records(), workshop.Now());
    paces.Fit(workshop.Now());
    CPPUNIT_ASSERT(ClassIn(paces, "w103") == PaceClass::kDoubtful);
    CPPUNIT_ASSERT(CountRight(paces, workshop.Truth()) >= 55);
    workshop.Truth().at("w100") = 1.6;
    for (int step = 0; step < 6; ++step) {
      workshop.RunStep(paces);
    }
    CPPUNIT_ASSERT(ClassIn(paces, "w100") == PaceClass::kFast);
  }

  // The earlier holder stored its first, cautious findings.
  void StoredPacesHoldWhileWorkersAnswerOneByOne()
  {
    Workshop workshop(MakeWorkers(60, kUnlike));
    PaceRecords records;
    for (const auto& [name, pace] : workshop.Truth()) {
      records.Add(WorkerName(name), 1, 0.8 * std::log(pace));
    }
    WorkerPaces paces;
    const std::string busy = "w100";
    const MeasuredRun inherited{ 1, 1, kSizeMs, false, std::nullopt };
    paces.BeginIncarnation(kService, WorkerName(busy), 1, workshop.Now());
    paces.NoteProgress(
      kService, WorkerName(busy), inherited, 10, 0, workshop.Now());
    paces.Load(records, workshop.Now());
    Instant now = workshop.Now();
    for (const auto& [name, pace] : workshop.Truth()) {
      if (name != busy) {
        paces.BeginIncarnation(kService, WorkerName(name), 1, now);
      }
      now += WorkerPaces::kFitInterval;
      paces.Fit(now);
      CPPUNIT_ASSERT(paces.IsUneven(kService));
    }
    CPPUNIT_ASSERT_EQUAL(60, CountRight(paces, workshop.Truth()));
  }

  void ChangesOfClassAreListedOnce()
  {
    Workshop workshop(MakeWorkers(60, kUnlike));
    WorkerPaces paces;
    for (int step = 0; step < 4; ++step) {
      workshop.RunStep(paces);
    }
    CPPUNIT_ASSERT(!paces.TakeChanges().empty());
    CPPUNIT_ASSERT(paces.TakeChanges().empty());
    for (int step = 0; step < 10; ++step) {
      workshop.RunStep(paces);
    }
    // Noise near the bounds of the classes moves few workers.
    CPPUNIT_ASSERT(paces.TakeChanges().size() <= 6);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WorkerPacesTest);

}
