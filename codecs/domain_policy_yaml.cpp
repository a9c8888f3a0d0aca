#include "codecs/domain_policy_yaml.h"

#include "codecs/yaml_reader.h"
#include "contracts/domain_policy_builder.h"

namespace sardinecourse {

namespace {

/** Upper bound of most_waste: preemption for a job never loses more than this
 * many times the job's own work. */
constexpr double kMaxPreemptionWaste = 100.0;

}

std::optional<DomainPolicy>
ReadDomainPolicy(YamlReader& aReader, Reason& aReason)
{
  const auto share = [&aReader](const char* aKey, double aDefault) {
    return aReader.Number(aKey, aDefault, 0.0, 1.0);
  };
  const DomainPolicy defaults;
  return DomainPolicyBuilder()
    .BatchHeadroom(share("batch_headroom", defaults.BatchHeadroom()))
    .BatchWaitShare(share("batch_patience", defaults.BatchWaitShare()))
    .Headroom(share("headroom", defaults.Headroom()))
    .MaxPreemptionWaste(aReader.Number(
      "most_waste", defaults.MaxPreemptionWaste(), 0.0, kMaxPreemptionWaste))
    .LocalityWaitShare(share("near_patience", defaults.LocalityWaitShare()))
    .UrgentLocalityWaitShare(
      share("urgent_near_patience", defaults.UrgentLocalityWaitShare()))
    .IsPaceUsed(aReader.Boolean("use_pace", defaults.IsPaceUsed()))
    .IsRoomShared(aReader.Boolean("share_room", defaults.IsRoomShared()))
    .AreKindsSeparated(
      aReader.Boolean("separate_kinds", defaults.AreKindsSeparated()))
    .Build(aReason);
}

}
