#pragma once

#include <compare>
#include <map>
#include <string>
#include <string_view>

namespace sardinecourse {

/** The path and the decoded query of a request's target. */
class HttpTarget
{
public:
  explicit HttpTarget(std::string_view aTarget);

  const std::string& Path() const { return this->path; }
  /** Decoded value of a query parameter; empty if there is none. */
  std::string Query(const std::string& aKey) const;

  auto operator<=>(const HttpTarget&) const = default;

private:
  void AddQuery(std::string_view aPair);

  std::string path;
  std::map<std::string, std::string> query;
};

}
