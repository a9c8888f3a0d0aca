#pragma once

#include "core/reason.h"
#include "daemon/settings_peers.h"

#include <boost/asio/use_awaitable.hpp>

namespace sardinecourse {

/** A host without peers. */
class NoSettingsPeers
{
public:
  void Announce(std::int64_t) {}

  boost::asio::awaitable<std::optional<SettingsText>> Ask(Reason& aReason)
  {
    aReason = Reason(Step::kPeerLink, "", "this host has no peers");
    co_return std::nullopt;
  }
};

static_assert(SettingsPeers<NoSettingsPeers>);

}
