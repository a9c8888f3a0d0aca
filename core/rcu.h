#pragma once

namespace sardinecourse {

/** Wrappers for the read-copy-update calls that Snapshot uses, so that no
 * header includes the library. */
void
RcuReadLock();
void
RcuReadUnlock();

/** Blocks until all readers that are now inside a read section have left it. */
void
RcuSynchronize();

/** Tells ThreadSanitizer about the ordering that a grace period guarantees; no
 * effect in other builds. */
void
RcuAnnotateReadEnd(const void* aSlot);
void
RcuAnnotateGracePeriod(const void* aSlot);

}
