#include "codecs/platform_json.h"
#include "codecs/settings_json.h"
#include "codecs/stored_value.h"
#include "contracts/settings_record.h"
#include "contracts/table_row.h"
#include "machines/entry_host_builder.h"
#include "machines/host_settings_builder.h"
#include "tests/harness/fleet_files.h"
#include "tests/harness/history.h"
#include "tests/harness/http_client.h"
#include "tests/harness/loopback.h"
#include "tests/harness/process.h"
#include "tests/harness/relay.h"
#include "tests/harness/settings_client.h"
#include "tests/harness/test_folder.h"
#include "tests/harness/wait.h"
#include "tests/history/settings_rule.h"

#include <algorithm>
#include <atomic>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <csignal>
#include <iostream>
#include <random>
#include <thread>

namespace sardinecourse::harness {

namespace {

constexpr Milliseconds kTimeout{ 10000 };
constexpr Milliseconds kRunTime{ 8000 };
constexpr Milliseconds kMaxInForceTime{ 16000 };
constexpr int kHosts = 4;
constexpr int kOperators = 4;

/** An entry host and its daemon process, which may be replaced. */
struct Host
{
  EntryHost self;
  std::string settingsPath;
  std::optional<Process> daemon;
  std::atomic<int> incarnation = 0;
};

/** Settings under concurrent proposals, lost answers, platform outages and
 * killed daemons. */
class SettingsTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(SettingsTest);
  CPPUNIT_TEST(AcceptedSettingsComeIntoForceAndNeverRevert);
  CPPUNIT_TEST(SettingsSpreadOverPeersWhilePlatformIsUnresponsive);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override
  {
    this->platformAddress = FreeEndpoint();
    this->platform.emplace(
      "tests/platform_stand_in",
      std::vector<std::string>{ "--listen", this->platformAddress.Text() },
      this->folder.File("platform"));
    this->westPlatformRelay.emplace(FreeEndpoint(), this->platformAddress);
    for (int number = 0; number < kHosts; ++number) {
      this->hosts.push_back(this->MakeHost(number));
      this->StartDaemon(*this->hosts.back());
    }
  }

  void tearDown() override
  {
    this->hosts.clear();
    this->westPlatformRelay.reset();
    this->platform.reset();
  }

  void AcceptedSettingsComeIntoForceAndNeverRevert()
  {
    CPPUNIT_ASSERT(PutFirstSettingsInForce(
      this->hosts.front()->self.Callers(), this->Yaml("first"), kTimeout));
    std::vector<std::thread> threads;
    threads.reserve(kOperators + 2);
    for (int number = 0; number < kOperators; ++number) {
      threads.emplace_back([this, number] { this->RunOperator(number); });
    }
    threads.emplace_back([this] { this->ObserveRevisions(); });
    threads.emplace_back([this] { this->InjectPlatformFaults(); });
    const std::string fault = this->KillAndReplaceHosts();
    this->isStopping = true;
    for (std::thread& thread : threads) {
      thread.join();
    }
    CPPUNIT_ASSERT_EQUAL(std::string(), fault);
    this->SetFaults(R"({"down": "none", "lose_answers": 0})");
    CPPUNIT_ASSERT(this->newestAccepted > 1);
    CPPUNIT_ASSERT(this->IsInForceEverywhere(this->newestAccepted));
    const SettingsRule rule(this->RevisionsInTable());
    CPPUNIT_ASSERT_EQUAL(std::string(), CheckHistory(rule, this->history));
    this->folder.MarkPassed();
  }

