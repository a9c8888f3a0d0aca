#pragma once

#include "contracts/settings_text.h"

#include <boost/asio/awaitable.hpp>
#include <concepts>
#include <cstdint>
#include <optional>

namespace sardinecourse {

class Reason;

/**
 * The peers, as used by SettingsManager. Announce notifies them that a revision
 * is in force on this host; a peer that receives a higher one than its own
 * calls SettingsManager::OnPeerRevision. Ask returns the settings of the
 * highest revision among the peers that answer; it is empty, with the reason,
 * if none answers.
 */
template<typename Peers>
concept SettingsPeers = requires(Peers& aPeers,
                                 std::int64_t aRevision,
                                 Reason& aReason)
{
  aPeers.Announce(aRevision);
  {
    aPeers.Ask(aReason)
    } -> std::same_as<boost::asio::awaitable<std::optional<SettingsText>>>;
};

}
