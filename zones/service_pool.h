#pragma once

#include <memory>
#include <vector>

namespace sardinecourse {

class MinionState;

/** The minions of one service, local and remote ones apart. */
struct ServicePool
{
  using MinionStates = std::vector<std::shared_ptr<MinionState>>;

  /** In this host's data centre. */
  MinionStates local;
  /** In other data centres of the same region. */
  MinionStates remote;
};

}