  void SettingsSpreadOverPeersWhilePlatformIsUnresponsive()
  {
    const Endpoint east = this->hosts[0]->self.Callers();
    CPPUNIT_ASSERT(
      PutFirstSettingsInForce(east, this->Yaml("first"), kTimeout));
    CPPUNIT_ASSERT(this->IsInForceEverywhere(1));
    // West is cut off from the platform; a change reaches it through its peers.
    this->westPlatformRelay->Set(RelayMode::kBlackhole);
    CPPUNIT_ASSERT(this->ProposeNext(east, 1));
    CPPUNIT_ASSERT(this->IsInForceEverywhere(2));
    // The platform is unresponsive for all hosts; restarted hosts load the
    // settings from running peers.
    this->platform->Signal(SIGSTOP);
    for (const std::size_t number : { 1, 2, 3 }) {
      Host& host = *this->hosts[number];
      host.daemon->Kill();
      this->StartDaemon(host);
      CPPUNIT_ASSERT(
        WaitForHttp(host.self.Callers(), "/readyz", 200, kMaxInForceTime));
      CPPUNIT_ASSERT_EQUAL(
        std::int64_t{ 2 },
        RevisionInForce(host.self.Callers(), kTimeout).value_or(0));
    }
    this->platform->Signal(SIGCONT);
    this->westPlatformRelay->Set(RelayMode::kForward);
    CPPUNIT_ASSERT(this->ProposeNext(this->hosts[1]->self.Callers(), 2));
    CPPUNIT_ASSERT(this->IsInForceEverywhere(3));
    this->folder.MarkPassed();
  }

private:
  std::string Yaml(const std::string& aNote) const
  {
    std::string yaml = "# " + aNote +
                       "\nname: fleet\nsettings: {settings_poll_ms: 1000}\n" +
                       "data_centres:\n";
    for (const std::size_t first : { 0, 1 }) {
      yaml += "  " + this->hosts[first]->self.DataCentre().Text() +
              ":\n    entry_hosts:\n";
      for (std::size_t number = first; number < kHosts; number += 2) {
        const EntryHost& host = this->hosts[number]->self;
        yaml += "      " + host.Name().Text() + ": {callers: '" +
                host.Callers().Text() + "', peers: '" + host.Peers().Text() +
                "'}\n";
      }
    }
    return yaml;
  }

  /** Proposes a change once; true when it is accepted as the next revision. */
  bool ProposeNext(const Endpoint& aDaemon, std::int64_t aNewest)
  {
    const std::string note = "after " + std::to_string(aNewest);
    const SettingsProposal proposal{
      aNewest, "operator", note, "fleet.yaml", this->Yaml(note)
    };
    const auto answer = ProposeSettings(aDaemon, proposal, kMaxInForceTime);
    return answer && answer->outcome == AcceptOutcome::kAccepted &&
           answer->record->Revision() == aNewest + 1;
  }

  /** Waits until all hosts have a revision in force, and prints the time that
   * it took. */
  bool IsInForceEverywhere(std::int64_t aRevision)
  {
    const Instant start = Clock::now();
    const bool isInForce = WaitUntil(kMaxInForceTime, [&] {
      return std::all_of(
        this->hosts.begin(),
        this->hosts.end(),
        [&](const std::unique_ptr<Host>& aHost) {
          return RevisionInForce(aHost->self.Callers(), kTimeout).value_or(0) >=
                 aRevision;
        });
    });
    const auto elapsed =
      std::chrono::duration_cast<Milliseconds>(Clock::now() - start);
    std::cout << "revision " << aRevision << " in force everywhere after "
              << elapsed.count() << " ms\n";
    return isInForce && elapsed < kMaxInForceTime;
  }

  std::unique_ptr<Host> MakeHost(int aNumber)
  {
    auto host = std::make_unique<Host>();
    Reason reason;
    EntryHostBuilder builder;
    builder.Name(HostName("e" + std::to_string(aNumber)));
    builder.DataCentre(DataCentreName(aNumber % 2 == 0 ? "east" : "west"));
    builder.Callers(FreeEndpoint()).Peers(FreeEndpoint());
    host->self = builder.Build(reason).value();
    HostSettingsBuilder settings;
    const bool isWest = aNumber % 2 != 0;
    settings.Host(host->self)
      .Platform({ isWest ? this->westPlatformRelay->Address()
                         : this->platformAddress });
    if (!this->hosts.empty()) {
      settings.Peers({ this->hosts.front()->self.Peers() });
    }
    host->settingsPath =
      this->folder.Write(host->self.Name().Text() + ".yaml",
                         HostSettingsYaml(settings.Build(reason).value()));
    return host;
  }

  void StartDaemon(Host& aHost)
  {
    const int incarnation = ++aHost.incarnation;
    aHost.daemon.emplace(
      "sardinecoursed",
      std::vector<std::string>{ "--settings", aHost.settingsPath },
      this->folder.File(aHost.self.Name().Text() + "-" +
                        std::to_string(incarnation)));
  }

