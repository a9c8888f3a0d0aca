#pragma once

#include "contracts/table_row.h"
#include "contracts/write_outcome.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <vector>

namespace sardinecourse {

/** Result of a transaction, with the rows that made a check fail. */
class CommitAnswer
{
public:
  const WriteOutcome& Outcome() const { return this->outcome; }
  /** Revision of the written rows; set only if the transaction was
   * committed. */
  std::int64_t Revision() const { return this->revision; }
  /** Current state of the checked rows; set only if a check failed. */
  const std::vector<TableRow>& Current() const { return this->current; }
  /** True if the store refused the transaction for its contents, so that it
   * refuses every repetition too. */
  bool IsInvalid() const { return this->isInvalid; }

  /** Time of the store's steady clock when it answered, in ms; empty if the
   * answer does not say. */
  std::optional<std::int64_t> StoreTimeMs() const { return this->storeTimeMs; }

  auto operator<=>(const CommitAnswer&) const = default;

private:
  friend class CommitAnswerBuilder;

  WriteOutcome outcome = WriteOutcome::kNotKnown;
  std::int64_t revision = 0;
  std::vector<TableRow> current;
  bool isInvalid = false;
  std::optional<std::int64_t> storeTimeMs;
};

}
