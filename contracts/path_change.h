#pragma once

#include <compare>
#include <optional>
#include <string>

namespace sardinecourse {

/** A settings value that differs between two revisions of the text. */
struct PathChange
{
  std::string path;
  /** Empty if the path was added. */
  std::optional<std::string> before;
  /** Empty if the path was removed. */
  std::optional<std::string> after;

  auto operator<=>(const PathChange&) const = default;
};

}
