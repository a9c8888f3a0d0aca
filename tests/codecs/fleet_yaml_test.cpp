#include "codecs/fleet_yaml.h"

#include "core/reason.h"
#include "zones/fleet.h"

#include <cppunit/extensions/HelperMacros.h>

namespace sardinecourse {

namespace {

const std::string kFleet = R"(name: cascadia
settings:
  deadline_ms: 20000
  log_level: WARN
data_centres:
  east:
    region: north
    settings:
      completion_weight: 70
    entry_hosts:
      e1: {callers: 127.0.0.1:1, peers: 127.0.0.1:2}
    racks:
      r1:
        workers:
          w1: {address: 127.0.0.1:3, accelerators: 8, cores: 64, memory_mb: 9}
    minions:
      m1: {service: fretdesk, address: 127.0.0.1:4}
    teams:
      luthiers:
        quota: 16
        guarantees:
          - {members: 2, accelerators_per_member: 4}
        settings:
          deadline_ms: 10000
        services:
          fretdesk:
            settings: {completion_weight: 90}
          pricing:
  west:
    region: north
)";

/** An edit of kFleet that makes it invalid, with the expected line and message
 * of the error; an empty message is not checked. */
struct InvalidEdit
{
  std::string from;
  std::string to;
  int line;
  std::string message;
};

const std::vector<InvalidEdit> kInvalidEdits = {
  { "name: cascadia", "nam: cascadia", 1, "fleet.name is missing" },
  { "name: cascadia",
    "name: cascadia\nname: two",
    2,
    "fleet.name occurs twice" },
  { "    region: north\n    settings",
    "    regio: north\n    settings",
    7,
    "fleet.data_centres.east.regio is not a known key" },
  { "deadline_ms: 20000",
    "deadline_ms: soon",
    3,
    "fleet.settings.deadline_ms must be a whole number" },
  { "deadline_ms: 20000",
    "deadline_ms:",
    3,
    "fleet.settings.deadline_ms must be a whole number" },
  { "deadline_ms: 20000",
    "deadline_ms: 9",
    3,
    "fleet.settings.deadline_ms must be from 10 to 3600000" },
  { "deadline_ms: 20000",
    "deadline: 9",
    3,
    "fleet.settings.deadline is not a known key" },
  { "log_level: WARN",
    "log_level: LOUD",
    4,
    "fleet.settings.log_level must be one of TRACE, DEBUG, INFO, WARN, ERROR, "
    "OFF" },
  { "deadline_ms: 10000",
    "lease_ms: 10000",
    24,
    "fleet.data_centres.east.teams.luthiers.settings.lease_ms cannot be set "
    "below the level data_centre" },
  { "127.0.0.1:4",
    "127.0.0.1:3",
    17,
    "fleet.data_centres.east.minions.m1.address repeats the address "
    "127.0.0.1:3 of line 15" },
  { "127.0.0.1:4",
    "minion.example:4",
    17,
    "fleet.data_centres.east.minions.m1.address the host must be an IP "
    "address" },
  { "        quota: 16\n",
    "",
    19,
    "fleet.data_centres.east.teams.luthiers.quota is missing" },
  { "quota: 16",
    "quota: -1",
    20,
    "fleet.data_centres.east.teams.luthiers.quota "
    "must be from 0 to 1000000" },
  { "          pricing:\n",
    "          pricing:\n      smiths:\n        quota: 1\n        services:\n"
    "          pricing: {}\n",
    32,
    "fleet.data_centres.east.teams.smiths.services.pricing repeats the service "
    "pricing of line 28" },
  { "  west:\n",
    "  west:\n    racks: {r1: {workers: {w1: {address: 127.0.0.1:5, "
    "accelerators: 1, cores: 1, memory_mb: 1}}}}\n",
    30,
    "fleet.data_centres.west.racks.r1.workers.w1 repeats the worker w1 of line "
    "15" },
  { "  west:\n",
    "  east:\n",
    29,
    "fleet.data_centres name 'east' is empty or "
    "occurs twice" },
  { "quota: 16", "quota: [16", 21, "" },
};

}

class FleetYamlTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(FleetYamlTest);
  CPPUNIT_TEST(DecodesSettingsOfEveryLevel);
  CPPUNIT_TEST(InvalidFleetIsRefusedWithFileLineAndKey);
  CPPUNIT_TEST_SUITE_END();

public:
  void DecodesSettingsOfEveryLevel()
  {
    Reason reason;
    const auto fleet = DecodeFleet(kFleet, "fleet.yaml", 7, reason);
    CPPUNIT_ASSERT_MESSAGE(reason.Message(), fleet.has_value());
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 7 }, fleet->Revision());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, fleet->DataCentres().size());
    const SettingsTree& tree = fleet->Settings();
    const DataCentreName east("east");
    const SettingsScope scope = tree.ScopeOf(east, ServiceName("fretdesk"));
    const Policy policy = tree.Resolve(scope);
    CPPUNIT_ASSERT(policy.Deadline() == Milliseconds(10000));
    CPPUNIT_ASSERT(policy.Origin(PolicyKey::kDeadline) == SettingsLevel::kTeam);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 90 }, policy.CompletionWeight());
    CPPUNIT_ASSERT(policy.LogLevel() == "WARN");
    CPPUNIT_ASSERT(policy.Origin(PolicyKey::kLease) == SettingsLevel::kDefault);
  }

  void InvalidFleetIsRefusedWithFileLineAndKey()
  {
    for (const InvalidEdit& edit : kInvalidEdits) {
      std::string text = kFleet;
      const std::size_t at = text.find(edit.from);
      CPPUNIT_ASSERT_MESSAGE(edit.from, at != std::string::npos);
      text.replace(at, edit.from.size(), edit.to);
      Reason reason;
      const auto fleet = DecodeFleet(text, "fleet.yaml", 0, reason);
      CPPUNIT_ASSERT_MESSAGE(edit.to, !fleet.has_value());
      CPPUNIT_ASSERT(reason.At() == Step::kSettings);
      CPPUNIT_ASSERT_EQUAL("fleet.yaml:" + std::to_string(edit.line),
                           reason.Peer());
      if (!edit.message.empty()) {
        CPPUNIT_ASSERT_EQUAL(edit.message, reason.Text());
      }
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetYamlTest);

}
