#include "tests/soak/rehearsal_hosts.h"

#include "tests/harness/process.h"
#include "tests/harness/site_deployment.h"
#include "tests/soak/disruption_log.h"
#include "tests/soak/load_balancer.h"
#include "tests/soak/violation_log.h"

#include <csignal>

namespace sardinecourse::harness {

namespace {

/** After this time a stopped process is killed. */
constexpr Milliseconds kGraceTime{ 6000 };
/** Requests count until this time after the grace time. */
constexpr Milliseconds kGraceSlack{ 1000 };
/** Time after a reload in which the host may serve other settings. */
constexpr Milliseconds kApplyTime{ 2000 };
/** From the end of a planned stop to the next start. */
constexpr Milliseconds kRestartPause{ 500 };
/** A killed host counts as disrupted for this time after its start. */
constexpr Milliseconds kStartTime{ 1000 };

}

RehearsalHosts::RehearsalHosts(SiteDeployment& aSite,
                               const LoadBalancer& aBalancer,
                               DisruptionLog& aDisruptions,
                               ViolationLog& aViolations)
  : site(&aSite)
  , balancer(&aBalancer)
  , disruptions(&aDisruptions)
  , violations(&aViolations)
  , hosts(aSite.Hosts())
{
}

std::size_t
RehearsalHosts::Holder() const
{
  return this->site->StoredHolder().value_or(0);
}

bool
RehearsalHosts::IsUp(std::size_t aHost) const
{
  const Host& host = this->hosts[aHost];
  return !host.stoppedAt && !host.startAt;
}

void
RehearsalHosts::Stop(std::size_t aHost)
{
  // Until the program begins to run, the system's default action ends the
  // process on every signal, so it gets none before it is ready.
  if (!this->IsUp(aHost) || !this->balancer->IsInRotation(aHost)) {
    return;
  }
  this->hosts[aHost].stoppedAt = Clock::now();
  this->disruptions->Add(
    aHost, true, "stop", Clock::now(), kGraceTime + kGraceSlack);
  this->site->Daemon(aHost).Signal(SIGTERM);
}

void
RehearsalHosts::Kill(std::size_t aHost, Milliseconds aDownTime)
{
  Host& host = this->hosts[aHost];
  if (host.startAt) {
    return;
  }
  this->disruptions->Add(
    aHost, false, "kill", Clock::now(), aDownTime + kStartTime);
  this->site->Daemon(aHost).Kill();
  host.stoppedAt.reset();
  host.startAt = Clock::now() + aDownTime;
}

void
RehearsalHosts::Reload(std::size_t aHost)
{
  if (!this->IsUp(aHost) || !this->balancer->IsInRotation(aHost)) {
    return;
  }
  this->disruptions->Add(aHost, true, "reload", Clock::now(), kApplyTime);
  this->site->Daemon(aHost).Signal(SIGHUP);
}

void
RehearsalHosts::Update()
{
  for (std::size_t host = 0; host < this->hosts.size(); ++host) {
    if (this->hosts[host].stoppedAt) {
      this->UpdateStopping(host);
    } else if (this->hosts[host].startAt &&
               Clock::now() >= *this->hosts[host].startAt) {
      this->hosts[host].startAt.reset();
      this->site->Start(host);
    } else if (this->IsUp(host) && !this->site->Daemon(host).IsRunning()) {
      this->violations->Add("ended_by_itself", this->site->LogPath(host));
      this->disruptions->Add(
        host, false, "own end", Clock::now(), kRestartPause + kStartTime);
      this->hosts[host].startAt = Clock::now() + kRestartPause;
    }
  }
}

void
RehearsalHosts::UpdateStopping(std::size_t aHost)
{
  Host& host = this->hosts[aHost];
  Process& daemon = this->site->Daemon(aHost);
  const Instant now = Clock::now();
  if (daemon.IsRunning() && now < *host.stoppedAt + kGraceTime) {
    return;
  }
  if (daemon.IsRunning()) {
    this->violations->Add(
      "killed_in_grace",
      "host" + std::to_string(aHost) + " told to stop at " +
        std::to_string(this->disruptions->Since(*host.stoppedAt)) +
        " ms; unplanned: " +
        this->disruptions->UnplannedIn(aHost, *host.stoppedAt, now) + " [" +
        this->site->LogPath(aHost) + "]");
    daemon.Kill();
  } else if (daemon.WaitForExit(Milliseconds(0)).value_or(-1) != 0) {
    this->violations->Add(
      "ended_wrong",
      "exit " +
        std::to_string(daemon.WaitForExit(Milliseconds(0)).value_or(0)) + " [" +
        this->site->LogPath(aHost) + "]");
  }
  host.stoppedAt.reset();
  host.startAt = now + kRestartPause;
}

}
