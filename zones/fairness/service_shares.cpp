#include "zones/fairness/service_shares.h"

#include "zones/fairness/service_history.h"

#include <algorithm>
#include <vector>

namespace sardinecourse {

namespace {

/** The largest amount that a team may count as its own so that all teams
 * together count no more than aTotal: those that ask for less leave the rest to
 * the others. */
double
EqualPart(std::vector<double> aAsked, double aTotal)
{
  std::sort(aAsked.begin(), aAsked.end());
  double left = aTotal;
  double part = 0.0;
  for (std::size_t position = 0; position < aAsked.size(); ++position) {
    part = left / static_cast<double>(aAsked.size() - position);
    if (aAsked[position] >= part) {
      return part;
    }
    left -= aAsked[position];
  }
  return part;
}

double
ShareOf(double aInTime, double aEntitled)
{
  return aEntitled <= 0.0 ? 1.0 : std::clamp(aInTime / aEntitled, 0.0, 1.0);
}

}

ServiceShares::ServiceShares(const ServiceHistory& aHistory)
{
  std::map<std::int32_t, std::vector<double>> asked;
  std::map<std::int32_t, double> done;
  for (const auto& [key, record] : aHistory.Teams()) {
    asked[key.first].push_back(record.due);
    done[key.first] += record.inTime;
  }
  std::map<std::int32_t, double> parts;
  for (const auto& [priority, amounts] : asked) {
    parts[priority] = EqualPart(amounts, done[priority]);
  }
  for (const auto& [key, record] : aHistory.Teams()) {
    this->teams[key] =
      ShareOf(record.inTime, std::min(record.due, parts[key.first]));
  }
  for (const auto& [key, record] : aHistory.DataCentres()) {
    this->dataCentres[key] = ShareOf(record.inTime, record.due);
  }
}

double
ServiceShares::TeamShare(std::int32_t aPriority, const TeamName& aTeam) const
{
  const auto found = this->teams.find({ aPriority, aTeam });
  return found == this->teams.end() ? 1.0 : found->second;
}

double
ServiceShares::DataCentreShare(std::int32_t aPriority,
                               const DataCentreName& aDataCentre) const
{
  const auto found = this->dataCentres.find({ aPriority, aDataCentre });
  return found == this->dataCentres.end() ? 1.0 : found->second;
}

}
