#include "tool/event_files.h"
#include "tool/job_timeline.h"

#include "codecs/logged_event_json.h"
#include "core/reason.h"

#include <algorithm>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>
#include <sstream>

namespace sardinecourse {

namespace {

std::string
JoinLines(const std::vector<std::string>& aTexts)
{
  std::string all;
  for (const std::string& text : aTexts) {
    all += text + '\n';
  }
  return all;
}

void
AppendEvents(const std::string& aName,
             const std::string& aLog,
             std::vector<HostEvent>& aEvents)
{
  std::istringstream stream(aLog);
  CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, ReadEvents(stream, aName, aEvents));
}

void
AssertContains(const std::string& aText, const std::string& aPart)
{
  CPPUNIT_ASSERT_MESSAGE(aText + "does not contain: " + aPart,
                         aText.find(aPart) != std::string::npos);
}

}

/** Tests that the timeline and the causes of a job are found from its key and
 * the hosts' logs alone. */
class JobTimelineTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(JobTimelineTest);
  CPPUNIT_TEST(EncodedEventDecodesToTheSameEvent);
  CPPUNIT_TEST(LinesThatAreNotEventsAreSkippedAndCounted);
  CPPUNIT_TEST(RefusedSubmitIsAttributedToStoreOutage);
  CPPUNIT_TEST(LongWaitIsAttributedToTakeover);
  CPPUNIT_TEST(RepeatedFailuresOnOneWorkerNameTheWorker);
  CPPUNIT_TEST(PreemptionNamesTheJobInFavour);
  CPPUNIT_TEST(TimelineExcludesEventsOfOtherJobs);
  CPPUNIT_TEST(StopsOfRecordCutShortAreNamedAsUnexplained);
  CPPUNIT_TEST(StopAndIdleTimeAreExplainedFromTheirOwnLines);
  CPPUNIT_TEST(JobThatNeverRanHasNoGapAfterItsLastRun);
  CPPUNIT_TEST(HostBeforeEachEventIsRead);
  CPPUNIT_TEST_SUITE_END();

