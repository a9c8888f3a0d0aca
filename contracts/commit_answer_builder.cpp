#include "contracts/commit_answer_builder.h"

#include "core/reason.h"

#include <utility>

namespace sardinecourse {

CommitAnswerBuilder&
CommitAnswerBuilder::Outcome(WriteOutcome aOutcome)
{
  this->value.outcome = aOutcome;
  return *this;
}

CommitAnswerBuilder&
CommitAnswerBuilder::Revision(std::int64_t aRevision)
{
  this->value.revision = aRevision;
  return *this;
}

CommitAnswerBuilder&
CommitAnswerBuilder::Current(std::vector<TableRow> aCurrent)
{
  this->value.current = std::move(aCurrent);
  return *this;
}

CommitAnswerBuilder&
CommitAnswerBuilder::IsInvalid(bool aIsInvalid)
{
  this->value.isInvalid = aIsInvalid;
  return *this;
}

CommitAnswerBuilder&
CommitAnswerBuilder::StoreTimeMs(std::optional<std::int64_t> aStoreTimeMs)
{
  this->value.storeTimeMs = aStoreTimeMs;
  return *this;
}

std::optional<CommitAnswer>
CommitAnswerBuilder::Build(Reason& aReason) const
{
  if (this->value.revision < 0) {
    aReason =
      Reason(Step::kPlatformWrite, "", "the revision must not be negative");
    return std::nullopt;
  }
  return this->value;
}

}
