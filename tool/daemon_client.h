#pragma once

#include "core/endpoint.h"
#include "core/instant.h"
#include "links/exchange_progress.h"
#include "links/http_answer.h"
#include "links/http_request.h"

#include <optional>
#include <vector>

namespace sardinecourse {

class Reason;

/** HTTP client that tries several daemons in order until one answers. A request
 * that a daemon may have received is not repeated unless it is a GET, because
 * the first copy may already have been carried out. */
class DaemonClient
{
public:
  static constexpr Milliseconds kConnectTimeout{ 2000 };
  /** A daemon may wait for several platform calls before it answers. */
  static constexpr Milliseconds kAnswerTimeout{ 40000 };

  explicit DaemonClient(std::vector<Endpoint> aDaemons);

  /** Empty, with the reason, when no daemon gave a complete answer; Progress()
   * then shows whether the request may have been carried out. */
  std::optional<HttpAnswer> Get(const std::string& aTarget, Reason& aReason);
  std::optional<HttpAnswer> Post(const std::string& aTarget,
                                 const std::string& aBody,
                                 Reason& aReason);
  std::optional<HttpAnswer> Delete(const std::string& aTarget, Reason& aReason);

  /** How far the last exchange got. */
  ExchangeProgress Progress() const { return this->progress; }

private:
  std::optional<HttpAnswer> Call(const HttpRequest& aRequest, Reason& aReason);

  std::vector<Endpoint> daemons;
  ExchangeProgress progress = ExchangeProgress::kNotSent;
};

}
