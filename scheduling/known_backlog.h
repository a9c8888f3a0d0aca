#pragma once

#include "contracts/domain_backlog.h"
#include "core/instant.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace sardinecourse {

class TableRow;

/** The backlog of the domain as this host last learned it. How old a statement
 * can be follows from when the row was last known to have its former revision,
 * so that no clocks of two hosts are compared. */
class KnownBacklog
{
public:
  /** Revision of the row; 0 while none is known. An admission checks it, so
   * that the host learns of a change without reading the row. */
  std::int64_t Revision() const { return this->revision; }
  /** The backlog, if it was certainly stated a short time ago; an empty one
   * otherwise. */
  DomainBacklog Fresh(Instant aNow) const;
  /** Records that a transaction that was sent at aSent found the row unchanged.
   */
  void NoteUnchanged(Instant aSent) { this->knownAt = aSent; }
  /** Takes the backlog from rows that contain its row, if the store has one.
   * aSent is when the call was sent that returned them. */
  void Update(const std::vector<TableRow>& aRows, Instant aSent);

private:
  DomainBacklog backlog;
  std::int64_t revision = 0;
  /** When the row was last known to have this revision. */
  std::optional<Instant> knownAt;
  /** The backlog was stated after this time. */
  std::optional<Instant> statedAfter;
};

}
