#include "tests/harness/http_client.h"
#include "tests/harness/loopback.h"
#include "tests/harness/process.h"
#include "tests/harness/site_deployment.h"
#include "tests/harness/test_folder.h"
#include "tests/harness/wait.h"

#include <cppunit/extensions/HelperMacros.h>
#include <csignal>
#include <fcntl.h>
#include <sys/stat.h>
#include <thread>
#include <unistd.h>

namespace sardinecourse::harness {

namespace {

constexpr int kHosts = 3;
constexpr int kWorkers = 6;
constexpr Milliseconds kMaxStopTime{ 6000 };
constexpr Milliseconds kRunTimeout{ 15'000 };
constexpr Milliseconds kSignalInterval{ 2 };

/** A named pipe that is full, so that nothing more can be written to it. */
class FullPipe
{
public:
  explicit FullPipe(const std::string& aPath)
  {
    constexpr mode_t kMode = 0600;
    ::mkfifo(aPath.c_str(), kMode);
    this->descriptor = ::open(aPath.c_str(), O_RDWR | O_NONBLOCK);
    const std::string bytes(512, ' ');
    while (::write(this->descriptor, bytes.data(), bytes.size()) > 0) {
    }
  }
  ~FullPipe() { ::close(this->descriptor); }
  FullPipe(const FullPipe&) = delete;
  FullPipe& operator=(const FullPipe&) = delete;

private:
  int descriptor = -1;
};

}

/** A scheduling domain on the users' platform, with real daemons: answers to
 * callers are correct and every job runs once although daemons are killed and
 * messages are lost. */
class DomainTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(DomainTest);
  CPPUNIT_TEST(JobsAreAcceptedRunAndShown);
  CPPUNIT_TEST(JobsSurviveKilledHolder);
  CPPUNIT_TEST(LostCommitAnswerCreatesOneJob);
  CPPUNIT_TEST(RunningJobsSurviveStoreOutage);
  CPPUNIT_TEST(LostOrderStartsNoTaskTwice);
  CPPUNIT_TEST(JobsAreFoundAfterStoreCompaction);
  CPPUNIT_TEST(PlannedStopHandsOverDomain);
  CPPUNIT_TEST(SignalDuringTheLastLogLinesIsIgnored);
  CPPUNIT_TEST_SUITE_END();

public:
  void JobsAreAcceptedRunAndShown()
  {
    SiteDeployment site(kHosts, kWorkers);
    this->WaitUntilAllReady(site);
    CPPUNIT_ASSERT_EQUAL(200, site.Submit(0, "a0", 2, 300));
    CPPUNIT_ASSERT_EQUAL(200, site.Submit(1, "a1", 5, 300));
    CPPUNIT_ASSERT(site.WaitForState(2, "a0", "completed"));
    CPPUNIT_ASSERT(site.WaitForState(2, "a1", "completed"));
    CPPUNIT_ASSERT_EQUAL(410,
                         site.Call(0, "GET", SiteDeployment::PathOf("none")));
    CPPUNIT_ASSERT_EQUAL(
      401, site.Call(0, "GET", SiteDeployment::PathOf("a0"), "k9"));
    CPPUNIT_ASSERT_EQUAL(404, site.Call(0, "GET", "/two/a0"));
    CPPUNIT_ASSERT_EQUAL(200, site.Call(0, "GET", "/one/"));
    CPPUNIT_ASSERT_EQUAL(200, site.Submit(0, "a2", 2, 60'000));
    CPPUNIT_ASSERT(site.WaitForState(1, "a2", "running"));
    CPPUNIT_ASSERT_EQUAL(200,
                         site.Call(1, "DELETE", SiteDeployment::PathOf("a2")));
    CPPUNIT_ASSERT_EQUAL(std::string("cancelled"), site.StateOf(2, "a2"));
    CPPUNIT_ASSERT(WaitUntil(kRunTimeout, [&site] {
      return site.Control("report", {})["running"].empty();
    }));
    this->Check(site, 9);
  }

  void JobsSurviveKilledHolder()
  {
    SiteDeployment site(kHosts, kWorkers);
    this->WaitUntilAllReady(site);
    CPPUNIT_ASSERT_EQUAL(200, site.Submit(0, "b0", 4, 3000));
    CPPUNIT_ASSERT(site.WaitForState(0, "b0", "running"));
    const auto holder = WaitForHolder(site);
    CPPUNIT_ASSERT(holder);
    site.Daemon(*holder).Kill();
    const std::size_t other = (*holder + 1) % kHosts;
    CPPUNIT_ASSERT_EQUAL(200, site.Submit(other, "b1", 2, 300));
    CPPUNIT_ASSERT(site.WaitForState(other, "b0", "completed"));
    CPPUNIT_ASSERT(site.WaitForState(other, "b1", "completed"));
    this->Check(site, 6);
  }

  void LostCommitAnswerCreatesOneJob()
  {
    SiteDeployment site(kHosts, kWorkers);
    this->WaitUntilAllReady(site);
    // The lost commits may include renewals of the holder's lease.
    site.Control("faults", { { "lose_commits", 3 } });
    const int status = site.Submit(0, "c0", 2, 300);
    CPPUNIT_ASSERT(status == 200 || status == 504 || status == 0);
    site.Control("faults", nlohmann::json::object());
    CPPUNIT_ASSERT_EQUAL(200, site.Submit(1, "c0", 2, 300));
    CPPUNIT_ASSERT(site.WaitForState(2, "c0", "completed"));
    this->Check(site, 2);
  }

  void RunningJobsSurviveStoreOutage()
  {
    SiteDeployment site(kHosts, kWorkers);
    this->WaitUntilAllReady(site);
    CPPUNIT_ASSERT_EQUAL(200, site.Submit(0, "d0", 4, 6000));
    CPPUNIT_ASSERT(site.WaitForState(0, "d0", "running"));
    site.Control("faults", { { "store", "refuse" } });
    CPPUNIT_ASSERT_EQUAL(503, site.Submit(1, "d1", 1, 300));
    std::this_thread::sleep_for(Milliseconds(4500));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 4 },
                         site.Control("report", {})["running"].size());
    site.Control("faults", nlohmann::json::object());
    CPPUNIT_ASSERT(site.WaitForState(2, "d0", "completed"));
    this->Check(site, 4);
  }

