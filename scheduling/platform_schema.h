#pragma once

#include "contracts/service_catalog.h"
#include "contracts/table_row.h"
#include "machines/worker_listing.h"

#include <concepts>
#include <optional>
#include <string>

namespace sardinecourse {

class Reason;

/** Names the tables and keys under which the platform stores the operators'
 * configuration and the list of workers, and decodes their rows; a decoder
 * returns no value and sets the reason when a row is invalid. */
template<typename Schema>
concept PlatformSchema = requires(const TableRow& aRow, Reason& aReason)
{
  {
    Schema::CatalogTable()
    } -> std::convertible_to<std::string>;
  {
    Schema::CatalogKey()
    } -> std::convertible_to<std::string>;
  {
    Schema::WorkerTable()
    } -> std::convertible_to<std::string>;
  {
    Schema::DecodeCatalog(aRow, aReason)
    } -> std::same_as<std::optional<ServiceCatalog>>;
  {
    Schema::DecodeWorker(aRow, aReason)
    } -> std::same_as<std::optional<WorkerListing>>;
};

}
