#include "links/peer_links.h"

#include "machines/entry_host_builder.h"
#include "tests/harness/loopback.h"
#include "tests/harness/relay.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <list>

namespace sardinecourse::harness {

namespace {

constexpr Milliseconds kTimeout{ 20000 };

/** The links of one host and the events that they reported. */
struct Host
{
  Host(boost::asio::io_context& aContext,
       const EntryHost& aSelf,
       std::int64_t aIncarnation)
    : self(aSelf)
    , links(aContext, aSelf, aIncarnation, *this)
  {
    Reason reason;
    CPPUNIT_ASSERT_MESSAGE(reason.Message(), this->links.Start(reason));
  }

  void OnPeerUp(const HostName& /*aPeer*/) { this->peerUpCount += 1; }
  void OnPeerDown(const HostName& /*aPeer*/) {}
  void OnPeerRevision(const HostName& /*aPeer*/, std::int64_t aRevision)
  {
    this->highestRevision = std::max(this->highestRevision, aRevision);
  }
  void OnPeerMessage(const HostName& aPeer, const PeerMessage& aMessage)
  {
    if (const auto* request = std::get_if<SettingsRequest>(&aMessage)) {
      this->links.Send(aPeer, SettingsReply{ request->request, 7, "name: x" });
      return;
    }
    this->received.push_back(aMessage);
  }

  std::int64_t LivePeers() const
  {
    const PeerView view = this->links.View(Clock::now());
    return view.CountInDataCentre(PeerState::kLive) +
           view.CountInOtherDataCentres(PeerState::kLive);
  }

  EntryHost self;
  PeerLinks<Host> links;
  int peerUpCount = 0;
  std::int64_t highestRevision = 0;
  std::vector<PeerMessage> received;
};

class PeerLinksTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(PeerLinksTest);
  CPPUNIT_TEST(OpensOneConnectionPerPair);
  CPPUNIT_TEST(ReceivesAnswerOrTimesOut);
  CPPUNIT_TEST(ReplacesUnresponsiveConnection);
  CPPUNIT_TEST(DistinguishesLeftFromSuspectedPeer);
  CPPUNIT_TEST(SeedConnectsHostWithoutFleetSettings);
  CPPUNIT_TEST_SUITE_END();

public:
  void OpensOneConnectionPerPair()
  {
    this->StartHosts({ "east", "east", "west" });
    CPPUNIT_ASSERT(
      this->RunUntil([this] { return this->AllHaveLivePeers(2); }));
    this->hosts.front().links.Announce(9);
    CPPUNIT_ASSERT(this->RunUntil(
      [this] { return this->hosts.back().highestRevision == 9; }));
    for (const Host& host : this->hosts) {
      CPPUNIT_ASSERT_EQUAL(2, host.peerUpCount);
    }
    const std::size_t recipients = this->hosts.front().links.BroadcastTo(
      DataCentreName("east"), QueueNotice());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, recipients);
  }

  void ReceivesAnswerOrTimesOut()
  {
    this->StartHosts({ "east", "east" });
    CPPUNIT_ASSERT(
      this->RunUntil([this] { return this->AllHaveLivePeers(1); }));
    const HostName other = this->hosts.back().self.Name();
    std::optional<SettingsReply> reply;
    std::optional<PromiseReply> promise;
    Reason reason;
    bool isDone = false;
    const auto ask = [&]() -> boost::asio::awaitable<void> {
      PeerLinks<Host>& links = this->hosts.front().links;
      const SettingsRequest request{ 0, 3 };
      reply = co_await links.Ask<SettingsReply>(
        other, request, Milliseconds(1000), reason);
      // The Host of this test never answers a PromiseRequest.
      const PromiseRequest unanswered{ 0, 1 };
      promise = co_await links.Ask<PromiseReply>(
        other, unanswered, Milliseconds(200), reason);
      isDone = true;
    };
    boost::asio::co_spawn(this->context, ask, boost::asio::detached);
    CPPUNIT_ASSERT(this->RunUntil([&isDone] { return isDone; }));
    CPPUNIT_ASSERT(reply.has_value());
    CPPUNIT_ASSERT_EQUAL(std::string("name: x"), reply->text);
    CPPUNIT_ASSERT(!promise.has_value());
    CPPUNIT_ASSERT(reason.At() == Step::kPeerLink);
  }

