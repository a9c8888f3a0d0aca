#pragma once

namespace sardinecourse {

/** The few read-copy-update calls that Snapshot needs, so that no header names
 * the library. */
void
RcuReadLock();
void
RcuReadUnlock();

/** Blocks until every reader that was inside a read section has left it. */
void
RcuSynchronize();

/** Lets the thread sanitizer see the order that a grace period gives; nothing
 * in other builds. */
void
RcuAnnotateReadEnd(const void* aSlot);
void
RcuAnnotateGracePeriod(const void* aSlot);

}
