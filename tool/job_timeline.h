#pragma once

#include "tool/host_event.h"

#include <string>
#include <vector>

namespace sardinecourse {

/** What an event says, in a sentence for an engineer; events without a sentence
 * of their own are told by their fields. */
std::string
DescribeEvent(const LoggedEvent& aEvent);

/** The events that tell what became of a job: its own, and those in its time
 * that changed what a host could know or who held the domain. */
std::vector<HostEvent>
EventsOfJob(const std::vector<HostEvent>& aEvents, const std::string& aJob);

/** What delayed, failed or refused the job, as far as its events show. */
std::vector<std::string>
FindCauses(const std::vector<HostEvent>& aEvents, const std::string& aJob);

}
