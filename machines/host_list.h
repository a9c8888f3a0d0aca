#pragma once

#include <compare>
#include <string>
#include <string_view>
#include <vector>

namespace sardinecourse {

/**
 * The platform's list of live and leaving hosts: entry hosts, workers and
 * minions. It lags behind, so a host that it does not list may still be live.
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

  /** Both lists are sorted, for binary search. */
  std::vector<std::string> live;
  std::vector<std::string> leaving;
};

}
