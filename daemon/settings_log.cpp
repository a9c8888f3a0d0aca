#include "daemon/settings_log.h"

#include "codecs/settings_json.h"
#include "contracts/settings_answer.h"
#include "contracts/settings_proposal.h"

#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

namespace sardinecourse {

namespace {

log4cplus::Logger
SettingsLogger()
{
  return log4cplus::Logger::getInstance("settings");
}

}

void
LogAdopted(std::int64_t aRevision, const char* aSource)
{
  LOG4CPLUS_INFO(SettingsLogger(),
                 "adopted revision=" << aRevision << " source=" << aSource);
}

void
LogUnreadable(std::int64_t aRevision,
              const char* aSource,
              const Reason& aReason)
{
  LOG4CPLUS_ERROR(SettingsLogger(),
                  "unreadable revision=" << aRevision << " source=" << aSource
                                         << " reason=\"" << aReason.Message()
                                         << "\"");
}

void
LogProposal(const SettingsProposal& aProposal, const SettingsAnswer& aAnswer)
{
  const std::int64_t revision = aAnswer.record ? aAnswer.record->Revision() : 0;
  LOG4CPLUS_INFO(SettingsLogger(),
                 "proposal outcome=" << AcceptOutcomeName(aAnswer.outcome)
                                     << " who=" << aProposal.who
                                     << " revision=" << revision << " reason=\""
                                     << aAnswer.reason.Message() << "\"");
}

}
