#include "tests/harness/deployment.h"
#include "tests/harness/history.h"
#include "tests/harness/settings_client.h"

#include <atomic>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <iostream>
#include <thread>

namespace sardinecourse::harness {

namespace {

/** Accepted settings are in force everywhere within this time. */
constexpr Milliseconds kInForceLimit{ 16000 };
constexpr Milliseconds kStatusTimeout{ 1000 };
constexpr Milliseconds kObserveInterval{ 20 };

/** No host is ever seen with a lower revision than before, and none serves
 * callers without any. */
struct NeverReverts
{
  std::vector<std::string> Check(const std::vector<Operation>& aHistory) const
  {
    std::map<std::string, std::int64_t> highest;
    std::vector<std::string> breaches;
    for (const Operation& operation : aHistory) {
      const std::int64_t revision = std::stoll(operation.output);
      std::int64_t& seen = highest[operation.subject];
      // A host that starts has none until it has taken the highest it can get.
      if (revision != 0 && revision < seen) {
        breaches.push_back(operation.subject + " went from " +
                           std::to_string(seen) + " to " + operation.output);
      }
      seen = std::max(seen, revision);
    }
    return breaches;
  }
};

/** Records the revision in force on every host, all the time. */
class Observer
{
public:
  Observer(const Deployment& aDeployment, History& aHistory)
    : thread([this, &aDeployment, &aHistory] {
      while (!this->stopped) {
        for (const std::string& host : Deployment::Hosts()) {
          const auto revision =
            RevisionInForce(aDeployment.Callers(host), kStatusTimeout);
          if (revision) {
            aHistory.Observe(0, "revision", host, std::to_string(*revision));
          }
        }
        std::this_thread::sleep_for(kObserveInterval);
      }
    })
  {
  }
  ~Observer() { this->Stop(); }
  Observer(const Observer&) = delete;
  Observer& operator=(const Observer&) = delete;

  void Stop()
  {
    this->stopped = true;
    if (this->thread.joinable()) {
      this->thread.join();
    }
  }

private:
  std::atomic<bool> stopped = false;
  std::thread thread;
};

class SettingsOverPeersTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(SettingsOverPeersTest);
  CPPUNIT_TEST(ReachHostsThatThePlatformIsCutFrom);
  CPPUNIT_TEST(ReachAHostThatStartsWithThePlatformDown);
  CPPUNIT_TEST(ConvergeAfterADataCentreWasCutOff);
  CPPUNIT_TEST(NoStalePeerMakesAHostRevert);
  CPPUNIT_TEST_SUITE_END();

public:
  void ReachHostsThatThePlatformIsCutFrom()
  {
    Deployment deployment;
    const std::int64_t first = this->ApplyEverywhere(deployment, "b1", 1);
    deployment.PlatformRelay("west").Set(RelayMode::kCut);
    const Instant start = Clock::now();
    const auto second = deployment.Apply("b1", 2);
    CPPUNIT_ASSERT(second && *second > first);
    CPPUNIT_ASSERT(
      deployment.WaitForRevision(Deployment::Hosts(), *second, kInForceLimit));
    this->Report("in force with the platform cut from west", start);
    deployment.Passed();
  }

  void ReachAHostThatStartsWithThePlatformDown()
  {
    Deployment deployment;
    const std::int64_t first = this->ApplyEverywhere(deployment, "a1", 1);
    CPPUNIT_ASSERT(deployment.SetPlatformFaults(R"({"down": "hang"})"));
    deployment.Daemon("a1").Kill();
    const Instant start = Clock::now();
    deployment.Start("a1");
    CPPUNIT_ASSERT(deployment.WaitForRevision({ "a1" }, first, kInForceLimit));
    this->Report("in force on a host started with the platform down", start);
    deployment.Passed();
  }

  void ConvergeAfterADataCentreWasCutOff()
  {
    Deployment deployment;
    History history;
    const std::int64_t first = this->ApplyEverywhere(deployment, "b1", 1);
    Observer observer(deployment, history);
    deployment.CutWest(RelayMode::kSilent);
    const auto second = deployment.Apply("b1", 2);
    const auto third = deployment.Apply("b1", 3);
    CPPUNIT_ASSERT(second && third && *third > *second && *second > first);
    // A host that starts inside the cut knows only what its peers there know.
    deployment.Daemon("a1").Kill();
    deployment.Start("a1");
    CPPUNIT_ASSERT(deployment.WaitForRevision({ "a1" }, first, kInForceLimit));
    deployment.CutWest(RelayMode::kPass);
    const Instant healed = Clock::now();
    CPPUNIT_ASSERT(
      deployment.WaitForRevision(Deployment::Hosts(), *third, kInForceLimit));
    this->Report("in force after the cut healed", healed);
    // The stale hosts' messages have all arrived by now.
    std::this_thread::sleep_for(Milliseconds(1000));
    observer.Stop();
    CPPUNIT_ASSERT_EQUAL(std::string(), CheckHistory(NeverReverts(), history));
    CPPUNIT_ASSERT(history.Operations().size() > 100);
    deployment.Passed();
  }

  /** Peers are all that the hosts have when the cut heals, so a stale one would
   * be believed if anything but the highest revision were taken. */
  void NoStalePeerMakesAHostRevert()
  {
    Deployment deployment;
    History history;
    this->ApplyEverywhere(deployment, "b1", 1);
    Observer observer(deployment, history);
    deployment.CutWest(RelayMode::kCut);
    const auto last = deployment.Apply("b1", 2);
    CPPUNIT_ASSERT(last);
    CPPUNIT_ASSERT(deployment.SetPlatformFaults(R"({"down": "refuse"})"));
    deployment.Between().Set(RelayMode::kPass);
    CPPUNIT_ASSERT(
      deployment.WaitForRevision(Deployment::Hosts(), *last, kInForceLimit));
    std::this_thread::sleep_for(Milliseconds(2000));
    observer.Stop();
    CPPUNIT_ASSERT_EQUAL(std::string(), CheckHistory(NeverReverts(), history));
    CPPUNIT_ASSERT(history.Operations().size() > 100);
    deployment.Passed();
  }

private:
  static std::int64_t ApplyEverywhere(Deployment& aDeployment,
                                      const std::string& aHost,
                                      int aMark)
  {
    const auto revision = aDeployment.Apply(aHost, aMark);
    CPPUNIT_ASSERT(revision);
    CPPUNIT_ASSERT(aDeployment.WaitForRevision(
      Deployment::Hosts(), *revision, kInForceLimit));
    return *revision;
  }

  static void Report(const std::string& aWhat, Instant aStart)
  {
    const auto time =
      std::chrono::duration_cast<Milliseconds>(Clock::now() - aStart);
    std::cerr << aWhat << ": " << time.count() << " ms\n";
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SettingsOverPeersTest);

}

}
