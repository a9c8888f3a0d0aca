#pragma once

#include "links/minion_link.h"

#include <memory>
#include <unordered_map>

namespace sardinecourse {

/** One thread's links to all minions that it has reached lately. */
class MinionLinks
{
public:
  explicit MinionLinks(boost::asio::io_context& aContext)
    : context(&aContext)
  {
  }

  /** The link to a minion, made at the first use; stays valid until it is
   * unused and CloseIdle() runs. */
  MinionLink& To(const std::shared_ptr<MinionState>& aSlot);
  void CloseIdle(Instant aNow);
  void CloseAll() { this->links.clear(); }

private:
  boost::asio::io_context* context;
  std::unordered_map<const MinionState*, std::unique_ptr<MinionLink>> links;
};

}
