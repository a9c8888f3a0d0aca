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
constexpr Milliseconds kPhase{ 6000 };
constexpr Milliseconds kThink{ 10 };
constexpr Milliseconds kCallTimeout{ 5000 };
constexpr int kEnoughCalls = 100;
/** A request that was under way at the moment of the fault may be refused. */
constexpr double kServedShare = 0.99;

/** How a request may be repeated, which decides what it needs. */
struct Kind
{
  std::string name;
  std::string method;
  bool hasKey = false;
};

/** Idempotent, at most once without a record, at most once by a claim. */
const std::vector<Kind> kKinds{ { "put", "PUT", false },
                                { "post", "POST", false },
                                { "post_with_key", "POST", true } };

/** Callers of every kind at some hosts, until the object ends. */
class Callers
{
public:
  Callers(const Deployment& aDeployment,
          const std::vector<std::string>& aHosts,
          History& aHistory)
  {
    for (const std::string& host : aHosts) {
      for (const Kind& kind : kKinds) {
        const auto client = static_cast<std::int32_t>(this->threads.size());
        this->threads.emplace_back([=, this, &aDeployment, &aHistory] {
          this->Run(client, aDeployment.Callers(host), kind, aHistory);
        });
      }
    }
  }
  ~Callers()
  {
    this->stopped = true;
    for (std::thread& thread : this->threads) {
      thread.join();
    }
  }
  Callers(const Callers&) = delete;
  Callers& operator=(const Callers&) = delete;

private:
  void Run(std::int32_t aClient,
           const Endpoint& aServer,
           const Kind& aKind,
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
      std::this_thread::sleep_for(kThink);
    }
  }

  std::atomic<bool> stopped = false;
  std::list<std::thread> threads;
};

struct Share
{
  int calls = 0;
  int done = 0;
  int notRun = 0;
  double Value() const { return this->calls == 0 ? 0 : 1.0 * done / calls; }
};

Share
ShareOf(const History& aHistory, const std::string& aKind)
{
  Share share;
  for (const Operation& operation : aHistory.Operations()) {
    if (operation.kind == aKind) {
      share.calls += 1;
      share.done += operation.outcome == "done" ? 1 : 0;
      share.notRun += operation.outcome == "not-run" ? 1 : 0;
    }
  }
  return share;
}

class AvailabilityTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(AvailabilityTest);
  CPPUNIT_TEST(ServesWithThePlatformDown);
  CPPUNIT_TEST(ServesInADataCentreCutOffFromEverything);
  CPPUNIT_TEST_SUITE_END();

public:
  void ServesWithThePlatformDown()
  {
    Deployment deployment;
    this->Settle(deployment);
    this->RunPhase(deployment, "before", true);
    CPPUNIT_ASSERT(deployment.SetPlatformFaults(R"({"down": "hang"})"));
    this->RunPhase(deployment, "platform down", false);
    CPPUNIT_ASSERT(deployment.SetPlatformFaults(R"({"down": "none"})"));
    this->RunPhase(deployment, "after", true);
    deployment.Passed();
  }

  void ServesInADataCentreCutOffFromEverything()
  {
    Deployment deployment;
    this->Settle(deployment);
    this->RunPhase(deployment, "before", true);
    deployment.CutWest(RelayMode::kSilent);
    this->RunPhase(deployment, "cut off", false);
    deployment.CutWest(RelayMode::kPass);
    this->RunPhase(deployment, "after", true);
    deployment.Passed();
  }

private:
  static void Settle(Deployment& aDeployment)
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

  /** Calls the hosts of west for a while and prints the served shares. Without
   * a claim in the table a request with a key is refused, so its share counts
   * only while the table can be reached. */
  static void RunPhase(const Deployment& aDeployment,
                       const std::string& aName,
                       bool aHasTable)
  {
    History history;
    {
      const Callers callers(aDeployment, { "a1", "a2" }, history);
      std::this_thread::sleep_for(kPhase);
    }
    for (const Kind& kind : kKinds) {
      const Share share = ShareOf(history, kind.name);
      std::fprintf(stderr,
                   "%s: %s served %d of %d (%.4f)\n",
                   aName.c_str(),
                   kind.name.c_str(),
                   share.done,
                   share.calls,
                   share.Value());
      // What is refused is refused truthfully, and nobody is left waiting.
      CPPUNIT_ASSERT_EQUAL(share.calls - share.done, share.notRun);
      const bool isMeant = aHasTable || !kind.hasKey;
      CPPUNIT_ASSERT(!isMeant || share.calls > kEnoughCalls);
      CPPUNIT_ASSERT(!isMeant || share.Value() >= kServedShare);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AvailabilityTest);

}

}
