#include "codecs/policy_yaml.h"

#include "codecs/yaml_reader.h"
#include "contracts/policy_key_traits.h"
#include "contracts/policy_overrides_builder.h"

#include <algorithm>

namespace sardinecourse {

namespace {

std::int64_t
ReadEnumeration(YamlReader& aReader, const PolicyKeyTraits& aTraits)
{
  const std::string name(aTraits.name);
  const std::string text = aReader.Text(name);
  const auto found =
    std::find(aTraits.choices.begin(), aTraits.choices.end(), text);
  if (found != aTraits.choices.end()) {
    return found - aTraits.choices.begin();
  }
  std::string allowed;
  for (const std::string_view value : aTraits.choices) {
    allowed += allowed.empty() ? "" : ", ";
    allowed += value;
  }
  aReader.Fail(name, "must be one of " + allowed);
  return aTraits.defaultValue;
}

std::int64_t
ReadValue(YamlReader& aReader, const PolicyKeyTraits& aTraits)
{
  return aTraits.choices.empty() ? aReader.Integer(std::string(aTraits.name),
                                                   aTraits.minimum,
                                                   aTraits.maximum)
                                 : ReadEnumeration(aReader, aTraits);
}

}

PolicyOverrides
ReadPolicyOverrides(YamlReader& aReader, SettingsLevel aLevel)
{
  PolicyOverridesBuilder builder;
  builder.Level(aLevel);
  PolicyOverrides overrides;
  aReader.Section("settings", [&](YamlReader& aSection) {
    for (const PolicyKeyTraits& traits : AllPolicyKeys()) {
      if (aSection.Has(std::string(traits.name))) {
        builder.Value(traits.key, ReadValue(aSection, traits));
      }
    }
    Reason reason;
    const std::optional<PolicyOverrides> built = builder.Build(reason);
    if (!built) {
      aSection.Fail(reason.Peer(), reason.Text());
      return;
    }
    overrides = *built;
  });
  return overrides;
}

}
