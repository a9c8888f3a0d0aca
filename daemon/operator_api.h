#pragma once

#include "daemon/settings_resource.h"
#include "daemon/status_resource.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <string_view>

namespace sardinecourse {

/** The daemon's HTTP API for operators: settings and status. Any serving thread
 * may call it; requests are handled on the control thread. */
class OperatorApi
{
public:
  OperatorApi(boost::asio::io_context& aControl,
              HostSettingsManager& aManager,
              StatusResource aStatus);

  /** True for targets of this API. */
  static bool Serves(std::string_view aTarget);
  boost::asio::awaitable<HttpAnswer> Handle(HttpRequest aRequest);

private:
  boost::asio::awaitable<HttpAnswer> HandleOnControl(HttpRequest aRequest);

  boost::asio::io_context* control;
  SettingsResource settings;
  StatusResource status;
};

}
