#pragma once

#include "contracts/host_leaving.h"
#include "contracts/minion_leaving.h"
#include "contracts/minion_loads.h"
#include "contracts/peer_heartbeat.h"
#include "contracts/peer_hello.h"
#include "contracts/promise_reply.h"
#include "contracts/promise_request.h"
#include "contracts/queue_notice.h"
#include "contracts/settings_reply.h"
#include "contracts/settings_request.h"

#include <variant>

namespace sardinecourse {

/** Any message between entry hosts. The order of the alternatives is part of
 * the protocol; append new ones at the end. */
using PeerMessage = std::variant<PeerHello,
                                 PeerHeartbeat,
                                 SettingsRequest,
                                 SettingsReply,
                                 MinionLoads,
                                 MinionLeaving,
                                 PromiseRequest,
                                 PromiseReply,
                                 QueueNotice,
                                 HostLeaving>;

}
