#pragma once

#include "zones/worker_capacity.h"

namespace sardinecourse {

class Job;

/** The capacity of a worker with these accelerators, cores and memory (in MB)
 * for members of the job. */
WorkerCapacity
CapacityFor(std::int32_t aWorker,
            AcceleratorMask aAccelerators,
            std::int32_t aCores,
            std::int32_t aMemory,
            const Job& aJob);

}
