#pragma once

#include "review/stand_in/client.h"

#include <cstdint>
#include <string>
#include <sys/types.h>
#include <vector>

namespace review {

class Record;
class Site;

/** Daemons of one deployment, started with the command of the deploy file and
 * settings as its template renders them for a small site. Their files are in a
 * temporary folder, which is removed with the processes. */
class Deployment
{
public:
  Deployment(int aHosts, const Site& aSite, Record& aRecord);
  ~Deployment();
  Deployment(const Deployment&) = delete;
  Deployment& operator=(const Deployment&) = delete;

  std::size_t Hosts() const { return this->hosts.size(); }
  /** Waits until all hosts accept callers. */
  bool WaitUntilReady(std::int64_t aTimeoutMs) const;
  /** Sends a client's call to a host and records it with its answer. */
  ClientAnswer Send(std::size_t aHost, const ClientCall& aCall) const;

private:
  struct Host
  {
    std::string name;
    std::string callers;
    std::string readiness;
    pid_t process = -1;
  };

  void Start(Host& aHost, const Site& aSite, int aIndex);

  Record* record;
  std::string folder;
  std::vector<Host> hosts;
};

}
