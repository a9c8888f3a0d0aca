#pragma once

#include "core/names.h"
#include "core/snapshot.h"
#include "daemon/claim_desk.h"
#include "daemon/readiness.h"
#include "daemon/request_metrics.h"
#include "zones/minion_table.h"

namespace sardinecourse {

/** What all serving threads of a host share. */
struct RequestContext
{
  RequestContext(HostName aHost,
                 boost::asio::io_context& aControl,
                 const std::vector<Endpoint>& aPlatform)
    : host(std::move(aHost))
    , minions(std::make_unique<const MinionTable>())
    , claims(aControl, aPlatform)
  {
  }

  HostName host;
  Snapshot<MinionTable> minions;
  ClaimDesk claims;
  RequestMetrics metrics;
  Readiness readiness;
};

}
