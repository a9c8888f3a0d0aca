#pragma once

#include "core/names.h"
#include "core/snapshot.h"
#include "daemon/claim_client.h"
#include "daemon/readiness.h"
#include "daemon/request_metrics.h"
#include "machines/caller_load.h"
#include "zones/minion_table.h"

namespace sardinecourse {

class OperatorApi;
class JobService;

/** State shared by all serving threads of a host. */
struct RequestContext
{
  RequestContext(HostName aHost,
                 std::int32_t aThreads,
                 const CallerLimits& aLimits,
                 boost::asio::io_context& aControl,
                 PlatformLink& aPlatform,
                 OperatorApi& aOperators)
    : host(std::move(aHost))
    , threads(aThreads)
    , callerLoad(aLimits)
    , minions(std::make_unique<const MinionTable>())
    , claims(aControl, aPlatform)
    , operators(&aOperators)
  {
  }

  HostName host;
  std::int32_t threads;
  CallerLoad callerLoad;
  Snapshot<MinionTable> minions;
  ClaimClient claims;
  OperatorApi* operators;
  RequestMetrics metrics;
  Readiness readiness;
  /** Set before serving starts. */
  JobService* jobs = nullptr;
};

}
