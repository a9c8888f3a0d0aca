#include "codecs/domain_backlog_json.h"
#include "contracts/domain_backlog_builder.h"
#include "contracts/table_row_builder.h"
#include "scheduling/known_backlog.h"
#include "scheduling/store_rows.h"
#include "tests/scheduling/domain_world.h"
#include "zones/refusals/backlog_estimate.h"

#include <cppunit/extensions/HelperMacros.h>

namespace sardinecourse {

namespace {

constexpr Instant kNow{ Milliseconds(1'000'000) };
constexpr Milliseconds kWait{ 40'000 };
const ServiceName kService("fretdesk");

std::vector<TableRow>
MakeRows(std::int64_t aRevision)
{
  return { Valid(
    TableRowBuilder()
      .Table(kDomainTable)
      .Key(kBacklogRow)
      .Revision(aRevision)
      .Value(EncodeDomainBacklog(Valid(
        DomainBacklogBuilder().Waits({ { { kService, 1 }, kWait } }))))) };
}

}

/** The backlog of a fleet that is asked for too much: what the holder states
 * and when a host relies on it. */
class BacklogTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(BacklogTest);
  CPPUNIT_TEST(CrowdOfJobsIsStatedByPriority);
  CPPUNIT_TEST(FreeFleetHasNoBacklog);
  CPPUNIT_TEST(StatementOfUnknownAgeIsNotUsed);
  CPPUNIT_TEST(StatementSeenToChangeIsUsedForAWhile);
  CPPUNIT_TEST_SUITE_END();

public:
  void CrowdOfJobsIsStatedByPriority()
  {
    DomainWorld world(2, 2);
    world.PollAll();
    for (const std::int32_t priority : { 0, 1, 2 }) {
      // 20 whole workers for 1 s each, on 2 workers.
      world.Submit(MakeAdmitted("job-" + std::to_string(priority),
                                priority,
                                { Valid(WholeWorkerGang(20)) }),
                   1000,
                   false);
    }
    const auto waits = EstimateBacklog(world.Domain(), world.Now());
    const DomainBacklog backlog =
      Valid(DomainBacklogBuilder().Waits(PublishedBacklog(waits)));
    CPPUNIT_ASSERT(Milliseconds(10'000) == backlog.WaitOf(kService, 0));
    CPPUNIT_ASSERT(Milliseconds(20'000) == backlog.WaitOf(kService, 1));
    CPPUNIT_ASSERT(Milliseconds(30'000) == backlog.WaitOf(kService, 7));
    CPPUNIT_ASSERT(Milliseconds(0) == backlog.WaitOf(ServiceName("other"), 7));
  }

  void FreeFleetHasNoBacklog()
  {
    DomainWorld world(2, 2);
    world.PollAll();
    world.Submit(
      MakeAdmitted("job", 1, { Valid(QuarterStep(4)) }), 1000, false);
    CPPUNIT_ASSERT(
      PublishedBacklog(EstimateBacklog(world.Domain(), world.Now())).empty());
  }

  // The holder that wrote the row may be gone since long.
  void StatementOfUnknownAgeIsNotUsed()
  {
    KnownBacklog known;
    known.Update(MakeRows(7), kNow);
    CPPUNIT_ASSERT(known.Fresh(kNow).All().empty());
    known.NoteUnchanged(kNow + Milliseconds(100));
    CPPUNIT_ASSERT(known.Fresh(kNow + Milliseconds(100)).All().empty());
  }

  void StatementSeenToChangeIsUsedForAWhile()
  {
    KnownBacklog known;
    known.NoteUnchanged(kNow);
    known.Update(MakeRows(7), kNow + Milliseconds(1000));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 7 }, known.Revision());
    CPPUNIT_ASSERT(kWait ==
                   known.Fresh(kNow + Milliseconds(4900)).WaitOf(kService, 1));
    CPPUNIT_ASSERT(known.Fresh(kNow + Milliseconds(5000)).All().empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BacklogTest);

}
