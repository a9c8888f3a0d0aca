#pragma once

#include "links/minion_link.h"

#include <memory>
#include <unordered_map>

namespace sardinecourse {

/** One thread's links to the minions that it used recently. Not thread-safe. */
class MinionLinks
{
public:
  explicit MinionLinks(boost::asio::io_context& aContext)
    : context(&aContext)
  {
  }

  /** The link to a minion, created at the first use; valid until CloseIdle()
   * finds it unused. */
  MinionLink& To(const std::shared_ptr<MinionState>& aMinionState);
  /** Closes idle connections and erases links without any. */
  void CloseIdle(Instant aNow);
  void CloseAll() { this->links.clear(); }

private:
  boost::asio::io_context* context;
  std::unordered_map<const MinionState*, std::unique_ptr<MinionLink>> links;
};

}
