#include "tool/job_timeline.h"

#include <algorithm>
#include <array>
#include <map>
#include <set>
#include <sstream>
#include <string_view>

namespace sardinecourse {

namespace {

/** Longer waits are reported as a cause. Urgent work is to start within this
 * time (docs/CAPACITY.md). */
constexpr std::int64_t kLongWaitMs = 5800;

/** Events of a host, not of a job, that can explain the delay or failure of
 * jobs. */
constexpr std::array<std::string_view, 8> kContextEvents{
  "domain_takeover",       "domain_loaded", "domain_lost",
  "domain_renewal_failed", "store_lost",    "store_regained",
  "store_history_lost",    "log_dropped"
};

bool
IsContextEvent(const LoggedEvent& aEvent)
{
  return std::find(kContextEvents.begin(),
                   kContextEvents.end(),
                   aEvent.event) != kContextEvents.end();
}

bool
ConcernsJob(const LoggedEvent& aEvent, const std::string& aJob)
{
  // A call that is refused before its queue is looked up is logged with its
  // path only.
  return aEvent.Text("job") == aJob || aEvent.Text("in_favour_of") == aJob ||
         aEvent.Text("path").ends_with('/' + aJob);
}

std::string
DescribeTask(const LoggedEvent& aEvent)
{
  return "task " + aEvent.Text("step") + "/" + aEvent.Text("task") + ", run " +
         aEvent.Text("run");
}

std::string
AppendReason(const LoggedEvent& aEvent, const std::string& aText)
{
  return aEvent.Has("reason") ? aText + ": " + aEvent.Text("reason") : aText;
}

std::string
DescribeCall(const LoggedEvent& aEvent)
{
  std::string text = "a caller's " + aEvent.Text("kind") + " was answered " +
                     aEvent.Text("outcome") + " after " +
                     aEvent.Text("took_ms") + " ms";
  if (aEvent.Has("cause")) {
    text += ": " + aEvent.Text("cause");
  }
  text += " (store last confirmed " + aEvent.Text("proof_ms") + " ms before";
  if (aEvent.Has("catalog")) {
    text += ", configuration " + aEvent.Text("catalog");
  }
  return text + ")";
}

std::string
DescribePlacement(const LoggedEvent& aEvent)
{
  return "unit " + aEvent.Text("unit") + " was placed on " +
         aEvent.Text("members") + " workers in " + aEvent.Text("racks") +
         " racks as run " + aEvent.Text("run") + " after a wait of " +
         aEvent.Text("waited_ms") + " ms, in term " + aEvent.Text("term");
}

std::string
DescribePreemption(const LoggedEvent& aEvent)
{
  return "unit " + aEvent.Text("unit") + " of " + aEvent.Text("job") +
         " was preempted in favour of " + aEvent.Text("in_favour_of") +
         "; lost work: " + aEvent.Text("lost_core_s") + " core-seconds";
}

std::string
DescribeOrder(const LoggedEvent& aEvent, std::string_view aOrder)
{
  return AppendReason(aEvent,
                      "the " + std::string(aOrder) + " of " +
                        DescribeTask(aEvent) + " on " + aEvent.Text("worker") +
                        " was " + aEvent.Text("outcome"));
}

std::string
DescribeTakeover(const LoggedEvent& aEvent)
{
  const std::string what = aEvent.Number("committed") != 0
                             ? "this host took the domain over"
                             : "this host failed to take the domain over";
  return AppendReason(aEvent,
                      what + " from " + aEvent.Text("previous_holder") +
                        ", term " + aEvent.Text("term"));
}

std::string
DescribeFields(const LoggedEvent& aEvent)
{
  std::string text = aEvent.event;
  for (const auto& field : aEvent.fields) {
    text += ' ' + field.first + '=' + aEvent.Text(field.first);
  }
  return text;
}

const HostEvent*
FindLastRefusal(const std::vector<HostEvent>& aEvents, const std::string& aJob)
{
  const auto found =
    std::find_if(aEvents.rbegin(), aEvents.rend(), [&aJob](const auto& aEvent) {
      return aEvent.event.event == "call" && ConcernsJob(aEvent.event, aJob) &&
             aEvent.event.Text("kind") == "submit" &&
             aEvent.event.Text("outcome") != "accepted";
    });
  return found == aEvents.rend() ? nullptr : &*found;
}

/** The store outage in which aHost was at aUntil; null if it had the store. */
const HostEvent*
FindStoreOutage(const std::vector<HostEvent>& aEvents,
                const std::string& aHost,
                Milliseconds aUntil)
{
  const HostEvent* loss = nullptr;
  for (const HostEvent& event : aEvents) {
    if (event.host != aHost || event.event.at > aUntil) {
      continue;
    }
    if (event.event.event == "store_lost") {
      loss = &event;
    } else if (event.event.event == "store_regained") {
      loss = nullptr;
    }
  }
  return loss;
}

void
AddRefusalCauses(const std::vector<HostEvent>& aEvents,
                 const std::string& aJob,
                 std::vector<std::string>& aCauses)
{
  const HostEvent* refusal = FindLastRefusal(aEvents, aJob);
  if (refusal == nullptr) {
    return;
  }
  aCauses.push_back("a submit was answered " + refusal->event.Text("outcome") +
                    " by " + refusal->host + ": " +
                    refusal->event.Text("cause"));
  const HostEvent* loss =
    FindStoreOutage(aEvents, refusal->host, refusal->event.at);
  if (loss != nullptr) {
    const Milliseconds before = refusal->event.at - loss->event.at;
    aCauses.push_back(refusal->host + " had lost the store " +
                      std::to_string(before.count()) +
                      " ms before: " + loss->event.Text("reason"));
  }
}

std::string
CountRuns(int aCount)
{
  return std::to_string(aCount) + (aCount == 1 ? " run" : " runs");
}

void
AddFailureCauses(const std::vector<HostEvent>& aEvents,
                 const std::string& aJob,
                 std::vector<std::string>& aCauses)
{
  std::set<std::string> workers;
  int failures = 0;
  for (const HostEvent& event : aEvents) {
    if (event.event.event == "run_ended" && ConcernsJob(event.event, aJob) &&
        event.event.Text("how") == "failed") {
      workers.insert(event.event.Text("worker"));
      ++failures;
    }
  }
  if (failures == 0) {
    return;
  }
  const std::string runs = CountRuns(failures) + " failed";
  if (workers.size() == 1 && failures > 1) {
    aCauses.push_back(runs + ", all on " + *workers.begin() +
                      ": see the other run_ended lines of that worker");
  } else if (workers.size() == 1) {
    aCauses.push_back(runs + ", on " + *workers.begin());
  } else {
    aCauses.push_back(runs + " on " + std::to_string(workers.size()) +
                      " workers: the fault is probably in the job itself");
  }
}

/** Why a unit waited from aFrom until aUntil, by the events of the hosts. */
std::string
DescribeWaitCause(const std::vector<HostEvent>& aEvents,
                  Milliseconds aFrom,
                  Milliseconds aUntil)
{
  for (const HostEvent& event : aEvents) {
    if (event.event.event == "domain_takeover" && event.event.at >= aFrom &&
        event.event.at <= aUntil) {
      return event.host + " took the domain over meanwhile";
    }
  }
  return "no takeover in that time, so the resources it needs were in use";
}

void
AddWaitCauses(const std::vector<HostEvent>& aEvents,
              const std::string& aJob,
              std::vector<std::string>& aCauses)
{
  for (const HostEvent& event : aEvents) {
    const std::int64_t waited = event.event.Number("waited_ms");
    if (event.event.event == "unit_placed" && ConcernsJob(event.event, aJob) &&
        waited > kLongWaitMs) {
      aCauses.push_back("unit " + event.event.Text("unit") + " waited " +
                        std::to_string(waited) + " ms for its workers: " +
                        DescribeWaitCause(aEvents,
                                          event.event.at - Milliseconds(waited),
                                          event.event.at));
    }
  }
}

void
AddLossCauses(const std::vector<HostEvent>& aEvents,
              const std::string& aJob,
              std::vector<std::string>& aCauses)
{
  std::map<std::string, int> losses;
  for (const HostEvent& event : aEvents) {
    const LoggedEvent& line = event.event;
    if (line.event == "unit_preempted" && line.Text("job") == aJob) {
      aCauses.push_back("it was preempted in favour of " +
                        line.Text("in_favour_of"));
    }
    const std::string outcome = line.Text("how");
    if (line.event == "run_ended" && ConcernsJob(line, aJob) &&
        (outcome == "lapsed" || outcome == "broken" || outcome == "alone")) {
      ++losses[outcome];
    }
  }
  for (const auto& [outcome, count] : losses) {
    aCauses.push_back(std::to_string(count) + " runs ended as " + outcome +
                      ": lost with a worker or with a member of the gang");
  }
}

/** Number of runs that an order stopped, by its cause; the cause is empty where
 * the log has none. */
std::map<std::string, int>
StoppedRuns(const std::vector<HostEvent>& aEvents, const std::string& aJob)
{
  std::map<std::string, int> stopped;
  for (const HostEvent& event : aEvents) {
    const LoggedEvent& line = event.event;
    if (line.event == "run_ended" && ConcernsJob(line, aJob) &&
        line.Text("how") == "stopped") {
      ++stopped[line.Text("cause")];
    }
  }
  return stopped;
}

void
AddStopCauses(const std::vector<HostEvent>& aEvents,
              const std::string& aJob,
              std::vector<std::string>& aCauses)
{
  for (const auto& [cause, count] : StoppedRuns(aEvents, aJob)) {
    if (!cause.empty()) {
      aCauses.push_back(CountRuns(count) +
                        " ended by an order of the holder: " + cause);
    }
  }
}

std::string
DescribeIdleJob(const LoggedEvent& aEvent)
{
  std::string text = "nothing of it had run for " + aEvent.Text("idle_ms") +
                     " ms: " + aEvent.Text("reason");
  if (aEvent.Has("worker")) {
    text += " of worker " + aEvent.Text("worker");
  }
  if (aEvent.Has("until_ms")) {
    text += ", for at most " + aEvent.Text("until_ms") + " ms more";
  }
  if (aEvent.Has("needs")) {
    text += "; " + aEvent.Text("needs") + " tasks have to start, " +
            aEvent.Text("fits") + " fit";
  }
  return text + ", in term " + aEvent.Text("term");
}

void
AddIdleCauses(const std::vector<HostEvent>& aEvents,
              const std::string& aJob,
              std::vector<std::string>& aCauses)
{
  for (const HostEvent& event : aEvents) {
    if (event.event.event == "job_idle" && ConcernsJob(event.event, aJob)) {
      aCauses.push_back(DescribeIdleJob(event.event));
    }
  }
}

/** The last event of the job that is an order to start it or the end of a run;
 * null if there is none. */
const HostEvent*
FindLastRunEvent(const std::vector<HostEvent>& aEvents, const std::string& aJob)
{
  const auto found = std::find_if(
    aEvents.rbegin(), aEvents.rend(), [&aJob](const HostEvent& aEvent) {
      const std::string& event = aEvent.event.event;
      return ConcernsJob(aEvent.event, aJob) &&
             (event == "run_ended" || event == "start_ordered" ||
              event == "unit_placed");
    });
  return found == aEvents.rend() ? nullptr : &*found;
}

}

std::vector<std::string>
FindGaps(const std::vector<HostEvent>& aEvents, const std::string& aJob)
{
  std::vector<std::string> gaps;
  const auto stopped = StoppedRuns(aEvents, aJob);
  const auto unexplained = stopped.find("");
  if (unexplained != stopped.end()) {
    gaps.push_back("why " + CountRuns(unexplained->second) + " were stopped");
  }
  const HostEvent* last = FindLastRunEvent(aEvents, aJob);
  const bool isLeftWaiting = last != nullptr &&
                             last->event.event == "run_ended" &&
                             last->event.Text("how") != "done";
  const auto isLaterWait = [&aJob, last](const HostEvent& aEvent) {
    return aEvent.event.event == "job_idle" &&
           ConcernsJob(aEvent.event, aJob) && aEvent.event.at >= last->event.at;
  };
  if (isLeftWaiting &&
      std::none_of(aEvents.begin(), aEvents.end(), isLaterWait)) {
    gaps.push_back("whether a task was started after at_ms=" +
                   std::to_string(last->event.at.count()) +
                   ", and what held the job otherwise");
  }
  const bool hasTakeover =
    std::any_of(aEvents.begin(), aEvents.end(), [](const HostEvent& aEvent) {
      return aEvent.event.event == "domain_takeover";
    });
  if (!hasTakeover) {
    gaps.emplace_back("which host held the domain, as no takeover is logged");
  }
  std::set<std::string> hosts;
  for (const HostEvent& event : aEvents) {
    hosts.insert(event.host);
  }
  std::string others = "what other hosts did than";
  for (const std::string& host : hosts) {
    others += ' ' + host;
  }
  gaps.push_back(std::move(others));
  return gaps;
}

std::string
DescribeEvent(const LoggedEvent& aEvent)
{
  const std::string& event = aEvent.event;
  if (event == "call") {
    return DescribeCall(aEvent);
  }
  if (event == "unit_placed") {
    return DescribePlacement(aEvent);
  }
  if (event == "unit_preempted") {
    return DescribePreemption(aEvent);
  }
  if (event == "start_ordered") {
    return DescribeOrder(aEvent, "start");
  }
  if (event == "stop_ordered") {
    return DescribeOrder(aEvent, "stop");
  }
  if (event == "run_ended") {
    const std::string cause =
      aEvent.Has("cause") ? " (" + aEvent.Text("cause") + ")" : "";
    return DescribeTask(aEvent) + " on " + aEvent.Text("worker") +
           " ended as " + aEvent.Text("how") + cause;
  }
  if (event == "job_idle") {
    return DescribeIdleJob(aEvent);
  }
  if (event == "domain_takeover") {
    return DescribeTakeover(aEvent);
  }
  if (event == "domain_lost") {
    return "this host gave the domain up: " + aEvent.Text("cause");
  }
  if (event == "store_lost") {
    return AppendReason(aEvent, "this host lost the store");
  }
  if (event == "store_regained") {
    return "this host reached the store again";
  }
  return DescribeFields(aEvent);
}

std::vector<HostEvent>
EventsOfJob(const std::vector<HostEvent>& aEvents, const std::string& aJob)
{
  const auto concerns = [&aJob](const HostEvent& aEvent) {
    return ConcernsJob(aEvent.event, aJob);
  };
  const auto first = std::find_if(aEvents.begin(), aEvents.end(), concerns);
  const auto last =
    std::find_if(aEvents.rbegin(), aEvents.rend(), concerns).base();
  std::vector<HostEvent> events;
  if (first != aEvents.end()) {
    std::copy_if(
      first, last, std::back_inserter(events), [&](const HostEvent& aEvent) {
        return concerns(aEvent) || IsContextEvent(aEvent.event);
      });
  }
  return events;
}

std::vector<std::string>
FindCauses(const std::vector<HostEvent>& aEvents, const std::string& aJob)
{
  std::vector<std::string> causes;
  AddRefusalCauses(aEvents, aJob, causes);
  AddFailureCauses(aEvents, aJob, causes);
  AddLossCauses(aEvents, aJob, causes);
  AddStopCauses(aEvents, aJob, causes);
  AddIdleCauses(aEvents, aJob, causes);
  AddWaitCauses(aEvents, aJob, causes);
  return causes;
}

}
