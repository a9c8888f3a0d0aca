#pragma once

#include "contracts/row_page.h"
#include "core/reason.h"
#include "scheduling/event_line.h"
#include "scheduling/platform_schema.h"
#include "zones/evacuation/evacuation_view_builder.h"

#include <set>
#include <utility>

namespace sardinecourse {

/** Keeps the evacuated data centres up to date with the operators' rows. */
template<PlatformSchema Schema>
class EvacuationReader
{
public:
  const EvacuationView& View() const { return this->view; }

  /** Applies a page that was requested at aRequestedAt. aIsFullRange tells
   * whether it has all rows rather than changes. */
  void Apply(const RowPage& aPage, bool aIsFullRange, Instant aRequestedAt)
  {
    std::set<DataCentreName> closed =
      aIsFullRange ? std::set<DataCentreName>() : this->view.Closed();
    for (const TableRow& row : aPage.Rows()) {
      if (const auto dataCentre = Schema::EvacuatedDataCentre(row.Key())) {
        closed.insert(*dataCentre);
      }
    }
    for (const std::string& key : aPage.RemovedKeys()) {
      if (const auto dataCentre = Schema::EvacuatedDataCentre(key)) {
        closed.erase(*dataCentre);
      }
    }
    LogDifference("data_centre_closed", closed, this->view.Closed());
    LogDifference("data_centre_opened", this->view.Closed(), closed);
    Reason ignored; // The schema returns no empty names.
    this->view = EvacuationViewBuilder()
                   .Closed(std::move(closed))
                   .ConfirmedAt(aRequestedAt)
                   .Build(ignored)
                   .value_or(this->view);
  }

private:
  /** Logs the event for each data centre in aIn that is not in aNotIn. */
  static void LogDifference(const char* aEvent,
                            const std::set<DataCentreName>& aIn,
                            const std::set<DataCentreName>& aNotIn)
  {
    for (const DataCentreName& dataCentre : aIn) {
      if (!aNotIn.contains(dataCentre)) {
        EventLine(aEvent).Field("data_centre", dataCentre.Text()).Emit();
      }
    }
  }

  EvacuationView view;
};

}
