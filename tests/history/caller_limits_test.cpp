#include "tests/harness/caller_crowd.h"
#include "tests/harness/http_client.h"
#include "tests/harness/process_usage.h"
#include "tests/harness/request_fleet.h"
#include "tests/harness/site_deployment.h"
#include "tests/harness/wait.h"

#include <cppunit/extensions/HelperMacros.h>
#include <iostream>

namespace sardinecourse::harness {

namespace {

constexpr std::size_t kKilobyte = 1024;
constexpr std::size_t kMegabyte = kKilobyte * kKilobyte;
constexpr int kOk = 200;
constexpr Milliseconds kAnswerTimeout{ 30'000 };
constexpr Milliseconds kQuietTimeout{ 10'000 };

/** The process may take this much, of which callers may take 8 MB. */
constexpr std::int64_t kMemoryBound = 64 * kMegabyte;
const std::string kLimits =
  "limits: {caller_memory_mb: 8, connections: 32, header_kb: 16, "
  "body_kb: 512}\n";
/** The connections of callers, and those of the host itself. */
constexpr std::int64_t kDescriptorBound = 32 + 48;
constexpr std::int64_t kDescriptorLimit = 112;

/** 16 callers that send 8 MB each. */
constexpr int kSenders = 16;
constexpr int kBlocks = 32;
constexpr std::size_t kBlockBytes = kMegabyte / 4;
/** More callers than a host has descriptors. */
constexpr int kConnections = 160;

std::string
Post(const std::string& aTarget,
     const std::string& aFields,
     const std::string& aBody = "")
{
  return "POST " + aTarget + " HTTP/1.1\r\nHost: a\r\n" + aFields + "\r\n" +
         aBody;
}

std::string
PostWithLength(const std::string& aTarget,
               std::size_t aLength,
               const std::string& aBody = "",
               const std::string& aFields = "")
{
  const std::string length =
    "Content-Length: " + std::to_string(aLength) + "\r\n";
  return Post(aTarget, aFields + length, aBody);
}

std::string
PostJob(const SiteDeployment& aSite,
        const std::string& aKey,
        const std::string& aBody)
{
  return "POST /one/crowd HTTP/1.1\r\nHost: " + aSite.Callers(0).Text() +
         "\r\nApi-Key: " + aKey +
         "\r\nX-Deadline-Remaining: 20000\r\nContent-Length: " +
         std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

/** Begins a chunked body whose last chunk is followed by trailers. */
std::string
ChunkedWithTrailers(const std::string& aTarget)
{
  return Post(
    aTarget, "Transfer-Encoding: chunked\r\n", "1\r\nx\r\n0\r\nFirst: ");
}

bool
IsAnswered(const Endpoint& aHost, const std::string& aTarget)
{
  HttpClient client(aHost);
  return WaitUntil(kAnswerTimeout, [&client, &aTarget] {
    const auto answer = client.Get(aTarget, kAnswerTimeout);
    return answer && answer->status == kOk;
  });
}

}

/** Callers that send or hold more than the limits allow neither end nor block a
 * host, and the host stays within its memory and descriptors. */
class CallerLimitsTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(CallerLimitsTest);
  CPPUNIT_TEST(TrailersWithoutEnd);
  CPPUNIT_TEST(TrailersToReadinessAndMetrics);
  CPPUNIT_TEST(ChunkExtensionsWithoutEnd);
  CPPUNIT_TEST(BodiesThatNeverComplete);
  CPPUNIT_TEST(ChunkedBodiesWithoutEnd);
  CPPUNIT_TEST(HeadersOfManyFields);
  CPPUNIT_TEST(LargeBodiesWithUnknownKey);
  CPPUNIT_TEST(JobsOfManySteps);
  CPPUNIT_TEST(JobsThatWaitForTheStore);
  CPPUNIT_TEST(JobsOfLargeRowsThatWaitForTheStore);
  CPPUNIT_TEST(RequestsBehindOneThatWaits);
  CPPUNIT_TEST(IdleConnections);
  CPPUNIT_TEST(DescriptorsUsedUp);
  CPPUNIT_TEST(HalfRequests);
  CPPUNIT_TEST(ConnectionsToReadiness);
  CPPUNIT_TEST(BodiesToServiceThatNeverComplete);
  CPPUNIT_TEST(TrailersToService);
  CPPUNIT_TEST(UnreadAnswersOfService);
  CPPUNIT_TEST_SUITE_END();

public:
  void TrailersWithoutEnd()
  {
    SiteDeployment site(1, 1, kLimits);
    CPPUNIT_ASSERT(site.WaitUntilReady(0));
    CallerCrowd crowd(site.Callers(0), kSenders);
    crowd.Send(ChunkedWithTrailers("/one/a"));
    crowd.SendRepeatedly(std::string(kBlockBytes, 't'), kBlocks);
    this->Check(site);
  }

  void TrailersToReadinessAndMetrics()
  {
    SiteDeployment site(1, 1, kLimits);
    CPPUNIT_ASSERT(site.WaitUntilReady(0));
    for (const Endpoint& address : { site.Readiness(0), site.Metrics(0) }) {
      CallerCrowd crowd(address, kSenders);
      crowd.Send(ChunkedWithTrailers("/"));
      crowd.SendRepeatedly(std::string(kBlockBytes, 't'), kBlocks);
      CPPUNIT_ASSERT(IsAnswered(site.Readiness(0), "/api/ready"));
      CPPUNIT_ASSERT(IsAnswered(site.Metrics(0), "/metrics"));
    }
    this->Check(site);
  }

  void ChunkExtensionsWithoutEnd()
  {
    SiteDeployment site(1, 1, kLimits);
    CPPUNIT_ASSERT(site.WaitUntilReady(0));
    CallerCrowd crowd(site.Callers(0), kSenders);
    crowd.Send(Post("/one/a", "Transfer-Encoding: chunked\r\n", "1;"));
    crowd.SendRepeatedly(std::string(kBlockBytes, 'e'), kBlocks);
    this->Check(site);
  }

  void BodiesThatNeverComplete()
  {
    SiteDeployment site(1, 1, kLimits);
    CPPUNIT_ASSERT(site.WaitUntilReady(0));
    CallerCrowd crowd(site.Callers(0), kSenders);
    crowd.Send(PostWithLength("/one/a", 60 * kMegabyte));
    crowd.SendRepeatedly(std::string(kBlockBytes, 'b'), kBlocks);
    // Within the limit of a body, and one byte short of its length.
    CallerCrowd patient(site.Callers(0), kConnections);
    patient.Send(PostWithLength(
      "/one/a", 512 * kKilobyte, std::string(512 * kKilobyte - 1, 'b')));
    this->Check(site);
  }

  void ChunkedBodiesWithoutEnd()
  {
    SiteDeployment site(1, 1, kLimits);
    CPPUNIT_ASSERT(site.WaitUntilReady(0));
    CallerCrowd crowd(site.Callers(0), kSenders);
    crowd.Send(Post("/one/a", "Transfer-Encoding: chunked\r\n"));
    const std::string chunk =
      "40000\r\n" + std::string(kBlockBytes, 'c') + "\r\n";
    crowd.SendRepeatedly(chunk, kBlocks);
    this->Check(site);
  }

  /** A header field takes far more memory than its few bytes. */
  void HeadersOfManyFields()
  {
    SiteDeployment site(1, 1, kLimits);
    CPPUNIT_ASSERT(site.WaitUntilReady(0));
    CallerCrowd crowd(site.Callers(0), kConnections);
    crowd.Send("GET /one/ HTTP/1.1\r\n" + Repeated("a:\r\n", 15'000));
    this->Check(site);
  }

  void LargeBodiesWithUnknownKey()
  {
    SiteDeployment site(1, 1, kLimits);
    CPPUNIT_ASSERT(site.WaitUntilReady(0));
    CallerCrowd crowd(site.Callers(0), 1);
    const std::string request =
      PostJob(site, "k9", std::string(60 * kMegabyte, 'b'));
    crowd.Send(request.substr(0, request.size() - 60 * kMegabyte));
    crowd.SendRepeatedly(std::string(kBlockBytes, 'b'), 240);
    this->Check(site);
  }

  /** A step of a few bytes takes far more once it is decoded, and again once
   * the job is encoded for the store. */
  void JobsOfManySteps()
  {
    SiteDeployment site(1, 1, kLimits);
    CPPUNIT_ASSERT(site.WaitUntilReady(0));
    CallerCrowd crowd(site.Callers(0), kSenders);
    const std::string steps = Repeated(R"({"Count":1},)", 19'000);
    crowd.Send(PostJob(site, "k1", R"({"Steps":[)" + steps + R"({}]})"));
    this->Check(site);
  }

  void JobsThatWaitForTheStore()
  {
    SiteDeployment site(1, 1, kLimits);
    CPPUNIT_ASSERT(site.WaitUntilReady(0));
    site.StoreLink(0).Set(RelayMode::kBlackhole);
    CallerCrowd crowd(site.Callers(0), kConnections);
    const std::string text(400 * kKilobyte, 's');
    crowd.Send(
      PostJob(site, "k1", R"({"Spec":")" + text + R"(","Steps":[{}]})"));
    site.StoreLink(0).Set(RelayMode::kForward);
    this->Check(site);
  }

  /** A job of a thousand bytes whose rows take sixty times as much. */
  void JobsOfLargeRowsThatWaitForTheStore()
  {
    SiteDeployment site(1,
                        1,
                        "limits: {caller_memory_mb: 8, connections: 400, "
                        "header_kb: 16, body_kb: 512}\n");
    CPPUNIT_ASSERT(site.WaitUntilReady(0));
    site.StoreLink(0).Set(RelayMode::kBlackhole);
    CallerCrowd crowd(site.Callers(0), 400);
    crowd.Send(
      PostJob(site, "k1", R"({"Steps":[)" + Repeated("{},", 300) + R"({}]})"));
    site.StoreLink(0).Set(RelayMode::kForward);
    this->Check(site, std::int64_t{ 3 } * 400);
  }

  void RequestsBehindOneThatWaits()
  {
    SiteDeployment site(1, 1, kLimits);
    CPPUNIT_ASSERT(site.WaitUntilReady(0));
    site.StoreLink(0).Set(RelayMode::kBlackhole);
    CallerCrowd crowd(site.Callers(0), kSenders);
    crowd.Send(PostJob(site, "k1", R"({"Steps":[{}]})"));
    crowd.SendRepeatedly(std::string(kBlockBytes, 'p'), kBlocks);
    site.StoreLink(0).Set(RelayMode::kForward);
    this->Check(site);
  }

  void IdleConnections()
  {
    SiteDeployment site(1, 1, kLimits);
    CPPUNIT_ASSERT(site.WaitUntilReady(0));
    CPPUNIT_ASSERT(LimitDescriptors(site.Daemon(0).Pid(), kDescriptorLimit));
    const CallerCrowd crowd(site.Callers(0), kConnections);
    this->Check(site);
  }

  /** The limit on connections exceeds the descriptors that the process has. */
  void DescriptorsUsedUp()
  {
    SiteDeployment site(1, 1, "limits: {connections: 400}\n");
    CPPUNIT_ASSERT(site.WaitUntilReady(0));
    CPPUNIT_ASSERT(LimitDescriptors(site.Daemon(0).Pid(), kDescriptorLimit));
    const CallerCrowd crowd(site.Callers(0), kConnections);
    // A loop that fails to accept must not spin.
    CPPUNIT_ASSERT(WaitUntilQuiet(site.Daemon(0).Pid(), kQuietTimeout));
    this->Check(site, kDescriptorLimit);
  }

  void HalfRequests()
  {
    SiteDeployment site(1, 1, kLimits);
    CPPUNIT_ASSERT(site.WaitUntilReady(0));
    CPPUNIT_ASSERT(LimitDescriptors(site.Daemon(0).Pid(), kDescriptorLimit));
    CallerCrowd crowd(site.Callers(0), kConnections);
    crowd.Send("POST /one/a HTTP/1.1\r\nHost: ");
    this->Check(site);
  }

  void ConnectionsToReadiness()
  {
    SiteDeployment site(1, 1, kLimits);
    CPPUNIT_ASSERT(site.WaitUntilReady(0));
    CPPUNIT_ASSERT(LimitDescriptors(site.Daemon(0).Pid(), kDescriptorLimit));
    const CallerCrowd crowd(site.Readiness(0), kConnections);
    const CallerCrowd further(site.Metrics(0), kConnections);
    CPPUNIT_ASSERT(IsAnswered(site.Readiness(0), "/api/ready"));
    CPPUNIT_ASSERT(IsAnswered(site.Metrics(0), "/metrics"));
    this->Check(site);
  }

  void BodiesToServiceThatNeverComplete()
  {
    RequestFleet fleet(1, 1, 0, kGraceTime, kLimits);
    CallerCrowd crowd(fleet.Callers(0), kSenders);
    crowd.Send(PostWithLength("/services/fretdesk/a", 60 * kMegabyte));
    crowd.SendRepeatedly(std::string(kBlockBytes, 'b'), kBlocks);
    this->Check(fleet);
  }

  void TrailersToService()
  {
    RequestFleet fleet(1, 1, 0, kGraceTime, kLimits);
    CallerCrowd crowd(fleet.Callers(0), kSenders);
    crowd.Send(ChunkedWithTrailers("/services/fretdesk/a"));
    crowd.SendRepeatedly(std::string(kBlockBytes, 't'), kBlocks);
    this->Check(fleet);
  }

  /** A minion's answer is as large as the request, and no caller reads it. */
  void UnreadAnswersOfService()
  {
    const std::string limits = "limits: {caller_memory_mb: 24, connections: "
                               "32, header_kb: 16, body_kb: 5000}\n";
    RequestFleet fleet(1, 1, 0, kGraceTime, limits);
    CallerCrowd crowd(fleet.Callers(0), kSenders);
    const std::string body(5000 * kKilobyte, 'u');
    crowd.Send(PostWithLength("/services/fretdesk/a", body.size(), body));
    this->Check(fleet);
  }

private:
  static constexpr Milliseconds kGraceTime{ 30'000 };

  void Check(SiteDeployment& aSite,
             std::int64_t aDescriptorBound = kDescriptorBound)
  {
    // One request of an ordinary caller, while the crowd keeps what it has.
    CPPUNIT_ASSERT(WaitUntil(kAnswerTimeout, [&aSite] {
      return aSite.Call(0, "GET", "/one/") == kOk;
    }));
    this->CheckProcess(aSite.Daemon(0), aDescriptorBound);
    aSite.MarkPassed();
  }

  void Check(RequestFleet& aFleet)
  {
    CPPUNIT_ASSERT(IsAnswered(aFleet.Callers(0), "/services/fretdesk/one"));
    this->CheckProcess(aFleet.Daemon(0), kDescriptorBound);
    aFleet.MarkPassed();
  }

  void CheckProcess(Process& aDaemon, std::int64_t aDescriptorBound)
  {
    WaitUntilQuiet(aDaemon.Pid(), kQuietTimeout);
    CPPUNIT_ASSERT(aDaemon.IsRunning());
    const std::int64_t memory = PeakMemoryBytes(aDaemon.Pid());
    const std::int64_t descriptors = OpenDescriptors(aDaemon.Pid());
    std::cerr << "peak memory " << memory / kMegabyte << " MB, " << descriptors
              << " descriptors\n";
    CPPUNIT_ASSERT(memory > 0 && memory <= kMemoryBound);
    CPPUNIT_ASSERT(descriptors > 0 && descriptors <= aDescriptorBound);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CallerLimitsTest);

}
