#include "codecs/admitted_job_json.h"
#include "codecs/job_progress_json.h"
#include "contracts/job_progress_builder.h"
#include "platform/schema.h"
#include "scheduling/archive_batch.h"
#include "scheduling/domain_job_api.h"
#include "tests/scheduling/fake_row_store.h"
#include "tests/scheduling/sample_jobs.h"
#include "zones/domain_state.h"

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <cppunit/extensions/HelperMacros.h>
#include <iostream>
#include <rapidcheck.h>

namespace sardinecourse {

namespace {

constexpr int kHosts = 2;
constexpr int kJobs = 3;
constexpr int kNames = 3;
/** A call gives up after its first failed attempt, so that rounds are short. */
constexpr Milliseconds kCallTime{ 120 };
constexpr int kRounds = 1;

enum class Act : std::uint8_t
{
  kSubmit,
  kCancel,
  kShow,
  kConfigure,
  kAdopt,
  kFinish,
  kArchive,
  kApplyLate
};

/** One action of a history; aside happens between the call's steps. */
struct Action
{
  Act act = Act::kShow;
  int number = 0;
  StoreFault fault = StoreFault::kNone;
  Act aside = Act::kShow;
  int asideStep = 0;
};

void
showValue(const Action& aAction, std::ostream& aTo)
{
  aTo << '{' << static_cast<int>(aAction.act) << ' ' << aAction.number << ' '
      << static_cast<int>(aAction.fault) << ' '
      << static_cast<int>(aAction.aside) << '@' << aAction.asideStep << '}';
}

rc::Gen<Action>
GenAction()
{
  return rc::gen::build<Action>(
    rc::gen::set(&Action::act,
                 rc::gen::weightedElement<Act>({ { 6, Act::kSubmit },
                                                 { 3, Act::kCancel },
                                                 { 6, Act::kShow },
                                                 { 3, Act::kConfigure },
                                                 { 2, Act::kAdopt },
                                                 { 2, Act::kFinish },
                                                 { 3, Act::kArchive },
                                                 { 3, Act::kApplyLate } })),
    rc::gen::set(&Action::number, rc::gen::inRange(0, 1000)),
    rc::gen::set(
      &Action::fault,
      rc::gen::weightedElement<StoreFault>({ { 8, StoreFault::kNone },
                                             { 1, StoreFault::kLostApplied },
                                             { 1, StoreFault::kLostUnapplied },
                                             { 2, StoreFault::kLostLate },
                                             { 1, StoreFault::kNotWritten } })),
    rc::gen::set(&Action::aside,
                 rc::gen::weightedElement<Act>({ { 6, Act::kShow },
                                                 { 1, Act::kConfigure },
                                                 { 1, Act::kFinish },
                                                 { 2, Act::kArchive },
                                                 { 1, Act::kApplyLate } })),
    rc::gen::set(&Action::asideStep, rc::gen::inRange(0, 3)));
}

/** What callers were told of a job and have sent. */
struct Told
{
  bool isAccepted = false;
  bool mayBeStored = false;
  bool isCancelSent = false;
  /** A cancel was answered: as done, or that there is no such job. */
  bool isCancelled = false;
  bool isDenied = false;
};

/** Plays a history of calls at two hosts that adopt configurations at different
 * times, and checks each answer against what callers were told before. */
class Player
{
public:
  Player()
  {
    this->Configure(0);
    for (int host = 0; host < kHosts; ++host) {
      this->Adopt(host);
    }
    this->store.Put(kDomainTable, kTermRow, "1");
    this->termRevision = this->store.Find(kDomainTable, kTermRow)->Revision();
  }

  void Play(const Action& aAction)
  {
    const auto aside = [this, aAction] {
      this->Change(aAction.aside, aAction.number, StoreFault::kNone);
    };
    const int host = aAction.number % kHosts;
    const int job = aAction.number / kHosts % kJobs;
    if (aAction.act != Act::kSubmit && aAction.act != Act::kCancel &&
        aAction.act != Act::kShow) {
      this->Change(aAction.act, aAction.number, aAction.fault);
      return;
    }
    this->store.faults = { aAction.fault };
    if (aAction.asideStep == 0) {
      this->store.beforeCommit = aside;
    } else {
      this->store.beforeReads.assign(aAction.asideStep, [] {});
      this->store.beforeReads.back() = aside;
    }
    if (aAction.act == Act::kSubmit) {
      this->Submit(host, job);
    } else if (aAction.act == Act::kCancel) {
      this->Cancel(host, job);
    } else {
      this->Show(host, job);
    }
    this->store.faults.clear();
    this->store.beforeCommit = nullptr;
    this->store.beforeReads.clear();
  }

