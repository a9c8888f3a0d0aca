#include "codecs/admitted_job_json.h"
#include "codecs/domain_owner_json.h"
#include "codecs/job_progress_json.h"
#include "codecs/logged_event_json.h"
#include "codecs/pending_json.h"
#include "contracts/admitted_job.h"
#include "contracts/domain_owner_builder.h"
#include "contracts/job_progress_builder.h"
#include "contracts/logged_event.h"
#include "tests/codecs/message_mutator.h"
#include "tests/scheduling/sample_jobs.h"

#include <cppunit/extensions/HelperMacros.h>

namespace sardinecourse {

/** Feeds damaged rows and log lines to the decoders. A decoder must return
 * without an exception, give a reason when it returns empty, and otherwise
 * return a value that can be encoded again. */
class DecoderFuzzTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(DecoderFuzzTest);
  CPPUNIT_TEST(DamagedAdmittedJobIsRefusedOrReencodable);
  CPPUNIT_TEST(DamagedProgressIsRefusedOrReencodable);
  CPPUNIT_TEST(DamagedOwnerIsRefusedOrReencodable);
  CPPUNIT_TEST(DamagedLogLineIsRefusedOrReencodable);
  CPPUNIT_TEST(DamagedPendingCountIsNeverNegative);
  CPPUNIT_TEST_SUITE_END();

public:
  void DamagedAdmittedJobIsRefusedOrReencodable()
  {
    const std::string sample = EncodeAdmittedJob(MakeAdmitted(
      "j",
      1,
      { Valid(QuarterStep(3).Label("a").DataRack(RackName("r1"))),
        Valid(WholeWorkerGang(4).After({ 0 }).PrefersOneRack(true)) }));
    this->Check("an admitted job", sample, [](const std::string& aText) {
      Reason reason;
      const auto job = DecodeAdmittedJob(aText, reason);
      RC_ASSERT(job || !reason.Message().empty());
      if (job) {
        RC_ASSERT(!EncodeAdmittedJob(*job).empty());
      }
    });
  }

  void DamagedProgressIsRefusedOrReencodable()
  {
    const std::string sample = EncodeJobProgress(
      Valid(JobProgressBuilder()
              .Queue(QueueName("q"))
              .State(JobState::kRunning)
              .Marks("s.D")
              .FailedRuns({ FailedRun{ 0, 1 } })
              .Placements({ UnitPlacement{
                0, 2, "saved", { WorkerName("w1"), WorkerName("w2") } } })));
    this->Check("progress", sample, [](const std::string& aText) {
      Reason reason;
      const auto progress = DecodeJobProgress(aText, reason);
      RC_ASSERT(progress || !reason.Message().empty());
      if (progress) {
        RC_ASSERT(!EncodeJobProgress(*progress).empty());
      }
    });
  }

  void DamagedOwnerIsRefusedOrReencodable()
  {
    const std::string sample = EncodeDomainOwner(Valid(DomainOwnerBuilder()
                                                         .Host(HostName("a"))
                                                         .Process("p")
                                                         .Term(3)
                                                         .Renewal(7)));
    this->Check("an owner", sample, [](const std::string& aText) {
      Reason reason;
      const auto owner = DecodeDomainOwner(aText, reason);
      RC_ASSERT(owner || !reason.Message().empty());
      if (owner) {
        RC_ASSERT(!EncodeDomainOwner(*owner).empty());
      }
    });
  }

  void DamagedLogLineIsRefusedOrReencodable()
  {
    const std::string sample =
      R"({"at_ms":1700,"event":"run_ended","job":"j","run":2,"how":"done"})";
    this->Check("a logged event", sample, [](const std::string& aText) {
      Reason reason;
      const auto event = DecodeLoggedEvent(aText, reason);
      RC_ASSERT(event || !reason.Message().empty());
      if (event) {
        RC_ASSERT(!EncodeLoggedEvent(*event).empty());
      }
    });
  }

  void DamagedPendingCountIsNeverNegative()
  {
    const std::string sample = EncodePending({ { QueueName("q"), 4 } });
    this->Check("waiting jobs", sample, [](const std::string& aText) {
      RC_ASSERT(DecodePending(aText, QueueName("q")) >= 0);
    });
  }

private:
  template<typename Decode>
  void Check(const char* aDescription,
             const std::string& aSample,
             Decode aDecode)
  {
    const MessageMutator messages({ aSample });
    CPPUNIT_ASSERT(rc::check(
      aDescription, [&messages, &aDecode] { aDecode(messages.Next()); }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DecoderFuzzTest);

}
