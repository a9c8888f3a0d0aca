#pragma once

#include "contracts/admitted_job_builder.h"
#include "contracts/job_plan_builder.h"
#include "contracts/job_step_builder.h"
#include "core/reason.h"
#include "machines/resources_builder.h"
#include "machines/worker_listing_builder.h"

#include <string>
#include <utility>
#include <vector>

namespace sardinecourse {

/** Builds a value that is known to be valid; throws std::bad_optional_access
 * when it is not. */
template<typename Builder>
auto
Valid(const Builder& aBuilder)
{
  Reason reason;
  return aBuilder.Build(reason).value();
}

inline Resources
MakeResources(std::int64_t aMilliCores,
              std::int64_t aMemoryMb,
              std::int64_t aAccelerators)
{
  return Valid(ResourcesBuilder()
                 .MilliCores(aMilliCores)
                 .MemoryMb(aMemoryMb)
                 .Accelerators(aAccelerators));
}

/** A step of aCount independent tasks, each of which needs a quarter of a
 * worker. */
inline JobStepBuilder
QuarterStep(std::int32_t aCount)
{
  return JobStepBuilder()
    .Count(aCount)
    .Need(MakeResources(16'000, 32'768, 2))
    .Estimate(Milliseconds(1000));
}

/** A gang of aCount members, each of which fills a worker. */
inline JobStepBuilder
WholeWorkerGang(std::int32_t aCount)
{
  return JobStepBuilder()
    .Count(aCount)
    .Need(MakeResources(26'000, 68'000, 8))
    .Estimate(Milliseconds(1000))
    .IsGang(true);
}

inline AdmittedJob
MakeAdmitted(const std::string& aKey,
             std::int32_t aPriority,
             std::vector<JobStep> aSteps,
             std::int32_t aMaxAttempts = 3)
{
  return Valid(
    AdmittedJobBuilder()
      .Key(JobKey(aKey))
      .Queue(QueueName("queue-" + std::to_string(aPriority)))
      .Address(
        QueueAddress("a.example/queue-" + std::to_string(aPriority) + "/"))
      .Service(ServiceName("fretdesk"))
      .Team(TeamName("luthiers"))
      .Priority(aPriority)
      .MaxAttempts(aMaxAttempts)
      .Stretch(3.0)
      .Allowance(Milliseconds(1000))
      .Plan(Valid(JobPlanBuilder().Payload("p").Steps(std::move(aSteps)))));
}

/** A worker of 64 cores, 128 GB and 8 accelerators. */
inline WorkerListing
MakeListing(const std::string& aName,
            const std::string& aRack,
            bool aIsLeaving = false,
            const std::string& aDataCentre = "",
            Milliseconds aColdLeft = Milliseconds(0))
{
  Reason reason;
  return Valid(WorkerListingBuilder()
                 .Name(WorkerName(aName))
                 .Service(ServiceName("fretdesk"))
                 .Address(*Endpoint::Parse("127.0.0.1:1", reason))
                 .DataCentre(DataCentreName(aDataCentre))
                 .Rack(RackName(aRack))
                 .Labels({ "a", aRack })
                 .Capacity(MakeResources(64'000, 131'072, 8))
                 .IsLeaving(aIsLeaving)
                 .ColdLeft(aColdLeft));
}

}
