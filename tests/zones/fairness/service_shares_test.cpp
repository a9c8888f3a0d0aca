#include "zones/fairness/service_history.h"
#include "zones/fairness/service_shares.h"

#include <cmath>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace sardinecourse {

namespace {

constexpr Instant kStart{ Milliseconds(1'000'000) };
const TeamName kModest("modest");
const TeamName kGreedy("greedy");
const DataCentreName kNorth("north");
const DataCentreName kSouth("south");

}

/** Shares of teams and data centres whose callers compete for room. */
class ServiceSharesTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ServiceSharesTest);
  CPPUNIT_TEST(UnknownTeamHasAllItAskedFor);
  CPPUNIT_TEST(TeamThatAsksForMoreThanItsPartHasNoLowShare);
  CPPUNIT_TEST(TeamThatSplitsItsJobsKeepsItsShare);
  CPPUNIT_TEST(DataCentreIsMeasuredByItsDemand);
  CPPUNIT_TEST(OldWorkIsForgotten);
  CPPUNIT_TEST_SUITE_END();

public:
  void UnknownTeamHasAllItAskedFor()
  {
    const ServiceShares shares{ ServiceHistory() };
    CPPUNIT_ASSERT_EQUAL(1.0, shares.TeamShare(0, kModest));
    CPPUNIT_ASSERT_EQUAL(1.0, shares.DataCentreShare(0, kNorth));
  }

  // Of 200 core-seconds, a team that asked for 1,000 got 120 and one that asked
  // for 100 got 80. An equal part is 100.
  void TeamThatAsksForMoreThanItsPartHasNoLowShare()
  {
    ServiceHistory history;
    history.Add(1, kGreedy, kNorth, 120.0, true, kStart);
    history.Add(1, kGreedy, kNorth, 880.0, false, kStart);
    history.Add(1, kModest, kNorth, 80.0, true, kStart);
    history.Add(1, kModest, kNorth, 20.0, false, kStart);
    const ServiceShares shares(history);
    CPPUNIT_ASSERT_EQUAL(1.0, shares.TeamShare(1, kGreedy));
    CPPUNIT_ASSERT_EQUAL(0.8, shares.TeamShare(1, kModest));
    CPPUNIT_ASSERT_EQUAL(1.0, shares.TeamShare(0, kModest));
  }

  void TeamThatSplitsItsJobsKeepsItsShare()
  {
    rc::check("jobs of the same work give the same share", [] {
      const int parts = *rc::gen::inRange(1, 50);
      const double done = *rc::gen::inRange(1, 1000);
      const double late = *rc::gen::inRange(1, 1000);
      ServiceHistory whole;
      ServiceHistory split;
      whole.Add(2, kModest, kNorth, done, true, kStart);
      whole.Add(2, kModest, kNorth, late, false, kStart);
      for (int part = 0; part < parts; ++part) {
        split.Add(2, kModest, kNorth, done / parts, true, kStart);
        split.Add(2, kModest, kNorth, late / parts, false, kStart);
      }
      for (ServiceHistory* history : { &whole, &split }) {
        history->Add(2, kGreedy, kNorth, 1000.0, true, kStart);
      }
      const double difference = ServiceShares(whole).TeamShare(2, kModest) -
                                ServiceShares(split).TeamShare(2, kModest);
      RC_ASSERT(std::abs(difference) < 1e-6);
    });
  }

  // More callers ask in one data centre than in the other.
  void DataCentreIsMeasuredByItsDemand()
  {
    ServiceHistory history;
    history.Add(1, kModest, kNorth, 300.0, true, kStart);
    history.Add(1, kModest, kNorth, 300.0, false, kStart);
    history.Add(1, kModest, kSouth, 75.0, true, kStart);
    history.Add(1, kModest, kSouth, 25.0, false, kStart);
    const ServiceShares shares(history);
    CPPUNIT_ASSERT_EQUAL(0.5, shares.DataCentreShare(1, kNorth));
    CPPUNIT_ASSERT_EQUAL(0.75, shares.DataCentreShare(1, kSouth));
  }

  void OldWorkIsForgotten()
  {
    ServiceHistory history;
    history.Add(1, kGreedy, kNorth, 1000.0, false, kStart);
    history.Add(1, kModest, kSouth, 10.0, true, kStart + std::chrono::hours(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, history.Teams().size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, history.DataCentres().size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServiceSharesTest);

}