  void ReplacesUnresponsiveConnection()
  {
    Host& low = this->AddHost("a", "east");
    Host& high = this->AddHost("b", "east");
    Relay relay(FreeEndpoint(), high.self.Peers());
    low.links.SetPeers({ MakeHost("b", "east", relay.Address()) });
    high.links.SetPeers({ low.self });
    CPPUNIT_ASSERT(
      this->RunUntil([this] { return this->AllHaveLivePeers(1); }));
    relay.Set(RelayMode::kBlackholeOpen);
    const Instant faultStart = Clock::now();
    CPPUNIT_ASSERT(this->RunUntil([&] { return low.LivePeers() == 0; }));
    CPPUNIT_ASSERT(
      this->RunUntil([this] { return this->AllHaveLivePeers(1); }));
    CPPUNIT_ASSERT(Clock::now() - faultStart <
                   kTimingInDataCentre.suspectAfter + Milliseconds(1500));
    CPPUNIT_ASSERT_EQUAL(2, low.peerUpCount);
    CPPUNIT_ASSERT_EQUAL(2, high.peerUpCount);
  }

  void DistinguishesLeftFromSuspectedPeer()
  {
    this->StartHosts({ "east", "east" });
    CPPUNIT_ASSERT(
      this->RunUntil([this] { return this->AllHaveLivePeers(1); }));
    Host& first = this->hosts.front();
    const HostName leaving = this->hosts.back().self.Name();
    this->hosts.back().links.AnnounceLeaving();
    const auto stateIs = [&](PeerState aState) {
      return first.links.View(Clock::now()).StateOf(leaving) == aState;
    };
    CPPUNIT_ASSERT(this->RunUntil([&] { return stateIs(PeerState::kGone); }));
    this->hosts.pop_back();
    Host& restarted = this->AddHost("h1", "east");
    restarted.links.SetPeers({ first.self });
    first.links.SetPeers({ restarted.self });
    CPPUNIT_ASSERT(this->RunUntil([&] { return stateIs(PeerState::kLive); }));
    this->hosts.pop_back();
    CPPUNIT_ASSERT(
      this->RunUntil([&] { return stateIs(PeerState::kSuspected); }));
  }

  void SeedConnectsHostWithoutFleetSettings()
  {
    Host& old = this->AddHost("a", "east");
    old.links.Announce(7);
    Host& fresh = this->AddHost("b", "east");
    fresh.links.SetSeeds({ old.self.Peers() });
    CPPUNIT_ASSERT(
      this->RunUntil([&fresh] { return fresh.highestRevision == 7; }));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 1 }, fresh.LivePeers());
  }

private:
  static EntryHost MakeHost(const std::string& aName,
                            const std::string& aDataCentre,
                            const Endpoint& aPeers)
  {
    Reason reason;
    EntryHostBuilder builder;
    builder.Name(HostName(aName)).DataCentre(DataCentreName(aDataCentre));
    return builder.Callers(FreeEndpoint()).Peers(aPeers).Build(reason).value();
  }

  Host& AddHost(const std::string& aName, const std::string& aDataCentre)
  {
    const EntryHost self = MakeHost(aName, aDataCentre, FreeEndpoint());
    this->incarnation += 1;
    return this->hosts.emplace_back(this->context, self, this->incarnation);
  }

  void StartHosts(const std::vector<std::string>& aDataCentres)
  {
    std::vector<EntryHost> fleet;
    for (const std::string& dataCentre : aDataCentres) {
      const std::string name = "h" + std::to_string(fleet.size());
      fleet.push_back(this->AddHost(name, dataCentre).self);
    }
    for (Host& host : this->hosts) {
      host.links.SetPeers(fleet);
    }
  }

  bool AllHaveLivePeers(std::int64_t aCount) const
  {
    return std::all_of(
      this->hosts.begin(), this->hosts.end(), [aCount](const Host& aHost) {
        return aHost.LivePeers() == aCount;
      });
  }

  template<typename Predicate>
  bool RunUntil(Predicate aIsTrue)
  {
    const Instant deadline = Clock::now() + kTimeout;
    while (!aIsTrue() && Clock::now() < deadline) {
      this->context.run_one_for(Milliseconds(50));
    }
    return aIsTrue();
  }

  boost::asio::io_context context{ 1 };
  std::list<Host> hosts;
  std::int64_t incarnation = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(PeerLinksTest);

}

}
