#pragma once

#include "core/endpoint.h"
#include "core/instant.h"
#include "links/http_answer.h"
#include "tests/harness/process.h"
#include "tests/harness/test_folder.h"

#include <cstdint>
#include <fstream>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace sardinecourse::review {

/** Exit codes of a case. */
constexpr int kRuleHeld = 0;
constexpr int kRuleBroken = 1;
constexpr int kNotRun = 2;

/** Whether the case runs with its disruption: false with TROUBLE=0. */
bool
HasTrouble();

/**
 * A small deployment for one case: the platform with its minions as a stand-in,
 * and daemons started with the command of the deploy file. It writes what
 * happens to the record of the case. The working folder is the repository.
 */
class CaseSite
{
public:
  /** Memory limit of a machine in the site file. */
  static constexpr std::int64_t kMemoryLimitMb = 260;
  static constexpr Milliseconds kCallTimeout{ 3000 };

  /** aStandIn is the stand-in's program in review/bin-2/. */
  CaseSite(const std::string& aRecord,
           const std::string& aStandIn,
           int aHosts,
           int aWorkers);

  /** Waits until all hosts are ready; false at the timeout. */
  bool WaitUntilReady();
  std::size_t Hosts() const { return this->hosts.size(); }
  void StartHost(std::size_t aHost);
  /** Kills a host, as a loss of power or the limit of its memory does. */
  void KillHost(std::size_t aHost, const std::string& aCause);
  harness::Process& Host(std::size_t aHost)
  {
    return *this->hosts.at(aHost).process;
  }
  /** Resident memory of a host; 0 when it isn't running. */
  std::int64_t MemoryMb(std::size_t aHost);

  /** Sends a client's call; empty without an answer. A job is named by its key
   * in the first queue, or by its path. */
  std::optional<HttpAnswer> Call(std::size_t aHost,
                                 const std::string& aMethod,
                                 const std::string& aJob,
                                 const nlohmann::json& aBody = nullptr);
  /** Submits a job until a host accepts it or aTries are used up; the next host
   * is asked each time. */
  bool Submit(std::size_t aHost,
              const std::string& aJob,
              const nlohmann::json& aBody,
              int aTries = 4);
  /** State of a job as a host shows it; empty without an answer. */
  std::string StateOf(std::size_t aHost, const std::string& aJob);
  /** Tells the stand-in how long the tasks of a job's first step work. */
  void SetWork(const std::string& aJob, int aCount, std::int64_t aWorkMs);
  /** A command to the stand-in; returns its report. */
  nlohmann::json Control(const std::string& aCommand,
                         const nlohmann::json& aBody = nullptr);
  /** Number of runs of a job at the minions. */
  std::size_t RunsOf(const std::string& aJob);

  void Record(const std::string& aLine);
  /** Records the verdict, ends all processes and returns the exit code. */
  int Finish(bool aIsBroken, const std::string& aVerdict);
  /** The same for a case that could not run. */
  int GiveUp(const std::string& aCause);

private:
  struct HostFiles
  {
    Endpoint callers;
    Endpoint readiness;
    std::string settings;
    std::string log;
    std::optional<harness::Process> process;
  };

  void End();

  Instant startedAt = Clock::now();
  std::ofstream record;
  harness::TestFolder folder;
  Endpoint site;
  std::optional<harness::Process> platform;
  std::vector<HostFiles> hosts;
};

}
