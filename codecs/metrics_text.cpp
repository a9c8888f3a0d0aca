#include "codecs/metrics_text.h"

namespace sardinecourse {

void
MetricsText::Type(std::string_view aName, std::string_view aType)
{
  this->text << "# TYPE " << aName << ' ' << aType << '\n';
}

void
MetricsText::Counter(std::string_view aName, std::uint64_t aValue)
{
  this->Type(aName, "counter");
  this->text << aName << ' ' << aValue << '\n';
}

std::uint64_t
MetricsText::Buckets(std::string_view aName,
                     std::string_view aLabels,
                     std::span<const double> aBounds,
                     const BucketCount& aBucketCount)
{
  std::uint64_t sum = 0;
  for (std::size_t bound = 0; bound <= aBounds.size(); ++bound) {
    sum += aBucketCount(static_cast<int>(bound) - 1);
    this->text << aName << "_bucket{" << aLabels << (aLabels.empty() ? "" : ",")
               << "le=\"";
    if (bound == aBounds.size()) {
      this->text << "+Inf";
    } else {
      this->text << aBounds[bound];
    }
    this->text << "\"} " << sum << '\n';
  }
  this->text << aName << "_count{" << aLabels << "} " << sum << '\n';
  return sum;
}

}
