#pragma once

#include "contracts/accept_outcome.h"
#include "contracts/settings_record.h"
#include "core/reason.h"

#include <compare>
#include <optional>

namespace sardinecourse {

/** The answer to a proposal of settings. */
struct SettingsAnswer
{
  AcceptOutcome outcome = AcceptOutcome::kNotKnown;
  /** The accepted change, or the other change that stands in its way. */
  std::optional<SettingsRecord> record;
  Reason reason;

  auto operator<=>(const SettingsAnswer&) const = default;
};

}
