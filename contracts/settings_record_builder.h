#pragma once

#include "contracts/settings_record.h"

#include <optional>

namespace sardinecourse {

class Reason;

/** Builds a SettingsRecord. Build() returns nullopt and sets aReason if the
 * revision is below 1 or the identity is missing. */
class SettingsRecordBuilder
{
public:
  SettingsRecordBuilder& Revision(std::int64_t aRevision);
  SettingsRecordBuilder& Identity(std::string aIdentity);
  SettingsRecordBuilder& Who(std::string aWho);
  SettingsRecordBuilder& When(WallTime aWhen);
  SettingsRecordBuilder& Note(std::string aNote);
  std::optional<SettingsRecord> Build(Reason& aReason) const;

private:
  SettingsRecord value;
};

}
