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
 * HTTP control of the stand-in minions:
 * POST /minions/NAME/faults takes a JSON object with the fields of MinionFaults
 * in snake case, and with "name" and "silence_open"; absent fields stay as they
 * are. NAME "all" addresses every minion. Answers 400 to a body that is no
 * object and 404 to an unknown name.
 * GET /record returns the executions of all minions as a JSON array.
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
