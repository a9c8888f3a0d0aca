#pragma once

#include "core/instant.h"

#include <cstdint>
#include <sys/types.h>

namespace sardinecourse::harness {

/** Largest resident memory of a running process so far, in bytes; -1 if it
 * cannot be read. */
std::int64_t
PeakMemoryBytes(pid_t aProcess);

/** Number of open descriptors of a running process. */
std::int64_t
OpenDescriptors(pid_t aProcess);

/** Waits until a running process uses no processor time for a moment, which
 * means that it has handled what it was sent; false at the timeout. */
bool
WaitUntilQuiet(pid_t aProcess, Milliseconds aTimeout);

/** Limits the number of descriptors that a running process may open; false when
 * that failed. */
bool
LimitDescriptors(pid_t aProcess, std::int64_t aDescriptors);

}
