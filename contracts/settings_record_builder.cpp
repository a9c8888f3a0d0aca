#include "contracts/settings_record_builder.h"

#include "core/reason.h"

#include <utility>

namespace sardinecourse {

SettingsRecordBuilder&
SettingsRecordBuilder::Revision(std::int64_t aRevision)
{
  this->value.revision = aRevision;
  return *this;
}

SettingsRecordBuilder&
SettingsRecordBuilder::Identity(std::string aIdentity)
{
  this->value.identity = std::move(aIdentity);
  return *this;
}

SettingsRecordBuilder&
SettingsRecordBuilder::Who(std::string aWho)
{
  this->value.who = std::move(aWho);
  return *this;
}

SettingsRecordBuilder&
SettingsRecordBuilder::When(WallTime aWhen)
{
  this->value.when = aWhen;
  return *this;
}

SettingsRecordBuilder&
SettingsRecordBuilder::Note(std::string aNote)
{
  this->value.note = std::move(aNote);
  return *this;
}

std::optional<SettingsRecord>
SettingsRecordBuilder::Build(Reason& aReason) const
{
  if (this->value.revision < 1 || this->value.identity.empty()) {
    aReason = Reason(
      Step::kSettings, "", "a settings record needs a revision and identity");
    return std::nullopt;
  }
  return this->value;
}

}
