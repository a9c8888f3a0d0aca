#pragma once

#include "contracts/job_queue.h"
#include "contracts/team_access.h"

#include <compare>
#include <cstdint>
#include <string_view>
#include <vector>

namespace sardinecourse {

/** One version of the queues and teams that operators configured. */
class ServiceCatalog
{
public:
  /** Version number; a higher version replaces a lower one. */
  std::int64_t Version() const { return this->version; }
  /** Revision of the row from which it was read. */
  std::int64_t Revision() const { return this->revision; }
  const std::vector<JobQueue>& Queues() const { return this->queues; }
  const std::vector<TeamAccess>& Teams() const { return this->teams; }

  /** Returns the queue of the authority whose path prefix is the longest match
   * for the path; null if no queue matches. */
  const JobQueue* FindQueue(std::string_view aAuthority,
                            std::string_view aPath) const;
  /** Returns the team that owns the key; null if no team does. */
  const TeamAccess* FindTeam(std::string_view aKey) const;

  auto operator<=>(const ServiceCatalog&) const = default;

private:
  friend class ServiceCatalogBuilder;

  std::int64_t version = 0;
  std::int64_t revision = 0;
  std::vector<JobQueue> queues;
  std::vector<TeamAccess> teams;
};

}
