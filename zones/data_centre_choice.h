#pragma once

#include "core/names.h"

#include <optional>

namespace sardinecourse {

class Fleet;
class Job;
class Reason;

/**
 * Chooses where a job is admitted: where its team holds a guarantee of its
 * shape, else in aLocal, else where there are most accelerators. Empty, with
 * the reason, when it can never run anywhere.
 */
std::optional<DataCentreName>
ChooseDataCentre(const Fleet& aFleet,
                 const Job& aJob,
                 const DataCentreName& aLocal,
                 Reason& aReason);

}
