#pragma once

#include <cstddef>
#include <cstdint>

namespace sardinecourse {

class JobPlan;
class Reason;

/** Max bytes of an encoded row. The store limits a value to 65,536 bytes, and
 * its base64 form, which is longer by a third, is kept within that too. The
 * rest is room for a cancellation, which writes the first row again with
 * another state. */
inline constexpr std::size_t kMaxRowBytes = 49'000;
/** Max bytes of the encoded rows of one transaction, of which the store accepts
 * 1 MB in base64. */
inline constexpr std::size_t kMaxTransactionBytes = 700'000;
/** Max bytes of a job's checkpoints that are stored. Each change of the job's
 * progress writes them again. */
inline constexpr std::size_t kMaxStoredCheckpointBytes = 200'000;
/** Max rows that one transaction checks, writes and removes. */
inline constexpr std::size_t kMaxTransactionRows = 100;
/** Max tasks of a job whose unit was placed and is not done. The progress of a
 * job lists their workers and checkpoints. */
inline constexpr std::int64_t kMaxOpenTasks = 4000;

/** Whether the progress of a job with aMaxAttempts per task always fits into
 * one transaction; when false, the reason is set. */
bool
HasStorableProgress(const JobPlan& aPlan,
                    std::int32_t aMaxAttempts,
                    Reason& aReason);

}
