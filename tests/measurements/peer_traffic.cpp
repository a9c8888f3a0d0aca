#include "core/rcu_thread.h"
#include "daemon/peer_exchange.h"
#include "machines/entry_host_builder.h"
#include "machines/host_settings_builder.h"
#include "machines/minion_builder.h"
#include "tests/harness/loopback.h"
#include "zones/data_centre_builder.h"
#include "zones/fleet_builder.h"

#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <fstream>
#include <log4cplus/initializer.h>
#include <log4cplus/logger.h>
#include <unistd.h>

// Measures the cost of one host's peer links: traffic, processor time, memory
// and the time that an announcement takes. Runs all hosts, each with busy
// minions, in one process and thread, and prints one line of JSON.
// Usage: peer_traffic DATA_CENTRES HOSTS_PER_DATA_CENTRE SECONDS

namespace sardinecourse {

namespace {

constexpr int kMinions = 200;
constexpr int kSlots = 8;
/** IPv4 and TCP headers with timestamps, without the link layer. */
constexpr double kPacketHeaderBytes = 52;
/** WebSocket frame header, and the mask that only one of the two sides adds. */
constexpr double kFrameBytes = 4;
constexpr Milliseconds kChangeInterval{ 250 };

double
ProcessorSeconds()
{
  timespec time{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) +
         static_cast<double>(time.tv_nsec) / 1e9;
}

double
ResidentKb()
{
  std::ifstream file("/proc/self/statm");
  long size = 0;
  long resident = 0;
  file >> size >> resident;
  return static_cast<double>(resident) *
         static_cast<double>(sysconf(_SC_PAGESIZE)) / 1024;
}

/** One host, reduced to what PeerExchange requires of a daemon. */
struct Host
{
  Host(boost::asio::io_context& aContext, const HostSettings& aSettings)
    : exchange(aContext, aSettings, *this)
  {
  }
  const SettingsText& SettingsInForce() const { return this->settings; }
  void OnPeerRevision(std::int64_t aRevision)
  {
    this->highestRevision = std::max(this->highestRevision, aRevision);
  }
  void OnMinionLeaving(const MinionName& /*aMinion*/) {}
  void OnPeerLoads() {}
  void OnQueueChange() {}
  bool Promise(const HostName& /*aHost*/, std::int64_t /*aTerm*/)
  {
    return true;
  }

  SettingsText settings{ 1, "name: x" };
  std::int64_t highestRevision = 0;
  PeerExchange<Host>::MinionStates minions;
  PeerExchange<Host> exchange;
};

class Measurement
{
public:
  Measurement(int aDataCentres, int aHosts)
  {
    Reason reason;
    std::vector<DataCentre> dataCentres;
    dataCentres.reserve(static_cast<std::size_t>(aDataCentres));
    for (int number = 0; number < aDataCentres; ++number) {
      dataCentres.push_back(MakeDataCentre(number, aHosts));
    }
    FleetBuilder builder;
    builder.Name(FleetName("x")).Revision(1).DataCentres(dataCentres);
    this->fleet = builder.Build(reason).value();
    for (const DataCentre& dataCentre : dataCentres) {
      for (const EntryHost& host : dataCentre.EntryHosts()) {
        this->Add(host, dataCentre);
      }
    }
  }

  bool Connect()
  {
    for (const auto& host : this->hosts) {
      host->exchange.Adopt(this->fleet, host->minions);
      host->exchange.Announce(1);
    }
    return this->RunUntil([this] {
      return std::all_of(
        this->hosts.begin(), this->hosts.end(), [this](const auto& aHost) {
          const PeerView view = aHost->exchange.View();
          return view.CountInDataCentre(PeerState::kLive) +
                   view.CountInOtherDataCentres(PeerState::kLive) + 1 ==
                 static_cast<std::int64_t>(this->hosts.size());
        });
    });
  }

  /** Runs while the loads of all minions change at each kChangeInterval. */
  void RunBusy(Milliseconds aTime)
  {
    const Instant end = Clock::now() + aTime;
    while (Clock::now() < end) {
      for (const auto& host : this->hosts) {
        for (const auto& minion : host->minions) {
          if (std::rand() % 2 == 0) {
            minion->TryAcquire();
          } else if (minion->InFlight() > 0) {
            minion->Release();
          }
        }
      }
      this->context.run_for(kChangeInterval);
    }
  }

  /** Milliseconds from an announcement by one host until all others have
   * received it. */
  double AnnouncementMs(std::int64_t aRevision)
  {
    const Instant start = Clock::now();
    this->hosts.front()->exchange.Announce(aRevision);
    this->RunUntil([this, aRevision] {
      return std::all_of(this->hosts.begin() + 1,
                         this->hosts.end(),
                         [aRevision](const auto& aHost) {
                           return aHost->highestRevision >= aRevision;
                         });
    });
    return std::chrono::duration<double, std::milli>(Clock::now() - start)
      .count();
  }

