#include "zones/running_gang_conversion.h"

#include "contracts/shape_builder.h"
#include "core/reason.h"
#include "zones/gang_placement_builder.h"
#include "zones/gang_status.h"
#include "zones/running_gang_builder.h"

namespace sardinecourse {

std::optional<RunningGang>
MakeRunningGang(const GangStatus& aGang,
                const RackName& aRack,
                Instant aStarted)
{
  Reason reason;
  std::vector<AcceleratorRange> places;
  for (const Task& task : aGang.Tasks()) {
    places.push_back(task.Range());
  }
  const Task& first = aGang.Tasks().front();
  const auto shape = ShapeBuilder()
                       .Members(first.Members())
                       .AcceleratorsPerMember(first.Range().Count())
                       .Build(reason);
  const auto placement =
    GangPlacementBuilder().Rack(aRack).Members(places).Build(reason);
  if (!shape || !placement) {
    return std::nullopt;
  }
  RunningGangBuilder builder;
  builder.Team(aGang.Team()).Key(aGang.Key()).Placement(*placement);
  builder.GangShape(*shape).Urgent(first.Urgent());
  builder.CoresPerMember(first.Cores()).MemoryPerMember(first.Memory());
  builder.Started(aStarted).LastCheckpoint(aStarted);
  builder.ExpectedRunTime(first.RunTime());
  return builder.Build(reason);
}

}
