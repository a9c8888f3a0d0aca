#pragma once

#include "contracts/promise_answer.h"
#include "core/names.h"

#include <boost/asio/awaitable.hpp>
#include <concepts>
#include <cstdint>

namespace sardinecourse {

/** Asks another entry host of this data centre to promise that, for the length
 * of a lease, it will not take over from this host, which is the holder at
 * aTerm.
 */
template<typename Peers>
concept PromisePeers = requires(Peers& aPeers,
                                const HostName& aHost,
                                std::int64_t aTerm)
{
  {
    aPeers.AskPromise(aHost, aTerm)
    } -> std::same_as<boost::asio::awaitable<PromiseAnswer>>;
};

}
