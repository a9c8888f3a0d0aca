#pragma once

#include "daemon/host_settings_manager.h"
#include "links/http_answer.h"
#include "links/http_request.h"

#include <boost/asio/awaitable.hpp>

namespace sardinecourse {

class HttpTarget;

/**
 * The settings API for operators. It runs on the control thread:
 *   GET  /settings          the revision in force and its YAML
 *   POST /settings          propose a change
 *   GET  /settings/history  the last changes, newest first
 *   GET  /settings/origin?data_centre=&team=&service=
 *                           each value in that scope, and where it was set
 */
class SettingsResource
{
public:
  explicit SettingsResource(HostSettingsManager& aManager)
    : manager(&aManager)
  {
  }

  boost::asio::awaitable<HttpAnswer> Handle(HttpRequest aRequest);

private:
  boost::asio::awaitable<HttpAnswer> Propose(const HttpRequest& aRequest);
  boost::asio::awaitable<HttpAnswer> History();
  HttpAnswer Show() const;
  HttpAnswer Origin(const HttpTarget& aTarget) const;

  HostSettingsManager* manager;
};

}
