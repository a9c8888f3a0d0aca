#include "contracts/service_catalog_builder.h"

#include "core/reason.h"

#include <utility>

namespace sardinecourse {

ServiceCatalogBuilder&
ServiceCatalogBuilder::Version(std::int64_t aVersion)
{
  this->value.version = aVersion;
  return *this;
}

ServiceCatalogBuilder&
ServiceCatalogBuilder::Revision(std::int64_t aRevision)
{
  this->value.revision = aRevision;
  return *this;
}

ServiceCatalogBuilder&
ServiceCatalogBuilder::Queues(std::vector<JobQueue> aQueues)
{
  this->value.queues = std::move(aQueues);
  return *this;
}

ServiceCatalogBuilder&
ServiceCatalogBuilder::Teams(std::vector<TeamAccess> aTeams)
{
  this->value.teams = std::move(aTeams);
  return *this;
}

std::optional<ServiceCatalog>
ServiceCatalogBuilder::Build(Reason& aReason) const
{
  if (this->value.version < 1) {
    aReason =
      Reason(Step::kDecode, "", "the catalog version must be at least 1");
    return std::nullopt;
  }
  return this->value;
}

}
