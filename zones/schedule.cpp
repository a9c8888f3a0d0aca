#include "zones/schedule.h"

#include "contracts/placement_weights.h"
#include "zones/data_centre_load.h"
#include "zones/job_order.h"
#include "zones/scheduling_pass.h"

#include <algorithm>
#include <functional>
#include <tuple>

namespace sardinecourse {

namespace {

/** Limits the time that scoring a rack takes. */
constexpr std::size_t kMaxReferenceShapes = 4;

/** The largest shapes of guaranteed gangs that are not running and of waiting
 * jobs; placement keeps capacity for them. */
std::vector<Shape>
ReferenceShapes(const DataCentreLoad& aLoad,
                const std::vector<WaitingJob>& aWaiting)
{
  std::vector<Shape> shapes;
  const auto add = [&shapes](Shape aShape) {
    if (std::ranges::find(shapes, aShape) == shapes.end()) {
      shapes.push_back(aShape);
    }
  };
  for (const GuaranteeBlock& block : aLoad.GuaranteeBlocks()) {
    add(block.GangShape());
  }
  for (const WaitingJob& job : aWaiting) {
    add(job.Request().GangShape());
  }
  std::ranges::sort(shapes, std::greater(), [](Shape aShape) {
    return std::tuple(aShape.Members() * aShape.AcceleratorsPerMember(),
                      aShape);
  });
  shapes.resize(std::min(shapes.size(), kMaxReferenceShapes));
  return shapes;
}

}

ScheduleDecision
Schedule(const DataCentreLoad& aLoad,
         const std::vector<WaitingJob>& aWaiting,
         const PlacementWeights& aWeights,
         Instant aNow)
{
  SchedulingPass pass(aLoad, aWeights, ReferenceShapes(aLoad, aWaiting), aNow);
  for (const std::int32_t job : OrderJobs(aLoad, aWaiting, aNow)) {
    pass.Decide(aWaiting[job]);
  }
  return pass.Decision();
}

}
