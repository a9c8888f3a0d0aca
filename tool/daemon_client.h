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

/** Asks daemons, one after the other until one answers. A request that may have
 * arrived is not sent again, unless it only reads. */
class DaemonClient
{
public:
  static constexpr Milliseconds kConnectTimeout{ 2000 };
  /** A daemon may have to wait for the platform, more than once. */
  static constexpr Milliseconds kAnswerTimeout{ 40000 };

  explicit DaemonClient(std::vector<Endpoint> aDaemons);

  /** Empty, with the reason, when no daemon gave a whole answer; Progress()
   * then tells whether the request may have been carried out. */
  std::optional<HttpAnswer> Get(const std::string& aTarget, Reason& aReason);
  std::optional<HttpAnswer> Post(const std::string& aTarget,
                                 const std::string& aBody,
                                 Reason& aReason);
  std::optional<HttpAnswer> Delete(const std::string& aTarget, Reason& aReason);

  ExchangeProgress Progress() const { return this->progress; }

private:
  std::optional<HttpAnswer> Call(const HttpRequest& aRequest, Reason& aReason);

  std::vector<Endpoint> daemons;
  ExchangeProgress progress = ExchangeProgress::kNotSent;
};

}
