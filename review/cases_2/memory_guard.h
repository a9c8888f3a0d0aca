#pragma once

#include "review/cases_2/case_site.h"

#include <map>
#include <string>

namespace sardinecourse::review {

/** Kills a host whose memory exceeds the limit and starts it again, as the
 * platform does. */
class MemoryGuard
{
public:
  explicit MemoryGuard(CaseSite& aSite)
    : site(&aSite)
  {
  }

  /** Guards the hosts for a while. */
  void RunFor(Milliseconds aTime);
  /** Number of kills by host, as a text. */
  std::string Text() const;

private:
  void Check(std::size_t aHost);

  CaseSite* site;
  std::map<std::size_t, Instant> startAt;
  std::map<std::size_t, int> kills;
};

}
