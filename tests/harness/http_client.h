#pragma once

#include "core/endpoint.h"
#include "core/instant.h"
#include "core/reason.h"
#include "links/exchange_progress.h"
#include "links/http_answer.h"
#include "links/http_request.h"

#include <memory>
#include <optional>
#include <string>

namespace sardinecourse::harness {

/** A blocking HTTP client for one test thread. It reuses its connection and
 * reconnects after a failure, but never repeats a request. */
class HttpClient
{
public:
  explicit HttpClient(Endpoint aServer);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /** Empty when no complete answer came; Progress() and LastReason() then give
   * how far the exchange got and why it failed. */
  std::optional<HttpAnswer> Call(const HttpRequest& aRequest,
                                 Milliseconds aTimeout);
  std::optional<HttpAnswer> Get(const std::string& aTarget,
                                Milliseconds aTimeout);
  std::optional<HttpAnswer> Post(const std::string& aTarget,
                                 const std::string& aBody,
                                 Milliseconds aTimeout);

  ExchangeProgress Progress() const { return this->progress; }
  const Reason& LastReason() const { return this->reason; }

private:
  struct Transport;

  Endpoint server;
  std::unique_ptr<Transport> transport;
  ExchangeProgress progress = ExchangeProgress::kNotSent;
  Reason reason;
};

/** Waits until GET aTarget is answered with aStatus; false at the timeout. */
bool
WaitForHttp(const Endpoint& aServer,
            const std::string& aTarget,
            int aStatus,
            Milliseconds aTimeout);

}
