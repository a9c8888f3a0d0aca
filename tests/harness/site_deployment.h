#pragma once

#include "core/endpoint.h"
#include "links/http_answer.h"
#include "tests/harness/process.h"
#include "tests/harness/relay.h"
#include "tests/harness/test_folder.h"

#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace sardinecourse::harness {

/** Daemons of one scheduling domain in front of a site stand-in, configured
 * with one queue under "/one/" and one team with the API key "k1". */
class SiteDeployment
{
public:
  /** aHostSettings are further lines of each host's settings. */
  SiteDeployment(int aHosts,
                 int aWorkers,
                 const std::string& aHostSettings = "");

  std::size_t Hosts() const { return this->daemons.size(); }
  Process& Daemon(std::size_t aHost) { return *this->daemons.at(aHost); }
  const std::string& LogPath(std::size_t aHost) const
  {
    return this->logs.at(aHost);
  }
  /** Starts or restarts a daemon. */
  void Start(std::size_t aHost);
  bool WaitUntilReady(std::size_t aHost) const;
  /** Whether the host reports itself ready within aTimeout. */
  bool IsReady(std::size_t aHost, Milliseconds aTimeout) const;
  /** The relay between a daemon and the store. */
  Relay& StoreLink(std::size_t aHost) { return *this->storeLinks.at(aHost); }
  /** The host whose log has the committed takeover with the highest term. */
  std::optional<std::size_t> Holder() const;
  /** The host that the store's row names as the holder. */
  std::optional<std::size_t> StoredHolder() const;
  /** Endpoint of the stand-in. */
  const Endpoint& Site() const { return this->site; }

  /** Posts aBody to the stand-in's "/control/" + aCommand and returns the
   * decoded answer, null without one. */
  nlohmann::json Control(const std::string& aCommand,
                         const nlohmann::json& aBody) const;
  /** Writes a version of the configuration with aFurtherQueues more queues. */
  void Configure(std::int64_t aVersion, int aFurtherQueues) const;
  /** Writes a version in which the queue under "/one/" has another name. */
  void RenameQueue(std::int64_t aVersion, const std::string& aName) const;
  const Endpoint& Readiness(std::size_t aHost) const
  {
    return this->readiness.at(aHost);
  }
  const Endpoint& Metrics(std::size_t aHost) const
  {
    return this->metrics.at(aHost);
  }
  /** Endpoint at which the host serves callers. */
  const Endpoint& Callers(std::size_t aHost) const
  {
    return this->callers.at(aHost);
  }

  /** Tells the stand-in the shape of a job of one gang that is submitted next,
   * as in Submit(). */
  void PrepareJob(const std::string& aJob, int aMembers, int aWorkMs) const;
  static std::string JobBody(int aMembers, int aWorkMs);
  /** Submits a job of one gang whose members each work for aWorkMs milliseconds
   * on 8 accelerators; returns the HTTP status, or 0 without an answer. */
  int Submit(std::size_t aHost,
             const std::string& aJob,
             int aMembers,
             int aWorkMs) const;
  /** Sends a request without a body; returns the HTTP status, or 0 without an
   * answer. */
  int Call(std::size_t aHost,
           const std::string& aMethod,
           const std::string& aPath,
           const std::string& aKey = "k1") const;
  /** State of a job as the host reports it; empty without one. */
  std::string StateOf(std::size_t aHost, const std::string& aJob) const;
  /** Number of pending jobs that the host gives; empty without an answer. */
  std::optional<std::int64_t> PendingOf(std::size_t aHost) const;
  bool WaitForState(std::size_t aHost,
                    const std::string& aJob,
                    const std::string& aState) const;

  static std::string PathOf(const std::string& aJob) { return "/one/" + aJob; }
  void MarkPassed() { this->folder.MarkPassed(); }

private:
  std::optional<HttpAnswer> Send(std::size_t aHost,
                                 const std::string& aMethod,
                                 const std::string& aPath,
                                 const std::string& aKey,
                                 const std::string& aBody) const;

  TestFolder folder;
  Endpoint site;
  std::vector<Endpoint> callers;
  std::vector<Endpoint> readiness;
  std::vector<Endpoint> metrics;
  std::vector<std::string> settings;
  std::vector<std::string> logs;
  std::vector<std::unique_ptr<Relay>> storeLinks;
  std::optional<Process> platform;
  std::vector<std::optional<Process>> daemons;
};

}