  /** Acts as one operator: proposes changes based on the revision in force at a
   * random daemon. */
  void RunOperator(int aNumber)
  {
    std::mt19937 random(Seed() + aNumber);
    for (int count = 0; !this->isStopping; ++count) {
      const Endpoint daemon = this->hosts[random() % kHosts]->self.Callers();
      const auto newest = RevisionInForce(daemon, kTimeout);
      if (!newest) {
        std::this_thread::sleep_for(kPollInterval);
        continue;
      }
      const std::string note =
        "change " + std::to_string(aNumber) + "-" + std::to_string(count);
      const SettingsProposal proposal{
        newest, "operator", note, "fleet.yaml", this->Yaml(note)
      };
      const std::size_t call =
        this->history.Call(aNumber, "propose", daemon.Text(), note);
      const auto answer = ProposeSettings(daemon, proposal, kMaxInForceTime);
      const std::int64_t revision =
        answer && answer->record ? answer->record->Revision() : 0;
      this->history.Return(
        call,
        answer ? std::string(AcceptOutcomeName(answer->outcome)) : "not-known",
        std::to_string(revision));
      if (answer && answer->outcome == AcceptOutcome::kAccepted) {
        this->RaiseNewestAccepted(revision);
      }
    }
  }

  void RaiseNewestAccepted(std::int64_t aRevision)
  {
    std::int64_t before = this->newestAccepted;
    while (before < aRevision &&
           !this->newestAccepted.compare_exchange_weak(before, aRevision)) {
    }
  }

  void ObserveRevisions()
  {
    while (!this->isStopping) {
      for (const std::unique_ptr<Host>& host : this->hosts) {
        const int incarnation = host->incarnation;
        const auto revision = RevisionInForce(host->self.Callers(), kTimeout);
        if (revision && incarnation == host->incarnation) {
          this->history.Observe(0,
                                "observe",
                                host->self.Name().Text() + "#" +
                                  std::to_string(incarnation),
                                std::to_string(*revision));
        }
      }
      std::this_thread::sleep_for(kPollInterval);
    }
  }

  /** Keeps injecting lost answers, delays and short outages of the platform. */
  void InjectPlatformFaults()
  {
    std::mt19937 random(Seed());
    const std::vector<std::string> faults{ R"({"lose_answers": 2})",
                                           R"({"lose_answers": 1})",
                                           R"({"down": "refuse"})",
                                           R"({"slow_ms": 50})",
                                           R"({"slow_ms": 0})" };
    while (!this->isStopping) {
      this->SetFaults(faults[random() % faults.size()]);
      std::this_thread::sleep_for(Milliseconds(random() % 300));
      this->SetFaults(R"({"down": "none"})");
      std::this_thread::sleep_for(Milliseconds(random() % 300));
    }
  }

  void SetFaults(const std::string& aBody)
  {
    HttpClient(this->platformAddress).Post("/faults", aBody, kTimeout);
  }

  /** Kills and restarts hosts for kRunTime. Returns an error text if a
   * restarted host becomes ready without the newest revision accepted before
   * its restart.
   */
  std::string KillAndReplaceHosts()
  {
    const Instant end = Clock::now() + kRunTime;
    for (std::size_t round = 1; Clock::now() < end; ++round) {
      Host& host = *this->hosts[round % kHosts];
      const std::string name = host.self.Name().Text();
      host.daemon->Kill();
      const std::int64_t accepted = this->newestAccepted;
      this->StartDaemon(host);
      if (!WaitForHttp(host.self.Callers(), "/readyz", 200, kTimeout)) {
        return name + " did not become ready";
      }
      const auto revision = RevisionInForce(host.self.Callers(), kTimeout);
      if (revision.value_or(0) < accepted) {
        return name + " was ready before it had revision " +
               std::to_string(accepted);
      }
      std::this_thread::sleep_for(Milliseconds(500));
    }
    return "";
  }

  std::map<std::string, std::int64_t> RevisionsInTable()
  {
    const auto answer =
      HttpClient(this->platformAddress)
        .Post("/table/scan", EncodeScanRequest("settings/history/"), kTimeout);
    Reason reason;
    std::map<std::string, std::int64_t> revisions;
    const auto rows = DecodeRows(answer->body, reason);
    CPPUNIT_ASSERT(rows.has_value());
    for (const TableRow& row : *rows) {
      const StoredValue stored = DecodeStoredValue(row.Value());
      const SettingsRecord record =
        DecodeSettingsRecord(stored.value, reason).value();
      revisions[record.Note()] = record.Revision();
    }
    return revisions;
  }

  TestFolder folder;
  Endpoint platformAddress;
  std::optional<Process> platform;
  /** Between the hosts of west and the platform. */
  std::optional<Relay> westPlatformRelay;
  std::vector<std::unique_ptr<Host>> hosts;
  History history;
  std::atomic<std::int64_t> newestAccepted = 1;
  std::atomic<bool> isStopping = false;
};

CPPUNIT_TEST_SUITE_REGISTRATION(SettingsTest);

}

}
