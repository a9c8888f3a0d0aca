#include "tests/harness/deployment.h"
#include "tests/harness/history.h"
#include "tests/harness/http_client.h"

#include <atomic>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <cstdio>
#include <list>
#include <thread>

namespace sardinecourse::harness {

namespace {

constexpr Milliseconds kInForceLimit{ 16000 };
constexpr Milliseconds kPhaseDuration{ 6000 };
constexpr Milliseconds kPauseBetweenCalls{ 10 };
constexpr Milliseconds kCallTimeout{ 5000 };
constexpr int kMinCalls = 100;
/** Below 1 because requests in flight when the fault begins may be refused. */
constexpr double kMinServedShare = 0.99;

/** A kind of request, by whether and how it may be retried. */
struct RequestKind
{
  std::string name;
  std::string method;
  bool hasKey = false;
};

/** Idempotent; at most once without a stored record; at most once through a
 * claim in the table. */
const std::vector<RequestKind> kRequestKinds{
  { "put", "PUT", false },
  { "post", "POST", false },
  { "post_with_key", "POST", true }
};

/** Sends requests of every kind to the given hosts until it is destroyed. */
class LoadGenerator
{
public:
  LoadGenerator(const Deployment& aDeployment,
                const std::vector<std::string>& aHosts,
                History& aHistory)
  {
    for (const std::string& host : aHosts) {
      for (const RequestKind& kind : kRequestKinds) {
        const auto client = static_cast<std::int32_t>(this->threads.size());
        this->threads.emplace_back([=, this, &aDeployment, &aHistory] {
          this->Run(client, aDeployment.Callers(host), kind, aHistory);
        });
      }
    }
  }
  ~LoadGenerator()
  {
    this->stopped = true;
    for (std::thread& thread : this->threads) {
      thread.join();
    }
  }
  LoadGenerator(const LoadGenerator&) = delete;
  LoadGenerator& operator=(const LoadGenerator&) = delete;

private:
  void Run(std::int32_t aClient,
           const Endpoint& aServer,
           const RequestKind& aKind,
           History& aHistory) const
  {
    HttpClient client(aServer);
    for (int count = 0; !this->stopped; ++count) {
      HttpRequest request;
      request.method = aKind.method;
      request.target = "/services/fretdesk/work";
      request.body = std::to_string(aClient) + "-" + std::to_string(count);
      request.fields.Add("Sardinecourse-Deadline-Ms", "3000");
      if (aKind.hasKey) {
        request.fields.Add("Idempotency-Key", "availability-" + request.body);
      }
      const std::size_t number =
        aHistory.Call(aClient, aKind.name, aServer.Text(), request.body);
      const auto answer = client.Call(request, kCallTimeout);
      const std::string outcome =
        answer ? std::string(answer->fields.Find("Sardinecourse-Outcome"))
               : "no-answer";
      aHistory.Return(number, outcome, answer ? answer->body : "");
      std::this_thread::sleep_for(kPauseBetweenCalls);
    }
  }

  std::atomic<bool> stopped = false;
  std::list<std::thread> threads;
};

struct OutcomeCounts
{
  int calls = 0;
  int done = 0;
  int notRun = 0;
  double ServedShare() const
  {
    return this->calls == 0 ? 0 : 1.0 * done / calls;
  }
};

OutcomeCounts
CountOutcomes(const History& aHistory, const std::string& aKind)
{
  OutcomeCounts counts;
  for (const Operation& operation : aHistory.Operations()) {
    if (operation.kind == aKind) {
      counts.calls += 1;
      counts.done += operation.outcome == "done" ? 1 : 0;
      counts.notRun += operation.outcome == "not-run" ? 1 : 0;
    }
  }
  return counts;
}

class AvailabilityTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(AvailabilityTest);
  CPPUNIT_TEST(ServesWhilePlatformIsDown);
  CPPUNIT_TEST(ServesInIsolatedDataCentre);
  CPPUNIT_TEST_SUITE_END();

public:
  void ServesWhilePlatformIsDown()
  {
    Deployment deployment;
    this->ApplyInitialSettings(deployment);
    this->RunPhase(deployment, "before", true);
    CPPUNIT_ASSERT(deployment.SetPlatformFaults(R"({"down": "hang"})"));
    this->RunPhase(deployment, "platform down", false);
    CPPUNIT_ASSERT(deployment.SetPlatformFaults(R"({"down": "none"})"));
    this->RunPhase(deployment, "after", true);
    deployment.MarkPassed();
  }

  void ServesInIsolatedDataCentre()
  {
    Deployment deployment;
    this->ApplyInitialSettings(deployment);
    this->RunPhase(deployment, "before", true);
    deployment.SetWestRelays(RelayMode::kBlackhole);
    this->RunPhase(deployment, "cut off", false);
    deployment.SetWestRelays(RelayMode::kForward);
    this->RunPhase(deployment, "after", true);
    deployment.MarkPassed();
  }

private:
  static void ApplyInitialSettings(Deployment& aDeployment)
  {
    const auto revision = aDeployment.Apply("a1", 1);
    CPPUNIT_ASSERT(revision);
    CPPUNIT_ASSERT(aDeployment.WaitForRevision(
      Deployment::Hosts(), *revision, kInForceLimit));
    for (const std::string& host : Deployment::Hosts()) {
      CPPUNIT_ASSERT(
        WaitForHttp(aDeployment.Callers(host), "/readyz", 200, kInForceLimit));
    }
  }

  /** Sends load to the hosts of west for one phase and prints the served
   * shares. A request with a key is refused if its claim cannot be written to
   * the table, so its share is checked only while the table is reachable. */
  static void RunPhase(const Deployment& aDeployment,
                       const std::string& aPhase,
                       bool aIsTableReachable)
  {
    History history;
    {
      const LoadGenerator load(aDeployment, { "a1", "a2" }, history);
      std::this_thread::sleep_for(kPhaseDuration);
    }
    for (const RequestKind& kind : kRequestKinds) {
      const OutcomeCounts counts = CountOutcomes(history, kind.name);
      std::fprintf(stderr,
                   "%s: %s served %d of %d (%.4f)\n",
                   aPhase.c_str(),
                   kind.name.c_str(),
                   counts.done,
                   counts.calls,
                   counts.ServedShare());
      // Every request that is not served is answered as not run; none times
      // out.
      CPPUNIT_ASSERT_EQUAL(counts.calls - counts.done, counts.notRun);
      const bool mustBeServed = aIsTableReachable || !kind.hasKey;
      CPPUNIT_ASSERT(!mustBeServed || counts.calls > kMinCalls);
      CPPUNIT_ASSERT(!mustBeServed || counts.ServedShare() >= kMinServedShare);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AvailabilityTest);

}

}