  /** Lets all late transactions take effect and asks for every job. */
  void Finish()
  {
    while (this->store.HasLate()) {
      this->store.ApplyLate();
    }
    for (int host = 0; host < kHosts; ++host) {
      for (int job = 0; job < kJobs; ++job) {
        this->Show(host, job);
      }
    }
  }

private:
  static std::string KeyOf(int aJob)
  {
    return "000000000000000" + std::to_string(aJob);
  }

  void Change(Act aAct, int aNumber, StoreFault aFault)
  {
    const int job = aNumber / kHosts % kJobs;
    switch (aAct) {
      case Act::kConfigure:
        this->Configure(aNumber);
        break;
      case Act::kAdopt:
        this->Adopt(aNumber % kHosts);
        break;
      case Act::kFinish:
        this->EndJob(job);
        break;
      case Act::kArchive:
        this->Archive(job, aFault);
        break;
      case Act::kApplyLate:
        this->store.ApplyLate();
        break;
      default:
        break;
    }
  }

  void Configure(int aNumber)
  {
    this->store.Put("op",
                    "config",
                    R"({"Version":)" + std::to_string(++this->version) +
                      R"(,"Routes":[{"Name":"r)" +
                      std::to_string(aNumber % kNames) +
                      R"(","Host":"a","PathPrefix":"/one/","Service":"s1"}],)"
                      R"("Tenants":[{"Name":"t1","ApiKeys":["k1"]}]})");
  }

  void Adopt(int aHost)
  {
    Reason reason;
    this->catalogs.at(aHost).Publish(
      *platform::DecodeCatalog(*this->store.Find("op", "config"), reason));
  }

  /** The holder stores the end of the job's last task. */
  void EndJob(int aJob)
  {
    const TableRow* row = this->store.Find(kProgressTable, KeyOf(aJob));
    Reason reason;
    const auto progress =
      row == nullptr ? std::nullopt : DecodeJobProgress(row->Value(), reason);
    if (progress && !IsFinal(progress->State())) {
      this->store.Put(kProgressTable,
                      KeyOf(aJob),
                      EncodeJobProgress(Valid(JobProgressBuilder()
                                                .Queue(progress->Queue())
                                                .Address(progress->Address())
                                                .State(JobState::kFinished))));
    }
  }

  void Archive(int aJob, StoreFault aFault)
  {
    const TableRow* job = this->store.Find(kJobTable, KeyOf(aJob));
    const TableRow* progress = this->store.Find(kProgressTable, KeyOf(aJob));
    if (job == nullptr || progress == nullptr) {
      return;
    }
    Reason reason;
    DomainState domain{ DomainTiming(), Instant(), Instant() };
    domain.AddJob(*DecodeAdmittedJob(job->Value(), reason),
                  DecodeJobProgress(progress->Value(), reason),
                  progress->Revision(),
                  Instant());
    if (!domain.FindJob(JobKey(KeyOf(aJob)))->Final()) {
      return;
    }
    domain.Retire(JobKey(KeyOf(aJob)));
    const ArchiveBatch batch = ArchiveBatch::Collect(
      domain, this->termRevision, Instant(Milliseconds(10'000)));
    const auto fault = std::exchange(this->store.faults, { aFault });
    this->Run(this->store.Commit(batch.Transaction(), reason));
    this->store.faults = fault;
  }

  template<typename Result>
  Result Run(boost::asio::awaitable<Result> aCall)
  {
    boost::asio::io_context context(1);
    Result result;
    boost::asio::co_spawn(
      context,
      std::move(aCall),
      [&result](const std::exception_ptr&, const Result& aResult) {
        result = aResult;
      });
    context.run();
    return result;
  }

  JobReply Send(int aHost, int aJob, JobCall::Kind aKind)
  {
    CurrentCatalog& catalog = this->catalogs.at(aHost);
    catalog.NoteConfirmed(Clock::now());
    JobCall call;
    call.kind = aKind;
    call.authority = "a";
    call.path = "/one/" + KeyOf(aJob);
    call.key = "k1";
    call.plan = Valid(JobPlanBuilder().Steps({ Valid(QuarterStep(1)) }));
    call.deadline = Clock::now() + kCallTime;
    boost::asio::io_context context(1);
    DomainJobApi<FakeRowStore, platform::Schema> jobApi(
      context,
      this->store,
      catalog,
      this->metrics,
      Milliseconds(5000),
      [this, aHost](const TableRow&) { this->Adopt(aHost); });
    JobReply reply;
    boost::asio::co_spawn(context,
                          jobApi.Answer(call),
                          [&reply](const std::exception_ptr&,
                                   const JobReply& aReply) { reply = aReply; });
    context.run();
    return reply;
  }

  void Submit(int aHost, int aJob)
  {
    Told& told = this->told.at(aJob);
    const JobReply reply = this->Send(aHost, aJob, JobCall::Kind::kSubmit);
    if (reply.kind == JobReply::Kind::kAccepted) {
      // Accepted after an answered cancel, it must be the cancelled job.
      RC_ASSERT(!told.isDenied);
      told.isAccepted = true;
    } else if (reply.kind == JobReply::Kind::kNotKnown) {
      told.mayBeStored = true;
    } else {
      RC_ASSERT(reply.kind == JobReply::Kind::kNotRun);
      RC_ASSERT(!told.isAccepted || told.isCancelSent ||
                reply.retryAfter.count() > 0);
    }
  }

  void Cancel(int aHost, int aJob)
  {
    Told& told = this->told.at(aJob);
    told.isCancelSent = true;
    const JobReply reply = this->Send(aHost, aJob, JobCall::Kind::kCancel);
    if (reply.kind == JobReply::Kind::kNoJob) {
      RC_ASSERT(!told.isAccepted);
      told.isDenied = true;
    } else if (reply.kind == JobReply::Kind::kCancelled) {
      RC_ASSERT(!told.isDenied);
      RC_ASSERT(told.isAccepted || told.mayBeStored);
      told.isCancelled = true;
    } else {
      RC_ASSERT(reply.kind == JobReply::Kind::kNotKnown);
    }
  }

  void Show(int aHost, int aJob)
  {
    const Told& told = this->told.at(aJob);
    const JobReply reply = this->Send(aHost, aJob, JobCall::Kind::kShow);
    if (reply.kind == JobReply::Kind::kNoJob) {
      RC_ASSERT(!told.isAccepted);
      RC_ASSERT(!told.isCancelled);
      return;
    }
    RC_ASSERT(reply.kind == JobReply::Kind::kState);
    RC_ASSERT(told.isAccepted || told.mayBeStored);
    RC_ASSERT(!told.isDenied);
    RC_ASSERT(reply.state != JobState::kFailed);
    RC_ASSERT(reply.state != JobState::kCancelled || told.isCancelSent);
    RC_ASSERT(!told.isCancelled || IsFinal(reply.state));
  }

  FakeRowStore store;
  std::array<CurrentCatalog, kHosts> catalogs;
  std::array<Told, kJobs> told;
  DomainMetrics metrics;
  std::int64_t termRevision = 0;
  int version = 0;
};

}

/** Callers' answers under random histories of lost and late transactions,
 * configurations that rename the route, hosts that adopt them late, and jobs
 * that are archived while they are asked for: no accepted job becomes unknown,
 * none is shown as cancelled or failed without cause, and none that was refused
 * or denied is stored. */
class JobAnswersFuzzTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(JobAnswersFuzzTest);
  CPPUNIT_TEST(AnswersMatchWhatWasToldBefore);
  CPPUNIT_TEST_SUITE_END();

public:
  void AnswersMatchWhatWasToldBefore()
  {
    for (int round = 0; round < kRounds; ++round) {
      CPPUNIT_ASSERT(rc::check("calls about jobs", [] {
        const auto actions = *rc::gen::container<std::vector<Action>>(
          *rc::gen::inRange(5, 60), GenAction());
        Player player;
        for (const Action& action : actions) {
          player.Play(action);
        }
        player.Finish();
      }));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(JobAnswersFuzzTest);

}
