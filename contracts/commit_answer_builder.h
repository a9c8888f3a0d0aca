#pragma once

#include "contracts/commit_answer.h"

#include <optional>

namespace sardinecourse {

class Reason;

/** Builds a CommitAnswer. Build() returns nullopt and sets aReason if the
 * revision is negative. */
class CommitAnswerBuilder
{
public:
  CommitAnswerBuilder& Outcome(WriteOutcome aOutcome);
  CommitAnswerBuilder& Revision(std::int64_t aRevision);
  CommitAnswerBuilder& Current(std::vector<TableRow> aCurrent);
  CommitAnswerBuilder& IsInvalid(bool aIsInvalid);
  CommitAnswerBuilder& StoreTimeMs(std::optional<std::int64_t> aStoreTimeMs);
  std::optional<CommitAnswer> Build(Reason& aReason) const;

private:
  CommitAnswer value;
};

}
