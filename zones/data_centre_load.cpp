#include "zones/data_centre_load.h"

#include "core/reason.h"
#include "machines/accelerator_range_builder.h"
#include "zones/gang_placement_builder.h"

#include <algorithm>
#include <bit>

namespace sardinecourse {

std::vector<AcceleratorRange>
DataCentreLoad::FreeRanges(std::int32_t aWorker) const
{
  std::vector<AcceleratorRange> ranges;
  AcceleratorMask remaining = this->occupancy[aWorker].Free();
  while (remaining != 0) {
    const int first = std::countr_zero(remaining);
    const int count = std::countr_one(remaining >> first);
    Reason reason;
    const std::optional<AcceleratorRange> range =
      AcceleratorRangeBuilder()
        .Worker(this->workers[aWorker].Name())
        .First(first)
        .Count(count)
        .Build(reason);
    if (range) {
      ranges.push_back(*range);
    }
    remaining &= ~RangeMask(first, count);
  }
  return ranges;
}

std::span<const MemberPlace>
DataCentreLoad::PlacesOf(std::int32_t aGang) const
{
  const std::int32_t first = this->firstPlaces[aGang];
  return std::span(this->places)
    .subspan(first, this->firstPlaces[aGang + 1] - first);
}

std::span<const std::int32_t>
DataCentreLoad::GangsOn(std::int32_t aWorker) const
{
  const std::int32_t first = this->firstGangs[aWorker];
  return std::span(this->gangs)
    .subspan(first, this->firstGangs[aWorker + 1] - first);
}

std::optional<std::int32_t>
DataCentreLoad::TeamOf(std::int32_t aGang) const
{
  const std::int32_t team = this->gangTeams[aGang];
  return team < 0 ? std::nullopt : std::optional(team);
}

std::optional<std::int32_t>
DataCentreLoad::FindTeam(const TeamName& aTeam) const
{
  const auto team = std::find_if(
    this->teams.begin(), this->teams.end(), [&](const Team& aCandidate) {
      return aCandidate.Name() == aTeam;
    });
  if (team == this->teams.end()) {
    return std::nullopt;
  }
  return static_cast<std::int32_t>(team - this->teams.begin());
}

std::optional<GangPlacement>
DataCentreLoad::PlacementAt(const std::vector<MemberPlace>& aPlaces) const
{
  Reason reason;
  std::vector<AcceleratorRange> members;
  members.reserve(aPlaces.size());
  for (const MemberPlace& place : aPlaces) {
    const Worker& worker = this->workers[place.Worker()];
    const std::optional<AcceleratorRange> range = AcceleratorRangeBuilder()
                                                    .Worker(worker.Name())
                                                    .First(place.First())
                                                    .Count(place.Count())
                                                    .Build(reason);
    if (!range) {
      return std::nullopt;
    }
    members.push_back(*range);
  }
  const Worker& first = this->workers[aPlaces.front().Worker()];
  return GangPlacementBuilder()
    .Rack(first.Rack())
    .Members(std::move(members))
    .Build(reason);
}

}