  PeerTraffic Traffic() const
  {
    PeerTraffic sum;
    for (const auto& host : this->hosts) {
      sum.sentBytes += host->exchange.Traffic().sentBytes;
      sum.sentMessages += host->exchange.Traffic().sentMessages;
    }
    return sum;
  }
  double Hosts() const { return static_cast<double>(this->hosts.size()); }

private:
  static DataCentre MakeDataCentre(int aNumber, int aHosts)
  {
    Reason reason;
    const DataCentreName name("dc" + std::to_string(aNumber));
    std::vector<EntryHost> entryHosts;
    for (int count = 0; count < aHosts; ++count) {
      EntryHostBuilder host;
      host.Name(HostName(name.Text() + "-h" + std::to_string(count)));
      host.DataCentre(name).Peers(harness::FreeEndpoint());
      entryHosts.push_back(host.Build(reason).value());
    }
    std::vector<Minion> minions;
    for (int count = 0; count < kMinions; ++count) {
      MinionBuilder minion;
      minion.Name(MinionName(name.Text() + "-m" + std::to_string(count)));
      minion.DataCentre(name).Service(ServiceName("s"));
      minion.Address(harness::FreeEndpoint()).Slots(kSlots).Connections(kSlots);
      minions.push_back(minion.Build(reason).value());
    }
    DataCentreBuilder builder;
    builder.Name(name).EntryHosts(entryHosts).Minions(minions);
    return builder.Build(reason).value();
  }

  void Add(const EntryHost& aHost, const DataCentre& aDataCentre)
  {
    Reason reason;
    const HostSettings settings =
      HostSettingsBuilder().Host(aHost).Build(reason).value();
    auto host = std::make_unique<Host>(this->context, settings);
    for (const Minion& minion : aDataCentre.Minions()) {
      host->minions.push_back(std::make_shared<MinionState>(minion));
    }
    if (!host->exchange.Start(reason)) {
      std::fprintf(stderr, "%s\n", reason.Message().c_str());
      std::exit(1);
    }
    this->hosts.push_back(std::move(host));
  }

  template<typename Condition>
  bool RunUntil(Condition aIsMet)
  {
    constexpr std::chrono::seconds kTimeout{ 30 };
    const Instant deadline = Clock::now() + kTimeout;
    while (!aIsMet() && Clock::now() < deadline) {
      this->context.run_one_for(Milliseconds(10));
    }
    return aIsMet();
  }

  boost::asio::io_context context{ 1 };
  Fleet fleet;
  std::vector<std::unique_ptr<Host>> hosts;
};

int
Run(int aDataCentres, int aHosts, int aSeconds)
{
  Measurement measurement(aDataCentres, aHosts);
  const double hosts = measurement.Hosts();
  const double links = hosts * (hosts - 1);
  const double residentBefore = ResidentKb();
  if (!measurement.Connect()) {
    std::fprintf(stderr, "the hosts did not connect\n");
    return 1;
  }
  measurement.RunBusy(std::chrono::seconds(2));
  const double kbPerLinkEnd = (ResidentKb() - residentBefore) / links;
  const PeerTraffic before = measurement.Traffic();
  const double processorBefore = ProcessorSeconds();
  measurement.RunBusy(std::chrono::seconds(aSeconds));
  const double processorSeconds = ProcessorSeconds() - processorBefore;
  const PeerTraffic after = measurement.Traffic();
  const double hostSeconds = hosts * aSeconds;
  const double messagesPerSecond =
    static_cast<double>(after.sentMessages - before.sentMessages) / hostSeconds;
  const double payloadPerSecond =
    static_cast<double>(after.sentBytes - before.sentBytes) / hostSeconds;
  // Upper bound: counts each message as a packet of its own with a separate
  // acknowledgement.
  const double wirePerSecond =
    payloadPerSecond +
    messagesPerSecond * (kFrameBytes + 2 * kPacketHeaderBytes);
  const double first = measurement.AnnouncementMs(2);
  const double second = measurement.AnnouncementMs(3);
  const double third = measurement.AnnouncementMs(4);
  std::printf("{\"hosts\": %.0f, \"messages_per_s\": %.1f, "
              "\"payload_bytes_per_s\": %.0f, \"wire_bytes_per_s\": %.0f, "
              "\"core_percent_per_host\": %.3f, \"kb_per_link_end\": %.1f, "
              "\"announcement_ms\": [%.1f, %.1f, %.1f]}\n",
              hosts,
              messagesPerSecond,
              payloadPerSecond,
              wirePerSecond,
              100 * processorSeconds / hostSeconds,
              kbPerLinkEnd,
              first,
              second,
              third);
  return 0;
}

}

}

int
main(int aCount, char** aArguments)
{
  const log4cplus::Initializer logging;
  log4cplus::Logger::getRoot().setLogLevel(log4cplus::OFF_LOG_LEVEL);
  const sardinecourse::RcuThread rcuThread;
  if (aCount != 4) {
    std::fprintf(stderr, "usage: peer_traffic DATA_CENTRES HOSTS SECONDS\n");
    return 1;
  }
  return sardinecourse::Run(std::atoi(aArguments[1]),
                            std::atoi(aArguments[2]),
                            std::atoi(aArguments[3]));
}
