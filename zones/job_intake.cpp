#include "zones/job_intake.h"

#include "contracts/domain_usage_builder.h"
#include "contracts/job_plan.h"
#include "core/reason.h"

#include <algorithm>
#include <map>
#include <string>
#include <utility>

namespace sardinecourse {

namespace {

/** A tracked job with its key and names, and one of its steps. */
constexpr std::int64_t kJobBytes = 800;
constexpr std::int64_t kStepBytes = 250;
/** Jobs that are not urgent leave the rest to urgent ones. */
constexpr std::int64_t kMaxOrdinaryBytes = kMaxIntakeBytes / 4 * 3;
/** Keeps one team from filling the domain. */
constexpr std::int64_t kMaxTeamBytes = kMaxIntakeBytes / 2;
/** A job may take this part of the room that is left, so that small jobs find
 * room when large ones do not, also after hosts have taken jobs by an earlier
 * usage. */
constexpr std::int64_t kShareOfRoom = 64;
constexpr std::int64_t kAmpleBytes = kMaxIntakeBytes / 4;
constexpr std::int64_t kPublishedStep = kMaxIntakeBytes / 64;

}

std::int64_t
IntakeBytesOf(const JobPlan& aPlan)
{
  std::int64_t bytes = kJobBytes +
                       static_cast<std::int64_t>(aPlan.Payload().size()) +
                       aPlan.UnitCount(); // One mark for each unit.
  for (const JobStep& step : aPlan.Steps()) {
    bytes +=
      kStepBytes + static_cast<std::int64_t>(
                     step.Label().size() + step.DataRack().Text().size() +
                     step.After().size() * sizeof(std::int32_t));
  }
  return bytes;
}

bool
HasIntakeRoom(const DomainUsage& aUsage,
              const TeamName& aTeam,
              std::int32_t aPriority,
              std::int64_t aBytes,
              Reason& aReason)
{
  const std::int64_t limit =
    aPriority == 0 ? kMaxIntakeBytes : kMaxOrdinaryBytes;
  const std::int64_t room =
    std::min(limit - aUsage.Bytes(), kMaxTeamBytes - aUsage.BytesOf(aTeam));
  if (aBytes <= room / kShareOfRoom) {
    return true;
  }
  aReason =
    Reason(Step::kAdmission,
           aTeam.Text(),
           "the accepted jobs take " + std::to_string(aUsage.Bytes()) + " of " +
             std::to_string(limit) + " bytes, those of the team " +
             std::to_string(aUsage.BytesOf(aTeam)) + " of " +
             std::to_string(kMaxTeamBytes) + "; a job of " +
             std::to_string(aBytes) + " bytes has to wait");
  return false;
}

DomainUsage
PublishedUsage(const DomainUsage& aUsage)
{
  if (aUsage.Bytes() <= kAmpleBytes) {
    return {};
  }
  const auto rounded = [](std::int64_t aBytes) {
    return aBytes / kPublishedStep * kPublishedStep;
  };
  std::map<TeamName, std::int64_t> teams;
  for (const auto& [team, bytes] : aUsage.Teams()) {
    if (rounded(bytes) > 0) {
      teams[team] = rounded(bytes);
    }
  }
  Reason ignored; // The amounts are not negative.
  return DomainUsageBuilder()
    .Bytes(rounded(aUsage.Bytes() + kPublishedStep - 1))
    .Teams(std::move(teams))
    .Build(ignored)
    .value_or(DomainUsage());
}

}
