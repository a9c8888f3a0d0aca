#include "zones/evacuation/start_admission.h"

#include "contracts/domain_timing_builder.h"
#include "core/reason.h"
#include "zones/evacuation/evacuation_view_builder.h"

#include <cppunit/extensions/HelperMacros.h>

namespace sardinecourse {

namespace {

const Instant kConfirmed{ Milliseconds(1'000'000) };
constexpr Milliseconds kBound{ 5000 };
const DataCentreName kClosed("closed");
const DataCentreName kOther("other");

}

/** Which starts an evacuation and the age of its view allow. */
class StartAdmissionTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(StartAdmissionTest);
  CPPUNIT_TEST(EvacuatedDataCentreIsClosedAtAnyAge);
  CPPUNIT_TEST(NoStartCanBeCarriedOutAfterTheBound);
  CPPUNIT_TEST(UnconfirmedViewAdmitsNothing);
  CPPUNIT_TEST(WithoutBoundAgeDoesNotMatter);
  CPPUNIT_TEST(ShortBoundIsRefused);
  CPPUNIT_TEST_SUITE_END();

public:
  void EvacuatedDataCentreIsClosedAtAnyAge()
  {
    for (const Milliseconds age : { Milliseconds(0), kBound }) {
      CPPUNIT_ASSERT(AdmitStart(kClosed, View(), Timing(), kConfirmed + age) ==
                     StartAdmission::kClosed);
    }
    CPPUNIT_ASSERT(AdmitStart(kOther, View(), Timing(), kConfirmed) ==
                   StartAdmission::kOpen);
  }

  /** An evacuation may have been acknowledged right after the view was
   * confirmed, and an order may take the whole start window. */
  void NoStartCanBeCarriedOutAfterTheBound()
  {
    for (Milliseconds age{ 0 }; age < 2 * kBound; ++age) {
      const bool isOpen =
        AdmitStart(kOther, View(), Timing(), kConfirmed + age) ==
        StartAdmission::kOpen;
      CPPUNIT_ASSERT(!isOpen || age + DomainTiming::kStartWindow <= kBound);
      // Two confirmations, each 800 ms after the last, and a call to the store.
      CPPUNIT_ASSERT(isOpen || age > Milliseconds(3100));
    }
  }

  void UnconfirmedViewAdmitsNothing()
  {
    CPPUNIT_ASSERT(AdmitStart(kOther, EvacuationView(), Timing(), kConfirmed) ==
                   StartAdmission::kViewTooOld);
  }

  void WithoutBoundAgeDoesNotMatter()
  {
    const Instant later = kConfirmed + Milliseconds(60'000);
    CPPUNIT_ASSERT(
      AdmitStart(kOther, EvacuationView(), DomainTiming(), later) ==
      StartAdmission::kOpen);
    CPPUNIT_ASSERT(AdmitStart(kClosed, View(), DomainTiming(), later) ==
                   StartAdmission::kClosed);
  }

  void ShortBoundIsRefused()
  {
    Reason reason;
    const Milliseconds least = DomainTimingBuilder::kMinEvacuateTime;
    CPPUNIT_ASSERT(!DomainTimingBuilder()
                      .EvacuateTime(least - Milliseconds(1))
                      .Build(reason));
    CPPUNIT_ASSERT(DomainTimingBuilder().EvacuateTime(least).Build(reason));
  }

private:
  static EvacuationView View()
  {
    Reason reason;
    return EvacuationViewBuilder()
      .Closed({ kClosed })
      .ConfirmedAt(kConfirmed)
      .Build(reason)
      .value();
  }

  static DomainTiming Timing()
  {
    Reason reason;
    return DomainTimingBuilder().EvacuateTime(kBound).Build(reason).value();
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StartAdmissionTest);

}
