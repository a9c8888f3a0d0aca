#pragma once

#include "contracts/settings_record.h"

#include <optional>

namespace sardinecourse {

class Reason;

/** Builds a SettingsRecord; Build() is empty, with the reason, when a field is
 * missing or out of range. */
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
