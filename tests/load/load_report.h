#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace sardinecourse {

/** Counts and completion times of a load run; each thread fills its own. */
class LoadReport
{
public:
  LoadReport();
  ~LoadReport();

  /** Counts an answer by its outcome; aSeconds is the time since its request
   * was due. Only times of "done" are kept. */
  void Add(const std::string& aOutcome, double aSeconds);
  /** Adds another thread's report. */
  void Merge(const LoadReport& aOther);
  /** Outcomes, rate and percentiles as one line of JSON. */
  std::string Json(double aElapsedSeconds) const;

private:
  struct Times;

  /** Upper edge, in seconds, of the histogram bin that the given fraction (0 to
   * 1) of the completion times falls into. */
  double Percentile(double aFraction) const;

  std::map<std::string, std::uint64_t> outcomes;
  std::unique_ptr<Times> times;
};

}
