#pragma once

#include <compare>
#include <string>
#include <string_view>
#include <vector>

namespace sardinecourse {

/**
 * The platform's list of live and leaving hosts: entry hosts, workers and
 * minions alike. It lags, so a host missing from it may still be live.
 */
class HostList
{
public:
  const std::vector<std::string>& Live() const { return this->live; }
  const std::vector<std::string>& Leaving() const { return this->leaving; }
  bool IsLive(std::string_view aName) const;
  bool IsLeaving(std::string_view aName) const;

  auto operator<=>(const HostList&) const = default;

private:
  friend class HostListBuilder;

  /** Both are sorted. */
  std::vector<std::string> live;
  std::vector<std::string> leaving;
};

}
