#pragma once

#include "contracts/service_catalog.h"
#include "contracts/table_row.h"
#include "core/names.h"
#include "machines/worker_listing.h"

#include <concepts>
#include <optional>
#include <string>

namespace sardinecourse {

class Reason;

/** Names the tables and keys under which the platform stores the operators'
 * configuration, the evacuated data centres and the list of workers, and
 * decodes their rows; a decoder returns no value and sets the reason when a row
 * is invalid. The configuration and the evacuated data centres are in one
 * table, with keys from CatalogKey() up to, not including, OperatorKeysEnd();
 * EvacuatedDataCentre() is empty for any other row's key. */
template<typename Schema>
concept PlatformSchema = requires(const TableRow& aRow,
                                  const std::string& aKey,
                                  Reason& aReason)
{
  {
    Schema::CatalogTable()
    } -> std::convertible_to<std::string>;
  {
    Schema::CatalogKey()
    } -> std::convertible_to<std::string>;
  {
    Schema::OperatorKeysEnd()
    } -> std::convertible_to<std::string>;
  {
    Schema::EvacuatedDataCentre(aKey)
    } -> std::same_as<std::optional<DataCentreName>>;
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
