#pragma once

#include "core/names.h"
#include "daemon/daemon_peers.h"
#include "links/http_answer.h"
#include "links/http_request.h"

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <memory>
#include <string_view>

namespace boost::asio {
class io_context;
}

namespace sardinecourse {

class Fleet;
class HostSettings;
class PlatformLink;

/** All that a daemon does about jobs: the callers' job API, and the holder of
 * its data centre's racks. But for Handle(), it is used on the control thread
 * only. */
class JobService
{
public:
  JobService(boost::asio::io_context& aControl,
             PlatformLink& aPlatform,
             DaemonPeers& aPeers,
             const HostSettings& aSettings);
  ~JobService();
  JobService(const JobService&) = delete;
  JobService& operator=(const JobService&) = delete;

  /** Puts settings in force; the first call starts the holder. */
  void Adopt(const Fleet& aFleet);
  /** Hands the racks over. */
  boost::asio::awaitable<void> Stop();

  /** True for targets of the job API. */
  static bool Serves(std::string_view aTarget);
  /** Answers a request of the job API; for any serving thread. */
  boost::asio::awaitable<HttpAnswer> Handle(HttpRequest aRequest);

  /** Jobs of this data centre were admitted or cancelled elsewhere. */
  void QueueChanged();
  /** Answers a holder that asks this host not to take over from it. */
  bool Promise(const HostName& aHolder, std::int64_t aTerm);

private:
  struct Parts;

  boost::asio::awaitable<HttpAnswer> HandleOnControl(HttpRequest aRequest);
  boost::asio::awaitable<HttpAnswer> HandleJob(HttpRequest aRequest,
                                               std::string aRest);
  boost::asio::awaitable<HttpAnswer> Explain(TeamName aTeam, JobKey aKey);

  boost::asio::io_context* control;
  std::unique_ptr<Parts> parts;
};

}
