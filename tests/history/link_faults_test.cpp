#include "machines/entry_host_builder.h"
#include "machines/host_settings_builder.h"
#include "machines/minion_builder.h"
#include "tests/harness/fleet_files.h"
#include "tests/harness/http_client.h"
#include "tests/harness/loopback.h"
#include "tests/harness/process.h"
#include "tests/harness/relay.h"
#include "tests/harness/settings_client.h"
#include "tests/harness/test_folder.h"
#include "zones/data_centre_builder.h"
#include "zones/fleet_builder.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <csignal>

namespace sardinecourse::harness {

namespace {

constexpr Milliseconds kTimeout{ 10000 };

/** Requests through a real daemon to a minion process whose link fails. */
class LinkFaultsTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(LinkFaultsTest);
  CPPUNIT_TEST(RecoversAfterLinkToMinionIsCut);
  CPPUNIT_TEST_SUITE_END();

public:
  void RecoversAfterLinkToMinionIsCut()
  {
    TestFolder folder;
    const Endpoint minionAddress = FreeEndpoint();
    const Process minion(
      "tests/minion_stand_in", { minionAddress.Text() }, folder.File("minion"));
    Relay relay(FreeEndpoint(), minionAddress);
    const Endpoint platformAddress = FreeEndpoint();
    const Process platform("tests/platform_stand_in",
                           { "--listen", platformAddress.Text() },
                           folder.File("platform"));
    const EntryHost host = MakeHost();
    Process daemon(
      "sardinecoursed",
      { "--settings",
        folder.Write("host.yaml", MakeSettings(host, platformAddress)) },
      folder.File("daemon"));
    CPPUNIT_ASSERT(PutFirstSettingsInForce(
      host.Callers(), MakeFleet(host, relay.Address()), kTimeout));
    CPPUNIT_ASSERT(
      WaitForHttp(host.Callers(), "/services/fretdesk/a", 200, kTimeout));
    relay.Set(RelayMode::kCut);
    HttpClient client(host.Callers());
    const auto refusal = client.Post("/services/fretdesk/b", "b", kTimeout);
    CPPUNIT_ASSERT(refusal);
    CPPUNIT_ASSERT(refusal->fields.Find("Sardinecourse-Outcome") != "done");
    relay.Set(RelayMode::kForward);
    CPPUNIT_ASSERT(
      WaitForHttp(host.Callers(), "/services/fretdesk/c", 200, kTimeout));
    daemon.Signal(SIGTERM);
    CPPUNIT_ASSERT_EQUAL(0, daemon.WaitForExit(kTimeout).value_or(-1));
    folder.MarkPassed();
  }

private:
  static EntryHost MakeHost()
  {
    Reason reason;
    EntryHostBuilder builder;
    builder.Name(HostName("east1")).DataCentre(DataCentreName("east"));
    builder.Callers(FreeEndpoint()).Peers(FreeEndpoint());
    return builder.Build(reason).value();
  }

  static std::string MakeSettings(const EntryHost& aHost,
                                  const Endpoint& aPlatform)
  {
    Reason reason;
    HostSettingsBuilder builder;
    builder.Host(aHost).Platform({ aPlatform });
    return HostSettingsYaml(builder.Build(reason).value());
  }

  static std::string MakeFleet(const EntryHost& aHost, const Endpoint& aMinion)
  {
    Reason reason;
    MinionBuilder minion;
    minion.Name(MinionName("m1")).DataCentre(aHost.DataCentre());
    minion.Service(ServiceName("fretdesk")).Address(aMinion);
    minion.Slots(8).Connections(64);
    DataCentreBuilder dataCentre;
    dataCentre.Name(aHost.DataCentre()).EntryHosts({ aHost });
    dataCentre.Minions({ minion.Build(reason).value() });
    FleetBuilder fleet;
    fleet.Name(FleetName("test"));
    fleet.DataCentres({ dataCentre.Build(reason).value() });
    return FleetYaml(fleet.Build(reason).value());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LinkFaultsTest);

}

}
