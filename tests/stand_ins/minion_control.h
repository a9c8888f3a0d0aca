#pragma once

#include "links/http_answer.h"
#include "links/http_request.h"

#include <boost/asio/awaitable.hpp>
#include <memory>
#include <string_view>
#include <vector>

namespace sardinecourse {

class SimulatedMinion;

/**
 * The switches of the stand-in minions, over HTTP:
 * POST /minions/NAME/faults with a JSON object of MinionFaults' fields in snake
 * case, and "name", "silence_open"; NAME "all" means all of them.
 * GET /record gives what each minion ran, as JSON.
 */
class MinionControl
{
public:
  explicit MinionControl(
    const std::vector<std::unique_ptr<SimulatedMinion>>& aMinions)
    : minions(&aMinions)
  {
  }

  boost::asio::awaitable<HttpAnswer> Handle(HttpRequest aRequest);

private:
  HttpAnswer SetFaults(std::string_view aName, const std::string& aBody);
  HttpAnswer Record() const;

  const std::vector<std::unique_ptr<SimulatedMinion>>* minions;
};

}
