#include "tests/harness/http_client.h"
#include "tests/harness/site_deployment.h"
#include "tests/harness/wait.h"

#include <atomic>
#include <cppunit/extensions/HelperMacros.h>
#include <map>
#include <mutex>
#include <sstream>
#include <thread>
#include <vector>

namespace sardinecourse::harness {

namespace {

constexpr int kHosts = 4;
constexpr int kWorkers = 4;
constexpr int kJobs = 240;
constexpr int kCallers = 60;
constexpr int kOk = 200;
constexpr int kNoAnswer = 0;
constexpr int kUnavailable = 503;
/** How long a caller waits for an answer. */
constexpr Milliseconds kDeadline{ 3000 };
/** Within this time after a change every host serves by the newest version. */
constexpr Milliseconds kAdoptTimeout{ 2000 };

/** How often each status was answered; kNoAnswer counts requests that a host
 * may have read and did not answer in time. */
class StatusCounts
{
public:
  void Count(int aStatus)
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    ++this->counts[aStatus];
  }

  int Of(int aStatus) const
  {
    const auto found = this->counts.find(aStatus);
    return found == this->counts.end() ? 0 : found->second;
  }

  int Total() const
  {
    int total = 0;
    for (const auto& [status, count] : this->counts) {
      total += count;
    }
    return total;
  }

  std::string Text() const
  {
    std::ostringstream text;
    for (const auto& [status, count] : this->counts) {
      text << status << ": " << count << ' ';
    }
    return text.str();
  }

private:
  std::mutex mutex;
  std::map<int, int> counts;
};

std::string
JobOf(int aNumber)
{
  return "job" + std::to_string(aNumber);
}

/** Runs kCallers threads that share the numbers from 0 to kJobs - 1. */
template<typename Call>
void
CallForEachJob(const Call& aCall)
{
  std::atomic<int> next = 0;
  std::vector<std::thread> callers;
  callers.reserve(kCallers);
  for (int caller = 0; caller < kCallers; ++caller) {
    callers.emplace_back([&next, &aCall] {
      for (int job = next++; job < kJobs; job = next++) {
        aCall(job);
      }
    });
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
}

/** Asks a host for a job on a connection of its own; counts nothing if the host
 * was not reached. */
void
Ask(const SiteDeployment& aSite,
    std::size_t aHost,
    int aJob,
    StatusCounts& aCounts)
{
  HttpRequest request;
  request.method = "GET";
  request.target = SiteDeployment::PathOf(JobOf(aJob));
  request.fields.Add("Api-Key", "k1");
  request.fields.Add("X-Deadline-Remaining", std::to_string(kDeadline.count()));
  HttpClient client(aSite.Callers(aHost));
  const auto answer = client.Call(request, kDeadline);
  if (answer) {
    aCounts.Count(answer->status);
  } else if (client.Progress() != ExchangeProgress::kNotSent) {
    aCounts.Count(kNoAnswer);
  }
}

}

/** Hosts that start, or follow a configuration, answer for every job that was
 * accepted before. */
class DomainAnswersTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(DomainAnswersTest);
  CPPUNIT_TEST(JobsStayKnownAfterAllHostsWereKilled);
  CPPUNIT_TEST(JobsOfRenamedQueueStayKnown);
  CPPUNIT_TEST_SUITE_END();

public:
  /** All hosts are killed as a job is accepted. While they start, and
   * afterwards, callers ask for all jobs at the same time: a host may refuse
   * until it has read the configuration, but never deny a job. */
  void JobsStayKnownAfterAllHostsWereKilled()
  {
    SiteDeployment site(kHosts, kWorkers);
    WaitUntilAllReady(site);
    SubmitAll(site);
    for (std::size_t host = 0; host < kHosts; ++host) {
      site.Daemon(host).Kill();
    }
    for (std::size_t host = 0; host < kHosts; ++host) {
      site.Start(host);
    }
    StatusCounts starting;
    CallForEachJob([&](int aJob) { Ask(site, aJob % kHosts, aJob, starting); });
    CPPUNIT_ASSERT_EQUAL_MESSAGE(starting.Text(),
                                 starting.Total(),
                                 starting.Of(kOk) + starting.Of(kUnavailable));
    WaitUntilAllReady(site);
    StatusCounts ready;
    CallForEachJob([&](int aJob) { Ask(site, aJob % kHosts, aJob, ready); });
    CPPUNIT_ASSERT_EQUAL_MESSAGE(ready.Text(), kJobs, ready.Of(kOk));
    site.MarkPassed();
  }

  /** Accepted jobs were unknown at every host once their route had another
   * name. */
  void JobsOfRenamedQueueStayKnown()
  {
    SiteDeployment site(kHosts, kWorkers);
    WaitUntilAllReady(site);
    CPPUNIT_ASSERT_EQUAL(kOk, site.Submit(0, JobOf(0), 1, 200));
    CPPUNIT_ASSERT_EQUAL(kOk, site.Submit(1, JobOf(1), 1, 60'000));
    CPPUNIT_ASSERT(site.WaitForState(0, JobOf(1), "running"));
    site.RenameQueue(2, "renamed");
    const Instant until = Clock::now() + 2 * kAdoptTimeout;
    while (Clock::now() < until) {
      for (std::size_t host = 0; host < kHosts; ++host) {
        CPPUNIT_ASSERT_EQUAL(
          kOk, site.Call(host, "GET", SiteDeployment::PathOf(JobOf(0))));
        CPPUNIT_ASSERT_EQUAL(std::string("running"),
                             site.StateOf(host, JobOf(1)));
      }
    }
    CPPUNIT_ASSERT(site.WaitForState(0, JobOf(0), "completed"));
    CPPUNIT_ASSERT_EQUAL(
      kOk, site.Call(2, "DELETE", SiteDeployment::PathOf(JobOf(1))));
    for (std::size_t host = 0; host < kHosts; ++host) {
      CPPUNIT_ASSERT_EQUAL(std::string("cancelled"),
                           site.StateOf(host, JobOf(1)));
    }
    site.MarkPassed();
  }

private:
  static void WaitUntilAllReady(const SiteDeployment& aSite)
  {
    for (std::size_t host = 0; host < aSite.Hosts(); ++host) {
      CPPUNIT_ASSERT(aSite.WaitUntilReady(host));
    }
  }

  static void SubmitAll(const SiteDeployment& aSite)
  {
    StatusCounts accepted;
    CallForEachJob([&](int aJob) {
      accepted.Count(aSite.Submit(aJob % kHosts, JobOf(aJob), 1, 200));
    });
    CPPUNIT_ASSERT_EQUAL_MESSAGE(accepted.Text(), kJobs, accepted.Of(kOk));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DomainAnswersTest);

}
