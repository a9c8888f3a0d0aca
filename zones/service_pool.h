#pragma once

#include <memory>
#include <vector>

namespace sardinecourse {

class MinionState;

/** The minions of one service, local and remote ones apart. */
struct ServicePool
{
  using Slots = std::vector<std::shared_ptr<MinionState>>;

  /** In this host's data centre. */
  Slots local;
  /** In other data centres of the same region. */
  Slots remote;
};

}
