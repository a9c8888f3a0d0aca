#pragma once

#include "daemon/host_settings_manager.h"
#include "links/http_answer.h"
#include "links/http_request.h"

#include <boost/asio/awaitable.hpp>

namespace sardinecourse {

class HttpTarget;

/**
 * Operators' view of the settings, served on the control thread:
 *   GET  /settings          the revision in force and its YAML
 *   POST /settings          a proposal
 *   GET  /settings/history  the last changes, newest first
 *   GET  /settings/origin?data_centre=&team=&service=
 */
class SettingsResource
{
public:
  explicit SettingsResource(HostSettingsManager& aKeeper)
    : keeper(&aKeeper)
  {
  }

  boost::asio::awaitable<HttpAnswer> Handle(HttpRequest aRequest);

private:
  boost::asio::awaitable<HttpAnswer> Propose(const HttpRequest& aRequest);
  boost::asio::awaitable<HttpAnswer> History();
  HttpAnswer Show() const;
  HttpAnswer Origin(const HttpTarget& aTarget) const;

  HostSettingsManager* keeper;
};

}