public:
  void EncodedEventDecodesToTheSameEvent()
  {
    const bool holds = rc::check([] {
      LoggedEvent event;
      event.at = Milliseconds(*rc::gen::inRange<std::int64_t>(0, 1LL << 50));
      event.event =
        *rc::gen::container<std::string>(rc::gen::inRange('a', 'z'));
      const auto count = *rc::gen::inRange(0, 5);
      for (int index = 0; index < count; ++index) {
        const std::string name = "f" + std::to_string(index);
        const auto text =
          *rc::gen::container<std::string>(rc::gen::inRange(' ', '~'));
        const auto number = *rc::gen::arbitrary<std::int64_t>();
        event.fields.emplace_back(name,
                                  index % 2 == 0 ? LoggedEvent::Value(text)
                                                 : LoggedEvent::Value(number));
      }
      Reason reason;
      const auto read = DecodeLoggedEvent(EncodeLoggedEvent(event), reason);
      RC_ASSERT(read.has_value());
      RC_ASSERT(*read == event);
    });
    CPPUNIT_ASSERT(holds);
  }

  void LinesThatAreNotEventsAreSkippedAndCounted()
  {
    std::istringstream log("Segmentation fault\n\n"
                           R"({"at_ms":1})"
                           "\n"
                           R"({"at_ms":1,"event":"stopped"})"
                           "\n{\"at_ms\":1,\"eve");
    std::vector<HostEvent> events;
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 3 }, ReadEvents(log, "e1", events));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, events.size());
  }

  void RefusedSubmitIsAttributedToStoreOutage()
  {
    std::vector<HostEvent> events;
    AppendEvents("one",
                 R"({"at_ms":1000,"event":"started","host":"e1"}
{"at_ms":5000,"event":"store_lost","use":"catalog","reason":"upstream_connect s1: refused"}
{"at_ms":8200,"event":"call","kind":"submit","path":"/queue/k7","outcome":"not_run","took_ms":0,"proof_ms":2600,"cause":"the store is out of reach"}
)",
                 events);
    const std::string causes = JoinLines(FindCauses(events, "k7"));
    AssertContains(causes, "answered not_run by e1: the store is out of reach");
    AssertContains(causes, "e1 had lost the store 3200 ms before");
    AssertContains(causes, "upstream_connect s1: refused");
  }

  void LongWaitIsAttributedToTakeover()
  {
    std::vector<HostEvent> events;
    AppendEvents(
      "e2",
      R"({"at_ms":7000,"event":"domain_takeover","term":4,"previous_holder":"e1","committed":1}
{"at_ms":9500,"event":"unit_placed","job":"k8","unit":0,"run":1,"members":2,"racks":1,"priority":0,"waited_ms":6500,"term":4}
)",
      events);
    const std::string causes = JoinLines(FindCauses(events, "k8"));
    AssertContains(causes, "waited 6500 ms");
    AssertContains(causes, "e2 took the domain over meanwhile");
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, EventsOfJob(events, "k8").size());
  }

  void RepeatedFailuresOnOneWorkerNameTheWorker()
  {
    std::vector<HostEvent> events;
    const std::string end =
      R"({"at_ms":7000,"event":"run_ended","job":"k9","step":"s","task":0,"run":1,"worker":"w3","how":"failed"})"
      "\n";
    AppendEvents("e1", end + end, events);
    AssertContains(JoinLines(FindCauses(events, "k9")),
                   "2 runs failed, all on w3");
  }

  void PreemptionNamesTheJobInFavour()
  {
    std::vector<HostEvent> events;
    AppendEvents(
      "e1",
      R"({"at_ms":7000,"event":"unit_preempted","job":"k1","unit":0,"run":1,"in_favour_of":"k2","lost_core_s":9,"term":4}
)",
      events);
    AssertContains(JoinLines(FindCauses(events, "k1")), "in favour of k2");
    CPPUNIT_ASSERT(FindCauses(events, "k2").empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, EventsOfJob(events, "k2").size());
  }

  void TimelineExcludesEventsOfOtherJobs()
  {
    std::vector<HostEvent> events;
    AppendEvents("e1",
                 R"({"at_ms":1,"event":"job_cancelled","job":"k1"}
{"at_ms":2,"event":"job_cancelled","job":"k2"}
{"at_ms":3,"event":"domain_lost","cause":"late"}
{"at_ms":4,"event":"job_cancelled","job":"k1"}
{"at_ms":5,"event":"domain_lost","cause":"late"}
)",
                 events);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 3 }, EventsOfJob(events, "k1").size());
  }

  // The record of an incident has the last lines of some hosts only, quoted and
  // given twice.
  void StopsOfRecordCutShortAreNamedAsUnexplained()
  {
    const std::string record =
      R"(>     ##### Case 1. Deployment d.
>     == Log of a-2/host (lines that name the request)
>     {"at_ms":1565348,"event":"run_ended","job":"k1","step":0,"task":9,"run":1,"worker":"w1","how":"stopped"}
>     {"at_ms":1565349,"event":"run_ended","job":"k1","step":0,"task":3,"run":1,"worker":"w2","how":"stopped"}
>
>     == Log of a-3/host (lines that name the request)
>     {"at_ms":1554790,"event":"call","kind":"submit","path":"/q/k1","outcome":"accepted","took_ms":18,"proof_ms":1597,"job":"k1"}
)";
    std::vector<HostEvent> events;
    std::istringstream stream(record + record);
    ReadEvents(stream, "-", events);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 3 }, events.size());
    CPPUNIT_ASSERT_EQUAL(std::string("a-2/host"), events[0].host);
    CPPUNIT_ASSERT_EQUAL(std::string("a-3/host"), events[2].host);
    const std::string gaps = JoinLines(FindGaps(events, "k1"));
    AssertContains(gaps, "why 2 runs were stopped");
    AssertContains(gaps, "whether a task was started after at_ms=1565349");
    AssertContains(gaps, "which host held the domain");
    AssertContains(gaps, "other hosts did than a-2/host a-3/host");
  }

  void StopAndIdleTimeAreExplainedFromTheirOwnLines()
  {
    std::vector<HostEvent> events;
    AppendEvents(
      "e1",
      R"({"at_ms":1000,"event":"domain_takeover","term":4,"previous_holder":"e2","committed":1}
{"at_ms":7000,"event":"run_ended","job":"k1","step":0,"task":2,"run":1,"worker":"w1","how":"stopped","cause":"preempted"}
{"at_ms":10000,"event":"job_idle","job":"k1","priority":2,"idle_ms":3000,"reason":"rack","until_ms":900,"needs":3,"fits":21,"term":4}
)",
      events);
    const std::string causes = JoinLines(FindCauses(events, "k1"));
    AssertContains(causes, "1 run ended by an order of the holder: preempted");
    AssertContains(causes,
                   "nothing of it had run for 3000 ms: rack, for at most 900 "
                   "ms more; 3 tasks have to start, 21 fit, in term 4");
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, FindGaps(events, "k1").size());
  }

  // Failure: the time of the last run was read of a job that had none.
  void JobThatNeverRanHasNoGapAfterItsLastRun()
  {
    std::vector<HostEvent> events;
    AppendEvents(
      "e1",
      R"({"at_ms":1000,"event":"domain_takeover","term":4,"previous_holder":"e2","committed":1}
{"at_ms":10000,"event":"job_idle","job":"k1","priority":2,"idle_ms":3000,"reason":"no_room","needs":3,"fits":1,"term":4}
)",
      events);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, FindGaps(events, "k1").size());
  }

  void HostBeforeEachEventIsRead()
  {
    std::vector<HostEvent> events;
    AppendEvents("all",
                 R"(  36.30 e1 {"at_ms":1,"event":"stopped"}
  36.31 e2 {"at_ms":2,"event":"stopped"}
)",
                 events);
    CPPUNIT_ASSERT_EQUAL(std::string("e1"), events[0].host);
    CPPUNIT_ASSERT_EQUAL(std::string("e2"), events[1].host);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(JobTimelineTest);

}
