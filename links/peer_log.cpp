#include "links/peer_log.h"

#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

namespace sardinecourse {

void
LogPeer(std::string_view aEvent,
        const HostName& aPeer,
        const std::string& aDetail)
{
  LOG4CPLUS_INFO(log4cplus::Logger::getInstance("peers"),
                 aEvent << " peer=" << aPeer.Text() << " " << aDetail);
}

}