  void LostOrderStartsNoTaskTwice()
  {
    SiteDeployment site(kHosts, kWorkers);
    this->WaitUntilAllReady(site);
    site.Control("faults", { { "lose_orders", 2 } });
    CPPUNIT_ASSERT_EQUAL(200, site.Submit(0, "e0", 3, 500));
    CPPUNIT_ASSERT(site.WaitForState(1, "e0", "completed"));
    CPPUNIT_ASSERT_EQUAL(std::string("[]"),
                         site.Control("report", {})["violations"].dump());
    site.MarkPassed();
  }

  void JobsAreFoundAfterStoreCompaction()
  {
    SiteDeployment site(kHosts, kWorkers);
    this->WaitUntilAllReady(site);
    for (int job = 0; job < 4; ++job) {
      CPPUNIT_ASSERT_EQUAL(
        200, site.Submit(job % kHosts, "f" + std::to_string(job), 1, 200));
      site.Control("compact", {});
    }
    for (int job = 0; job < 4; ++job) {
      CPPUNIT_ASSERT(
        site.WaitForState(0, "f" + std::to_string(job), "completed"));
    }
    this->Check(site, 4);
  }

  void PlannedStopHandsOverDomain()
  {
    SiteDeployment site(kHosts, kWorkers);
    this->WaitUntilAllReady(site);
    CPPUNIT_ASSERT_EQUAL(200, site.Submit(0, "g0", 4, 4000));
    CPPUNIT_ASSERT(site.WaitForState(0, "g0", "running"));
    const auto holder = WaitForHolder(site);
    CPPUNIT_ASSERT(holder);
    const std::size_t other = (*holder + 1) % kHosts;
    const Instant stopRequested = Clock::now();
    site.Daemon(*holder).Signal(SIGTERM);
    CPPUNIT_ASSERT_EQUAL(200, site.Submit(other, "g1", 1, 100));
    CPPUNIT_ASSERT(site.WaitForState(other, "g1", "completed"));
    // Faster than waiting for the lease of a killed holder to expire.
    CPPUNIT_ASSERT(Clock::now() < stopRequested + Milliseconds(3000));
    const auto exit = site.Daemon(*holder).WaitForExit(kMaxStopTime);
    CPPUNIT_ASSERT_EQUAL(0, exit.value_or(-1));
    CPPUNIT_ASSERT(site.WaitForState(other, "g0", "completed"));
    this->Check(site, 5);
  }

  /** A reload or a second stop ended a process by the signal's default action
   * while it wrote the rest of its log. */
  void SignalDuringTheLastLogLinesIsIgnored()
  {
    for (const int signal : { SIGHUP, SIGTERM }) {
      TestFolder folder;
      const FullPipe log(folder.File("log"));
      const Endpoint readiness = FreeEndpoint();
      const std::string settings = folder.Write(
        "host.yaml",
        "name: h\ndata_centre: zone\ncallers: " + FreeEndpoint().Text() +
          "\nreadiness: " + readiness.Text() + "\nmetrics: " +
          FreeEndpoint().Text() + "\nstore: " + FreeEndpoint().Text() + "\n");
      Process daemon(
        "sardinecoursed", { "--settings", settings }, folder.File("log"));
      constexpr int kNotReady = 503;
      CPPUNIT_ASSERT(
        WaitForHttp(readiness, "/api/ready", kNotReady, kRunTimeout));
      daemon.Signal(SIGTERM);
      const Instant until = Clock::now() + kMaxStopTime;
      while (daemon.IsRunning() && Clock::now() < until) {
        daemon.Signal(signal);
        std::this_thread::sleep_for(kSignalInterval);
      }
      CPPUNIT_ASSERT(!daemon.IsRunning());
      CPPUNIT_ASSERT_EQUAL(0, daemon.WaitForExit(Milliseconds(0)).value_or(-1));
      folder.MarkPassed();
    }
  }

private:
  static void WaitUntilAllReady(const SiteDeployment& aSite)
  {
    for (std::size_t host = 0; host < aSite.Hosts(); ++host) {
      CPPUNIT_ASSERT(aSite.WaitUntilReady(host));
    }
  }

  /** Waits for the holder to appear in the logs, which lag behind a takeover.
   */
  static std::optional<std::size_t> WaitForHolder(const SiteDeployment& aSite)
  {
    std::optional<std::size_t> holder;
    WaitUntil(kRunTimeout, [&aSite, &holder] {
      holder = aSite.Holder();
      return holder.has_value();
    });
    return holder;
  }

  /** The site reports no violations, and no task was started more often than
   * needed. */
  static void Check(SiteDeployment& aSite, std::int64_t aStarts)
  {
    const nlohmann::json report = aSite.Control("report", {});
    CPPUNIT_ASSERT_EQUAL(std::string("[]"), report["violations"].dump());
    CPPUNIT_ASSERT_EQUAL(aStarts, report["starts"].get<std::int64_t>());
    aSite.MarkPassed();
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DomainTest);

}
