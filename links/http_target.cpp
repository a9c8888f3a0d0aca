#include "links/http_target.h"

#include "core/percent_encoding.h"

namespace sardinecourse {

HttpTarget::HttpTarget(std::string_view aTarget)
{
  const std::size_t question = aTarget.find('?');
  this->path = std::string(aTarget.substr(0, question));
  if (question == std::string_view::npos) {
    return;
  }
  std::string_view rest = aTarget.substr(question + 1);
  while (!rest.empty()) {
    const std::size_t end = rest.find('&');
    this->AddQuery(rest.substr(0, end));
    rest = end == std::string_view::npos ? "" : rest.substr(end + 1);
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
