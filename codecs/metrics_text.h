#pragma once

#include <cstdint>
#include <functional>
#include <span>
#include <sstream>
#include <string>
#include <string_view>

namespace sardinecourse {

/** Builds figures in Prometheus' text format. Labels are written as they stand
 * between the braces. */
class MetricsText
{
public:
  /** Count of a histogram's bucket; -1 is the one below the first bound. */
  using BucketCount = std::function<std::uint64_t(int)>;

  void Type(std::string_view aName, std::string_view aType);
  /** A counter without labels, with its type. */
  void Counter(std::string_view aName, std::uint64_t aValue);
  template<typename Number>
  void Value(std::string_view aName, std::string_view aLabels, Number aValue)
  {
    this->text << aName << '{' << aLabels << "} " << aValue << '\n';
  }
  /** Cumulative buckets and their count, which it gives as well. */
  std::uint64_t Buckets(std::string_view aName,
                        std::string_view aLabels,
                        std::span<const double> aBounds,
                        const BucketCount& aCountOf);

  std::string Text() const { return this->text.str(); }

private:
  std::ostringstream text;
};

}
