#pragma once

#include <cstdint>
#include <functional>
#include <span>
#include <sstream>
#include <string>
#include <string_view>

namespace sardinecourse {

/** Builds metrics in Prometheus' text format. Labels are passed as the text
 * between the braces. */
class MetricsText
{
public:
  /** Number of samples in a histogram's bucket; index -1 is the bucket below
   * the first bound. */
  using BucketCount = std::function<std::uint64_t(int)>;

  /** Writes the TYPE line of a metric. */
  void Type(std::string_view aName, std::string_view aType);
  /** Writes a counter without labels, with its TYPE line. */
  void Counter(std::string_view aName, std::uint64_t aValue);
  /** Writes one sample with labels. */
  template<typename Number>
  void Value(std::string_view aName, std::string_view aLabels, Number aValue)
  {
    this->text << aName << '{' << aLabels << "} " << aValue << '\n';
  }
  /** Writes the cumulative buckets and their total count; returns that count.
   */
  std::uint64_t Buckets(std::string_view aName,
                        std::string_view aLabels,
                        std::span<const double> aBounds,
                        const BucketCount& aBucketCount);

  std::string Text() const { return this->text.str(); }

private:
  std::ostringstream text;
};

}
