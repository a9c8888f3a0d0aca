#pragma once

#include "tool/host_event.h"

#include <string>
#include <vector>

namespace sardinecourse {

/** Describes an event in one English sentence; event types without a text of
 * their own are printed as "event field=value ...". */
std::string
DescribeEvent(const LoggedEvent& aEvent);

/** Timeline of a job: its own events and, between its first and last one, the
 * host events that can explain delays (takeovers, lost domains, store outages,
 * dropped log lines). Empty if no event concerns the job. */
std::vector<HostEvent>
EventsOfJob(const std::vector<HostEvent>& aEvents, const std::string& aJob);

/** What the events do not show of the job, one gap per entry; logs that were
 * cut short or are missing leave such gaps. */
std::vector<std::string>
FindGaps(const std::vector<HostEvent>& aEvents, const std::string& aJob);

/** What refused, failed, preempted or delayed the job, one cause per entry, as
 * far as the events show. */
std::vector<std::string>
FindCauses(const std::vector<HostEvent>& aEvents, const std::string& aJob);

}
