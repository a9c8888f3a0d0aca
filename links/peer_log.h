#pragma once

#include "core/names.h"

#include <string>
#include <string_view>

namespace sardinecourse {

/** Logs one event of a peer link as "EVENT peer=HOST DETAIL" with the logger
 * "peers". */
void
LogPeer(std::string_view aEvent,
        const HostName& aPeer,
        const std::string& aDetail);

}
