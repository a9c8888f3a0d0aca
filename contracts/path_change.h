#pragma once

#include <compare>
#include <optional>
#include <string>

namespace sardinecourse {

/** A value of the settings that differs between two texts. */
struct PathChange
{
  std::string path;
  /** Empty when the path is new. */
  std::optional<std::string> before;
  /** Empty when the path is gone. */
  std::optional<std::string> after;

  auto operator<=>(const PathChange&) const = default;
};

}
