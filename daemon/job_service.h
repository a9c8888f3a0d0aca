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

/** The job functions of a daemon: the job API for callers, and the holder of
 * its data centre's racks. All methods except Handle() run on the control
 * thread. */
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

  /** Applies settings; the first call starts the holder. */
  void Adopt(const Fleet& aFleet);
  /** Stops the holder, so that another host can take over at once. */
  boost::asio::awaitable<void> Stop();

  /** True for targets of the job API. */
  static bool Serves(std::string_view aTarget);
  /** Answers a request of the job API. Any serving thread may call it. */
  boost::asio::awaitable<HttpAnswer> Handle(HttpRequest aRequest);

  /** Call when another host admitted or cancelled a job of this data centre. */
  void OnQueueChange();
  /** Answers a holder that asks this host not to take over from it; true if it
   * promises so. */
  bool Promise(const HostName& aHolder, std::int64_t aTerm);

private:
  struct Parts;

  boost::asio::awaitable<HttpAnswer> HandleOnControl(HttpRequest aRequest);
  boost::asio::awaitable<HttpAnswer> HandleJob(HttpRequest aRequest,
                                               std::string aPath);
  boost::asio::awaitable<HttpAnswer> Explain(TeamName aTeam, JobKey aKey);

  boost::asio::io_context* control;
  std::unique_ptr<Parts> parts;
};

}
