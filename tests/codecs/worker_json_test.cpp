#include "codecs/worker_json.h"

#include "core/reason.h"
#include "machines/accelerator_range_builder.h"
#include "machines/task_builder.h"
#include "machines/task_list_builder.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace sardinecourse {

namespace {

std::optional<Task>
ArbitraryTask()
{
  Reason reason;
  const int members = *rc::gen::inRange(1, 65);
  const auto range = AcceleratorRangeBuilder()
                       .Worker(WorkerName(*rc::gen::container<std::string>(
                         rc::gen::inRange(' ', '~'))))
                       .First(*rc::gen::inRange(0, 8))
                       .Count(*rc::gen::inRange(0, 9))
                       .Build(reason);
  TaskBuilder builder;
  builder.Name(TaskName("n" + std::to_string(*rc::gen::inRange(0, 99))));
  builder.Team(TeamName("team")).Key(JobKey("key"));
  builder.Term(*rc::gen::inRange(1, 99)).Sequence(*rc::gen::inRange(0, 99));
  builder.Members(members).Member(*rc::gen::inRange(0, members));
  builder.Range(*range).Cores(*rc::gen::inRange(0, 128));
  builder.RunTime(Milliseconds(*rc::gen::inRange(0, 100000)));
  builder.State(static_cast<TaskState>(*rc::gen::inRange(0, 6)));
  return builder.Build(reason);
}

}

class WorkerJsonTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(WorkerJsonTest);
  CPPUNIT_TEST(TaskListRoundTrips);
  CPPUNIT_TEST(MalformedTextIsRefused);
  CPPUNIT_TEST_SUITE_END();

public:
  void TaskListRoundTrips()
  {
    CPPUNIT_ASSERT(rc::check("task list", [] {
      Reason reason;
      TaskListBuilder builder;
      const int since = *rc::gen::inRange(0, 100);
      builder.Since(since).Version(since + *rc::gen::inRange(1, 100));
      builder.Tasks({ *ArbitraryTask(), *ArbitraryTask() });
      const auto list = builder.Gone({ TaskName("gone") }).Build(reason);
      RC_ASSERT(DecodeTaskList(EncodeTaskList(*list), reason) == list);
    }));
  }

  void MalformedTextIsRefused()
  {
    Reason reason;
    CPPUNIT_ASSERT(!DecodeTask("[]", reason));
    CPPUNIT_ASSERT(!DecodeTask(R"({"name":"a","state":"odd"})", reason));
    CPPUNIT_ASSERT(
      !DecodeTaskList(R"({"version":2,"since":0,"tasks":[1]})", reason));
    CPPUNIT_ASSERT(!DecodeSavedProgress("{}", reason));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WorkerJsonTest);

}
