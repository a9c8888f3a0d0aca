#pragma once

#include "contracts/guarantee_builder.h"
#include "contracts/job_builder.h"
#include "contracts/placement_weights_builder.h"
#include "contracts/shape_builder.h"
#include "contracts/team_builder.h"
#include "core/reason.h"
#include "machines/worker_builder.h"
#include "zones/data_centre_load_builder.h"
#include "zones/running_gang_builder.h"
#include "zones/waiting_job_builder.h"

#include <string>
#include <utility>
#include <vector>

namespace sardinecourse {

/** Builds a value whose fields are valid; throws std::bad_optional_access
 * otherwise. */
template<typename Builder>
auto
BuildValid(const Builder& aBuilder)
{
  Reason reason;
  return aBuilder.Build(reason).value();
}

inline Shape
MakeShape(std::int32_t aMembers, std::int32_t aAccelerators)
{
  return BuildValid(
    ShapeBuilder().Members(aMembers).AcceleratorsPerMember(aAccelerators));
}

/** Workers of 64 cores and 128 GB, named by rack and position in it. */
inline std::vector<Worker>
MakeWorkers(std::int32_t aRacks,
            std::int32_t aWorkersPerRack,
            std::int32_t aAccelerators)
{
  constexpr std::int32_t kCores = 64;
  constexpr std::int32_t kMemoryMb = 128 * 1024;
  std::vector<Worker> workers;
  for (std::int32_t rack = 0; rack < aRacks; ++rack) {
    const std::string rackName = "rack-" + std::to_string(1000 + rack);
    for (std::int32_t worker = 0; worker < aWorkersPerRack; ++worker) {
      workers.push_back(
        BuildValid(WorkerBuilder()
                     .Name(WorkerName(rackName + "-" + std::to_string(worker)))
                     .Rack(RackName(rackName))
                     .Accelerators(aAccelerators)
                     .Cores(kCores)
                     .Memory(kMemoryMb)));
    }
  }
  return workers;
}

inline Team
MakeTeam(const std::string& aName,
         std::int32_t aQuota,
         const std::vector<std::pair<Shape, std::int32_t>>& aGuarantees)
{
  std::vector<Guarantee> guarantees;
  guarantees.reserve(aGuarantees.size());
  for (const auto& [shape, count] : aGuarantees) {
    guarantees.push_back(BuildValid(GuaranteeBuilder()
                                      .Team(TeamName(aName))
                                      .DataCentre(DataCentreName("one"))
                                      .GangShape(shape)
                                      .Count(count)));
  }
  return BuildValid(TeamBuilder()
                      .Name(TeamName(aName))
                      .Quota(aQuota)
                      .Guarantees(std::move(guarantees)));
}

inline WaitingJob
MakeWaiting(const std::string& aTeam,
            const std::string& aKey,
            Shape aShape,
            Instant aSubmitted,
            bool aUrgent = false)
{
  const Job job = BuildValid(JobBuilder()
                               .Team(TeamName(aTeam))
                               .Key(JobKey(aKey))
                               .GangShape(aShape)
                               .Urgent(aUrgent));
  return BuildValid(WaitingJobBuilder().Request(job).Submitted(aSubmitted));
}

/** The running gang that results from a start decision. */
inline RunningGang
MakeRunning(const Job& aJob, const GangPlacement& aPlacement, Instant aNow)
{
  return BuildValid(RunningGangBuilder()
                      .Team(aJob.Team())
                      .Key(aJob.Key())
                      .Placement(aPlacement)
                      .GangShape(aJob.GangShape())
                      .CoresPerMember(aJob.CoresPerMember())
                      .MemoryPerMember(aJob.MemoryPerMember())
                      .Urgent(aJob.Urgent())
                      .Started(aNow)
                      .LastCheckpoint(aNow));
}

}
