#include "tool/job_timeline.h"

#include <algorithm>
#include <array>
#include <map>
#include <set>
#include <sstream>
#include <string_view>

namespace sardinecourse {

namespace {

/** Above this a wait is told as a cause: the time in which urgent work is to
 * start (docs/CAPACITY.md). */
constexpr std::int64_t kLongWaitMs = 5800;

/** Events of a host, not of a job, that explain what jobs meet. */
constexpr std::array<std::string_view, 8> kSurroundings{
  "domain_takeover",       "domain_loaded", "domain_lost",
  "domain_renewal_failed", "store_lost",    "store_regained",
  "store_history_lost",    "log_dropped"
};

bool
IsSurrounding(const LoggedEvent& aEvent)
{
  return std::find(kSurroundings.begin(), kSurroundings.end(), aEvent.event) !=
         kSurroundings.end();
}

bool
Concerns(const LoggedEvent& aEvent, const std::string& aJob)
{
  // A call that is refused before its queue is looked up has only its path.
  return aEvent.Text("job") == aJob || aEvent.Text("in_favour_of") == aJob ||
         aEvent.Text("path").ends_with('/' + aJob);
}

std::string
TaskText(const LoggedEvent& aEvent)
{
  return "task " + aEvent.Text("step") + "/" + aEvent.Text("task") + ", run " +
         aEvent.Text("run");
}

std::string
WithReason(const LoggedEvent& aEvent, const std::string& aSentence)
{
  return aEvent.Has("reason") ? aSentence + ": " + aEvent.Text("reason")
                              : aSentence;
}

std::string
CallSentence(const LoggedEvent& aEvent)
{
  std::string text = "a caller's " + aEvent.Text("kind") + " was answered " +
                     aEvent.Text("outcome") + " after " +
                     aEvent.Text("took_ms") + " ms";
  if (aEvent.Has("cause")) {
    text += ": " + aEvent.Text("cause");
  }
  text += " (store last heard " + aEvent.Text("proof_ms") + " ms before";
  if (aEvent.Has("catalog")) {
    text += ", configuration " + aEvent.Text("catalog");
  }
  return text + ")";
}

std::string
PlacedSentence(const LoggedEvent& aEvent)
{
  return "unit " + aEvent.Text("unit") + " was placed on " +
         aEvent.Text("members") + " workers in " + aEvent.Text("racks") +
         " racks as run " + aEvent.Text("run") + " after a wait of " +
         aEvent.Text("waited_ms") + " ms, in term " + aEvent.Text("term");
}

std::string
PreemptedSentence(const LoggedEvent& aEvent)
{
  return "unit " + aEvent.Text("unit") + " of " + aEvent.Text("job") +
         " was preempted in favour of " + aEvent.Text("in_favour_of") +
         "; lost work: " + aEvent.Text("lost_core_s") + " core-seconds";
}

std::string
OrderSentence(const LoggedEvent& aEvent, std::string_view aOrder)
{
  return WithReason(aEvent,
                    "the " + std::string(aOrder) + " of " + TaskText(aEvent) +
                      " on " + aEvent.Text("worker") + " was " +
                      aEvent.Text("outcome"));
}

std::string
TakeoverSentence(const LoggedEvent& aEvent)
{
  const std::string what = aEvent.Number("committed") != 0
                             ? "this host took the domain over"
                             : "this host failed to take the domain over";
  return WithReason(aEvent,
                    what + " from " + aEvent.Text("previous_holder") +
                      ", term " + aEvent.Text("term"));
}

std::string
FieldsSentence(const LoggedEvent& aEvent)
{
  std::string text = aEvent.event;
  for (const auto& field : aEvent.fields) {
    text += ' ' + field.first + '=' + aEvent.Text(field.first);
  }
  return text;
}

const HostEvent*
LastRefusal(const std::vector<HostEvent>& aEvents, const std::string& aJob)
{
  const auto found =
    std::find_if(aEvents.rbegin(), aEvents.rend(), [&aJob](const auto& aEvent) {
      return aEvent.event.event == "call" && Concerns(aEvent.event, aJob) &&
             aEvent.event.Text("kind") == "submit" &&
             aEvent.event.Text("outcome") != "accepted";
    });
  return found == aEvents.rend() ? nullptr : &*found;
}

/** The last loss of the store on a host before aUntil that did not end. */
const HostEvent*
StoreLossBefore(const std::vector<HostEvent>& aEvents,
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
TellRefusal(const std::vector<HostEvent>& aEvents,
            const std::string& aJob,
            std::vector<std::string>& aCauses)
{
  const HostEvent* refusal = LastRefusal(aEvents, aJob);
  if (refusal == nullptr) {
    return;
  }
  aCauses.push_back("a submit was answered " + refusal->event.Text("outcome") +
                    " by " + refusal->host + ": " +
                    refusal->event.Text("cause"));
  const HostEvent* loss =
    StoreLossBefore(aEvents, refusal->host, refusal->event.at);
  if (loss != nullptr) {
    const Milliseconds before = refusal->event.at - loss->event.at;
    aCauses.push_back(refusal->host + " had lost the store " +
                      std::to_string(before.count()) +
                      " ms before: " + loss->event.Text("reason"));
  }
}

void
TellFailures(const std::vector<HostEvent>& aEvents,
             const std::string& aJob,
             std::vector<std::string>& aCauses)
{
  std::set<std::string> workers;
  int failures = 0;
  for (const HostEvent& event : aEvents) {
    if (event.event.event == "run_ended" && Concerns(event.event, aJob) &&
        event.event.Text("how") == "failed") {
      workers.insert(event.event.Text("worker"));
      ++failures;
    }
  }
  if (failures == 0) {
    return;
  }
  const std::string runs =
    std::to_string(failures) + (failures == 1 ? " run" : " runs") + " failed";
  if (workers.size() == 1 && failures > 1) {
    aCauses.push_back(runs + ", all on " + *workers.begin() +
                      ": see the other run_ended lines of that worker");
  } else if (workers.size() == 1) {
    aCauses.push_back(runs + ", on " + *workers.begin());
  } else {
    aCauses.push_back(runs + " on " + std::to_string(workers.size()) +
                      " workers: the fault is likely the job's own");
  }
}

/** What happened on the hosts while a unit waited. */
std::string
CauseOfWait(const std::vector<HostEvent>& aEvents,
            Milliseconds aFrom,
            Milliseconds aUntil)
{
  for (const HostEvent& event : aEvents) {
    if (event.event.event == "domain_takeover" && event.event.at >= aFrom &&
        event.event.at <= aUntil) {
      return event.host + " took the domain over meanwhile";
    }
  }
  return "no takeover in that time, so the room it needs was taken";
}

void
TellWaits(const std::vector<HostEvent>& aEvents,
          const std::string& aJob,
          std::vector<std::string>& aCauses)
{
  for (const HostEvent& event : aEvents) {
    const std::int64_t waited = event.event.Number("waited_ms");
    if (event.event.event == "unit_placed" && Concerns(event.event, aJob) &&
        waited > kLongWaitMs) {
      aCauses.push_back("unit " + event.event.Text("unit") + " waited " +
                        std::to_string(waited) + " ms for its workers: " +
                        CauseOfWait(aEvents,
                                    event.event.at - Milliseconds(waited),
                                    event.event.at));
    }
  }
}

void
TellLosses(const std::vector<HostEvent>& aEvents,
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
    const std::string how = line.Text("how");
    if (line.event == "run_ended" && Concerns(line, aJob) &&
        (how == "lapsed" || how == "broken" || how == "alone")) {
      ++losses[how];
    }
  }
  for (const auto& [how, count] : losses) {
    aCauses.push_back(std::to_string(count) + " runs ended as " + how +
                      ": lost with a worker or with a member of the gang");
  }
}

}

std::string
DescribeEvent(const LoggedEvent& aEvent)
{
  const std::string& event = aEvent.event;
  if (event == "call") {
    return CallSentence(aEvent);
  }
  if (event == "unit_placed") {
    return PlacedSentence(aEvent);
  }
  if (event == "unit_preempted") {
    return PreemptedSentence(aEvent);
  }
  if (event == "start_ordered") {
    return OrderSentence(aEvent, "start");
  }
  if (event == "stop_ordered") {
    return OrderSentence(aEvent, "stop");
  }
  if (event == "run_ended") {
    return TaskText(aEvent) + " on " + aEvent.Text("worker") + " ended as " +
           aEvent.Text("how");
  }
  if (event == "domain_takeover") {
    return TakeoverSentence(aEvent);
  }
  if (event == "domain_lost") {
    return "this host gave the domain up: " + aEvent.Text("cause");
  }
  if (event == "store_lost") {
    return WithReason(aEvent, "this host lost the store");
  }
  if (event == "store_regained") {
    return "this host reached the store again";
  }
  return FieldsSentence(aEvent);
}

std::vector<HostEvent>
EventsOfJob(const std::vector<HostEvent>& aEvents, const std::string& aJob)
{
  const auto concerns = [&aJob](const HostEvent& aEvent) {
    return Concerns(aEvent.event, aJob);
  };
  const auto first = std::find_if(aEvents.begin(), aEvents.end(), concerns);
  const auto last =
    std::find_if(aEvents.rbegin(), aEvents.rend(), concerns).base();
  std::vector<HostEvent> events;
  if (first != aEvents.end()) {
    std::copy_if(
      first, last, std::back_inserter(events), [&](const HostEvent& aEvent) {
        return concerns(aEvent) || IsSurrounding(aEvent.event);
      });
  }
  return events;
}

std::vector<std::string>
FindCauses(const std::vector<HostEvent>& aEvents, const std::string& aJob)
{
  std::vector<std::string> causes;
  TellRefusal(aEvents, aJob, causes);
  TellFailures(aEvents, aJob, causes);
  TellLosses(aEvents, aJob, causes);
  TellWaits(aEvents, aJob, causes);
  return causes;
}

}
