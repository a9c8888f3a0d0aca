#pragma once

#include "contracts/settings_text.h"

#include <boost/asio/awaitable.hpp>
#include <concepts>
#include <cstdint>
#include <optional>

namespace sardinecourse {

class Reason;

/**
 * The peers, as the settings keeper uses them. Announce tells them that a
 * revision is in force here; whoever hears of a higher one calls its keeper's
 * Heard. Ask gives the settings of the highest revision that any peer that
 * answers has in force; it is empty, with the reason, when none does.
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
