#pragma once

#include "contracts/service_catalog.h"

#include <optional>

namespace sardinecourse {

class Reason;

/** Builds a ServiceCatalog. Build() returns nullopt and sets aReason if the
 * version is below 1. */
class ServiceCatalogBuilder
{
public:
  ServiceCatalogBuilder& Version(std::int64_t aVersion);
  ServiceCatalogBuilder& Revision(std::int64_t aRevision);
  ServiceCatalogBuilder& Queues(std::vector<JobQueue> aQueues);
  ServiceCatalogBuilder& Teams(std::vector<TeamAccess> aTeams);
  std::optional<ServiceCatalog> Build(Reason& aReason) const;

private:
  ServiceCatalog value;
};

}
