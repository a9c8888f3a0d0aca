#pragma once

#include "contracts/settings_level.h"

namespace sardinecourse {

class PolicyOverrides;
class YamlReader;

/** Reads the optional mapping "settings" of one level; errors are recorded in
 * the reader. */
PolicyOverrides
ReadPolicyOverrides(YamlReader& aReader, SettingsLevel aLevel);

}
