#include "codecs/job_progress_json.h"

#include "codecs/job_json.h"
#include "codecs/json_fields.h"
#include "contracts/job_progress_builder.h"
#include "core/reason.h"

#include <algorithm>
#include <iterator>
#include <map>
#include <nlohmann/json.hpp>
#include <utility>

namespace sardinecourse {

namespace {

// An open unit is an array of its index, run and checkpoint, followed by the
// index of each member's worker in the row's list of workers. A unit with
// failed runs is an array of its index and their numbers.
constexpr std::size_t kUnitColumn = 0;
constexpr std::size_t kRunColumn = 1;
constexpr std::size_t kSavedColumn = 2;
constexpr std::size_t kFirstWorkerColumn = 3;

/** Brackets, quotes and commas of one element of a list. */
constexpr std::size_t kElementBytes = 6;
/** Max length of a worker's index with its comma. */
constexpr std::size_t kWorkerIndexBytes = 6;
/** Max members of a unit in one element; a larger unit has several, which may
 * be in different rows. */
constexpr std::size_t kMaxWorkersPerElement = 200;

/** The share of a progress that is stored in one row. */
struct RowShare
{
  std::vector<FailedRun> failedRuns;
  std::vector<UnitPlacement> placements;
};

std::size_t
DigitsOf(std::int64_t aNumber)
{
  return std::to_string(aNumber).size();
}

nlohmann::json
EncodeFailedRuns(const std::vector<FailedRun>& aRuns)
{
  nlohmann::json units = nlohmann::json::array();
  for (const FailedRun& run : aRuns) {
    if (units.empty() || units.back()[kUnitColumn] != run.unit) {
      units.push_back({ run.unit });
    }
    units.back().push_back(run.run);
  }
  return units;
}

/** Encodes the placements; aWorkers receives the list of workers that they
 * refer to. */
nlohmann::json
EncodePlacements(const std::vector<UnitPlacement>& aPlacements,
                 nlohmann::json& aWorkers)
{
  std::map<WorkerName, std::size_t> indexes;
  nlohmann::json units = nlohmann::json::array();
  for (const UnitPlacement& placement : aPlacements) {
    nlohmann::json unit = { placement.unit, placement.run, placement.saved };
    for (const WorkerName& worker : placement.workers) {
      const auto [position, isNew] =
        indexes.try_emplace(worker, indexes.size());
      if (isNew) {
        aWorkers.push_back(worker.Text());
      }
      unit.push_back(position->second);
    }
    units.push_back(std::move(unit));
  }
  return units;
}

std::int64_t
NumberAt(const nlohmann::json& aRow, std::size_t aColumn, std::int64_t aDefault)
{
  return aRow.is_array() && aColumn < aRow.size() &&
             aRow[aColumn].is_number_integer()
           ? aRow[aColumn].get<std::int64_t>()
           : aDefault;
}

std::int32_t
UnitAt(const nlohmann::json& aRow)
{
  constexpr std::int64_t kMaxUnit = 1'000'000;
  const std::int64_t unit = NumberAt(aRow, kUnitColumn, -1);
  return unit >= 0 && unit <= kMaxUnit ? static_cast<std::int32_t>(unit) : -1;
}

nlohmann::json
ListField(const nlohmann::json& aObject, const char* aKey)
{
  const auto found = aObject.find(aKey);
  return found != aObject.end() && found->is_array() ? *found
                                                     : nlohmann::json::array();
}

std::vector<FailedRun>
DecodeFailedRuns(const nlohmann::json& aObject)
{
  std::vector<FailedRun> failed;
  // Earlier versions stored one object per run.
  for (const nlohmann::json& run : ListField(aObject, "failed")) {
    failed.push_back(FailedRun{ SmallIntegerField(run, "unit", -1),
                                IntegerField(run, "run") });
  }
  for (const nlohmann::json& unit : ListField(aObject, "failed_units")) {
    for (std::size_t column = kRunColumn; column < unit.size(); ++column) {
      failed.push_back(FailedRun{ UnitAt(unit), NumberAt(unit, column, 0) });
    }
  }
  return failed;
}

UnitPlacement
DecodeOpenUnit(const nlohmann::json& aUnit, const nlohmann::json& aWorkers)
{
  UnitPlacement placement;
  placement.unit = UnitAt(aUnit);
  placement.run = NumberAt(aUnit, kRunColumn, 0);
  if (aUnit.is_array() && aUnit.size() > kSavedColumn &&
      aUnit[kSavedColumn].is_string()) {
    placement.saved = aUnit[kSavedColumn].get<std::string>();
  }
  for (std::size_t column = kFirstWorkerColumn; column < aUnit.size();
       ++column) {
    const std::int64_t index = NumberAt(aUnit, column, -1);
    const bool isListed = index >= 0 &&
                          index < static_cast<std::int64_t>(aWorkers.size()) &&
                          aWorkers[index].is_string();
    placement.workers.emplace_back(isListed ? aWorkers[index].get<std::string>()
                                            : std::string());
  }
  return placement;
}

/** Decodes a placement as earlier versions stored it. */
UnitPlacement
DecodePlacementObject(const nlohmann::json& aObject)
{
  UnitPlacement placement;
  placement.unit = SmallIntegerField(aObject, "unit", -1);
  placement.run = IntegerField(aObject, "run");
  placement.saved = TextField(aObject, "saved");
  for (const nlohmann::json& worker : ListField(aObject, "workers")) {
    placement.workers.emplace_back(
      worker.is_string() ? worker.get<std::string>() : std::string());
  }
  return placement;
}

std::vector<UnitPlacement>
DecodePlacements(const nlohmann::json& aObject)
{
  std::vector<UnitPlacement> placements;
  for (const nlohmann::json& item : ListField(aObject, "placements")) {
    placements.push_back(DecodePlacementObject(item));
  }
  const nlohmann::json workers = ListField(aObject, "workers");
  for (const nlohmann::json& unit : ListField(aObject, "open_units")) {
    placements.push_back(DecodeOpenUnit(unit, workers));
  }
  return placements;
}

JobProgress
MakeRow(const JobProgress& aWhole,
        RowShare aShare,
        std::string aMarks,
        std::int32_t aRows)
{
  Reason ignored; // The whole progress has a queue.
  return JobProgressBuilder()
    .Queue(aWhole.Queue())
    .Address(aWhole.Address())
    .State(aWhole.State())
    .Marks(std::move(aMarks))
    .FailedRuns(std::move(aShare.failedRuns))
    .Placements(std::move(aShare.placements))
    .Rows(aRows)
    .Build(ignored)
    .value_or(JobProgress());
}

std::size_t
MaxEncodedBytes(const UnitPlacement& aPlacement)
{
  std::size_t bytes = DigitsOf(aPlacement.unit) + DigitsOf(aPlacement.run) +
                      JsonText(aPlacement.saved).size() + kElementBytes;
  for (const WorkerName& worker : aPlacement.workers) {
    bytes += JsonText(worker.Text()).size() + 1 + kWorkerIndexBytes;
  }
  return bytes;
}

/** The placement in elements of at most kMaxWorkersPerElement members. */
std::vector<UnitPlacement>
SplitPlacement(const UnitPlacement& aPlacement)
{
  std::vector<UnitPlacement> elements;
  std::size_t first = 0;
  do {
    const std::size_t end =
      std::min(first + kMaxWorkersPerElement, aPlacement.workers.size());
    UnitPlacement element;
    element.unit = aPlacement.unit;
    element.run = aPlacement.run;
    element.saved = first == 0 ? aPlacement.saved : std::string();
    element.workers.assign(
      aPlacement.workers.begin() + static_cast<std::ptrdiff_t>(first),
      aPlacement.workers.begin() + static_cast<std::ptrdiff_t>(end));
    elements.push_back(std::move(element));
    first = end;
  } while (first < aPlacement.workers.size());
  return elements;
}

/** Divides the lists into shares of at most aMaxBytes when encoded, of which
 * aMarkBytes are taken in the first one. */
std::vector<RowShare>
DivideIntoRows(const JobProgress& aProgress,
               std::size_t aMaxBytes,
               std::size_t aMarkBytes)
{
  std::vector<RowShare> shares(1);
  std::size_t used = aMarkBytes;
  const auto reserve = [&](std::size_t aBytes) -> RowShare& {
    if (used + aBytes > aMaxBytes) {
      shares.emplace_back();
      used = 0;
    }
    used += aBytes;
    return shares.back();
  };
  for (const FailedRun& run : aProgress.FailedRuns()) {
    reserve(DigitsOf(run.unit) + DigitsOf(run.run) + kElementBytes)
      .failedRuns.push_back(run);
  }
  for (const UnitPlacement& placement : aProgress.Placements()) {
    for (UnitPlacement& element : SplitPlacement(placement)) {
      reserve(MaxEncodedBytes(element))
        .placements.push_back(std::move(element));
    }
  }
  return shares;
}

}

std::string
EncodeJobProgress(const JobProgress& aProgress)
{
  nlohmann::json workers = nlohmann::json::array();
  nlohmann::json placements = EncodePlacements(aProgress.Placements(), workers);
  nlohmann::json object = { { "queue", aProgress.Queue().Text() },
                            { "address", aProgress.Address().Text() },
                            { "state", JobStateName(aProgress.State()) },
                            { "marks", aProgress.Marks() },
                            { "failed_units",
                              EncodeFailedRuns(aProgress.FailedRuns()) },
                            { "open_units", std::move(placements) },
                            { "workers", std::move(workers) } };
  if (aProgress.Rows() > 1) {
    object["rows"] = aProgress.Rows();
  }
  return JsonText(object);
}

std::optional<JobProgress>
DecodeJobProgress(const std::string& aText, Reason& aReason)
{
  const auto object = ParseJsonObject(aText);
  const auto state =
    object ? ParseJobState(TextField(*object, "state")) : std::nullopt;
  if (!state) {
    aReason =
      Reason(Step::kDecode,
             "",
             "stored job progress is not a JSON object with a known state");
    return std::nullopt;
  }
  return JobProgressBuilder()
    .Queue(QueueName(TextField(*object, "queue")))
    .Address(QueueAddress(TextField(*object, "address")))
    .State(*state)
    .Marks(TextField(*object, "marks"))
    .FailedRuns(DecodeFailedRuns(*object))
    .Placements(DecodePlacements(*object))
    .Rows(SmallIntegerField(*object, "rows", 1))
    .Build(aReason);
}

std::vector<std::string>
EncodeProgressRows(const JobProgress& aProgress, std::size_t aMaxBytes)
{
  std::string whole = EncodeJobProgress(aProgress);
  if (whole.size() <= aMaxBytes) {
    return { std::move(whole) };
  }
  constexpr std::int32_t kManyRows = 1'000'000;
  const std::size_t fixedBytes =
    EncodeJobProgress(MakeRow(aProgress, RowShare(), "", kManyRows)).size();
  std::vector<RowShare> shares =
    DivideIntoRows(aProgress, aMaxBytes - fixedBytes, aProgress.Marks().size());
  const auto count = static_cast<std::int32_t>(shares.size());
  std::vector<std::string> rows;
  for (RowShare& share : shares) {
    const bool isFirst = rows.empty();
    rows.push_back(
      EncodeJobProgress(MakeRow(aProgress,
                                std::move(share),
                                isFirst ? aProgress.Marks() : std::string(),
                                isFirst ? count : 1)));
  }
  return rows;
}

std::optional<JobProgress>
DecodeProgressRows(const std::vector<std::string>& aRows, Reason& aReason)
{
  std::optional<JobProgress> first =
    DecodeJobProgress(aRows.empty() ? std::string() : aRows.front(), aReason);
  if (!first || first->Rows() == 1) {
    return first;
  }
  if (static_cast<std::size_t>(first->Rows()) > aRows.size()) {
    aReason = Reason(Step::kDecode, "", "a row of the job progress is missing");
    return std::nullopt;
  }
  RowShare lists;
  for (std::int32_t index = 0; index < first->Rows(); ++index) {
    const std::optional<JobProgress> row =
      DecodeJobProgress(aRows[index], aReason);
    if (!row) {
      return std::nullopt;
    }
    lists.failedRuns.insert(lists.failedRuns.end(),
                            row->FailedRuns().begin(),
                            row->FailedRuns().end());
    for (const UnitPlacement& element : row->Placements()) {
      const bool isContinued = !lists.placements.empty() &&
                               lists.placements.back().unit == element.unit;
      if (!isContinued) {
        lists.placements.push_back(element);
        continue;
      }
      std::copy(element.workers.begin(),
                element.workers.end(),
                std::back_inserter(lists.placements.back().workers));
    }
  }
  return MakeRow(*first, std::move(lists), first->Marks(), first->Rows());
}

}
