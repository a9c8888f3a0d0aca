#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace sardinecourse {

/** Counts and completion times of one load run, filled from several threads. */
class LoadReport
{
public:
  LoadReport();
  ~LoadReport();

  /** Counts an answer by its outcome, with the time since its request was due.
   */
  void Add(const std::string& aOutcome, double aSeconds);
  /** Adds what another thread counted. */
  void Merge(const LoadReport& aOther);
  /** One line of JSON. */
  std::string Json(double aElapsedSeconds) const;

private:
  struct Times;

  double Percentile(double aShare) const;

  std::map<std::string, std::uint64_t> outcomes;
  std::unique_ptr<Times> times;
};

}
