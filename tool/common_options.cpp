#include "tool/common_options.h"

#include "core/reason.h"

#include <cstdlib>
#include <sstream>

namespace sardinecourse {

std::optional<std::vector<Endpoint>>
CommonOptions::Daemons(Reason& aReason) const
{
  const char* variable = std::getenv("SARDINECOURSE_DAEMON");
  const char* text = this->daemons != nullptr ? this->daemons : variable;
  if (text == nullptr) {
    aReason = Reason(
      Step::kStartup,
      "",
      "no daemon given: --daemon IP:PORT or SARDINECOURSE_DAEMON is needed");
    return std::nullopt;
  }
  std::vector<Endpoint> endpoints;
  std::istringstream list(text);
  for (std::string address; std::getline(list, address, ',');) {
    const std::optional<Endpoint> endpoint = Endpoint::Parse(address, aReason);
    if (!endpoint) {
      return std::nullopt;
    }
    endpoints.push_back(*endpoint);
  }
  return endpoints;
}

}
