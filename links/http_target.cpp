#include "links/http_target.h"

#include "core/percent_encoding.h"

namespace sardinecourse {

HttpTarget::HttpTarget(std::string_view aTarget)
{
  const std::size_t queryStart = aTarget.find('?');
  this->path = std::string(aTarget.substr(0, queryStart));
  if (queryStart == std::string_view::npos) {
    return;
  }
  std::string_view remaining = aTarget.substr(queryStart + 1);
  while (!remaining.empty()) {
    const std::size_t end = remaining.find('&');
    this->AddQuery(remaining.substr(0, end));
    remaining = end == std::string_view::npos ? "" : remaining.substr(end + 1);
  }
}

std::string
HttpTarget::Query(const std::string& aKey) const
{
  const auto found = this->query.find(aKey);
  return found == this->query.end() ? "" : found->second;
}

void
HttpTarget::AddQuery(std::string_view aPair)
{
  const std::size_t equals = aPair.find('=');
  const std::string_view value =
    equals == std::string_view::npos ? "" : aPair.substr(equals + 1);
  this->query[PercentDecode(aPair.substr(0, equals))] = PercentDecode(value);
}

}
