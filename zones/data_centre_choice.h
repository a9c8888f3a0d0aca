#pragma once

#include "core/names.h"

#include <optional>

namespace sardinecourse {

class Fleet;
class Job;
class Reason;

/**
 * Chooses the data centre that admits the job: one in which its team has a
 * guarantee of the job's shape, else aLocal, else the one with the most
 * accelerators. Returns empty and sets aReason when the job cannot run in any
 * data centre.
 */
std::optional<DataCentreName>
ChooseDataCentre(const Fleet& aFleet,
                 const Job& aJob,
                 const DataCentreName& aLocal,
                 Reason& aReason);

}
