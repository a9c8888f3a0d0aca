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

/** The revision in force on a host never decreases. Revision 0 is allowed: a
 * starting host has no settings yet, and serves no callers without them. */
struct RevisionNeverDecreases
{
  std::vector<std::string> Check(const std::vector<Operation>& aHistory) const
  {
    std::map<std::string, std::int64_t> highest;
    std::vector<std::string> breaches;
    for (const Operation& operation : aHistory) {
      const std::int64_t revision = std::stoll(operation.output);
      std::int64_t& seen = highest[operation.subject];
      // A starting host has no revision until it has loaded the highest one
      // that it can reach.
      if (revision != 0 && revision < seen) {
        breaches.push_back(operation.subject + " went from " +
                           std::to_string(seen) + " to " + operation.output);
      }
      seen = std::max(seen, revision);
    }
    return breaches;
  }
};

/** Records the revision in force on every host at short intervals. */
class RevisionObserver
{
public:
  RevisionObserver(const Deployment& aDeployment, History& aHistory)
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
  ~RevisionObserver() { this->Stop(); }
  RevisionObserver(const RevisionObserver&) = delete;
  RevisionObserver& operator=(const RevisionObserver&) = delete;

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
  CPPUNIT_TEST(SettingsReachHostsCutOffFromPlatform);
  CPPUNIT_TEST(SettingsReachHostStartedWhilePlatformIsDown);
  CPPUNIT_TEST(SettingsConvergeAfterPartitionHeals);
  CPPUNIT_TEST(StalePeerDoesNotRevertSettings);
  CPPUNIT_TEST_SUITE_END();

public:
  void SettingsReachHostsCutOffFromPlatform()
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
    deployment.MarkPassed();
  }

  void SettingsReachHostStartedWhilePlatformIsDown()
  {
    Deployment deployment;
    const std::int64_t first = this->ApplyEverywhere(deployment, "a1", 1);
    CPPUNIT_ASSERT(deployment.SetPlatformFaults(R"({"down": "hang"})"));
    deployment.Daemon("a1").Kill();
    const Instant start = Clock::now();
    deployment.Start("a1");
    CPPUNIT_ASSERT(deployment.WaitForRevision({ "a1" }, first, kInForceLimit));
    this->Report("in force on a host started with the platform down", start);
    deployment.MarkPassed();
  }

  void SettingsConvergeAfterPartitionHeals()
  {
    Deployment deployment;
    History history;
    const std::int64_t first = this->ApplyEverywhere(deployment, "b1", 1);
    RevisionObserver observer(deployment, history);
    deployment.SetWestRelays(RelayMode::kBlackhole);
    const auto second = deployment.Apply("b1", 2);
    const auto third = deployment.Apply("b1", 3);
    CPPUNIT_ASSERT(second && third && *third > *second && *second > first);
    // A host started in the isolated data centre can load settings only from
    // its peers there.
    deployment.Daemon("a1").Kill();
    deployment.Start("a1");
    CPPUNIT_ASSERT(deployment.WaitForRevision({ "a1" }, first, kInForceLimit));
    deployment.SetWestRelays(RelayMode::kForward);
    const Instant reconnected = Clock::now();
    CPPUNIT_ASSERT(
      deployment.WaitForRevision(Deployment::Hosts(), *third, kInForceLimit));
    this->Report("in force after the cut healed", reconnected);
    // Waits until all messages of the stale hosts have arrived.
    std::this_thread::sleep_for(Milliseconds(1000));
    observer.Stop();
    CPPUNIT_ASSERT_EQUAL(std::string(),
                         CheckHistory(RevisionNeverDecreases(), history));
    CPPUNIT_ASSERT(history.Operations().size() > 100);
    deployment.MarkPassed();
  }

  /** When the partition heals, peers are the only source of settings, so a host
   * that took anything but the highest revision would revert to a stale one. */
  void StalePeerDoesNotRevertSettings()
  {
    Deployment deployment;
    History history;
    this->ApplyEverywhere(deployment, "b1", 1);
    RevisionObserver observer(deployment, history);
    deployment.SetWestRelays(RelayMode::kCut);
    const auto last = deployment.Apply("b1", 2);
    CPPUNIT_ASSERT(last);
    CPPUNIT_ASSERT(deployment.SetPlatformFaults(R"({"down": "refuse"})"));
    deployment.InterDataCentreRelay().Set(RelayMode::kForward);
    CPPUNIT_ASSERT(
      deployment.WaitForRevision(Deployment::Hosts(), *last, kInForceLimit));
    std::this_thread::sleep_for(Milliseconds(2000));
    observer.Stop();
    CPPUNIT_ASSERT_EQUAL(std::string(),
                         CheckHistory(RevisionNeverDecreases(), history));
    CPPUNIT_ASSERT(history.Operations().size() > 100);
    deployment.MarkPassed();
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
