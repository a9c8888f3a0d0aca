#pragma once

#include "codecs/yaml_document.h"
#include "core/reason.h"
#include "tests/model/model_settings.h"
#include "tests/model/model_settings_yaml.h"

#include <optional>
#include <string>

namespace sardinecourse {

/** Reads a model from a YAML file in tests/model. */
inline ModelSettings
ReadModel(const std::string& aName)
{
  const std::string path =
    std::string(SARDINECOURSE_SOURCE_DIR) + "/tests/model/" + aName;
  Reason reason;
  const std::optional<std::string> text = ReadTextFile(path, reason);
  return DecodeModelSettings(text.value(), path, reason).value();
}

}
