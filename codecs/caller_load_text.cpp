#include "codecs/caller_load_text.h"

#include "codecs/metrics_text.h"
#include "machines/caller_load.h"

namespace sardinecourse {

std::string
CallerLoadText(const CallerLoad& aLoad)
{
  constexpr std::string_view kRefused = "sardinecourse_callers_refused_total";
  constexpr std::string_view kBytes = "sardinecourse_caller_memory_bytes";
  constexpr std::string_view kConnections = "sardinecourse_caller_connections";
  MetricsText text;
  text.Type(kRefused, "counter");
  for (std::size_t cause = 0; cause < kCallerRefusals; ++cause) {
    text.Value(kRefused,
               "cause=\"" + std::string(kCallerRefusalNames.at(cause)) + '"',
               aLoad.CountOf(static_cast<CallerRefusal>(cause)));
  }
  text.Type(kBytes, "gauge");
  text.Value(kBytes, "", aLoad.HeldBytes());
  text.Type(kConnections, "gauge");
  text.Value(kConnections, "", aLoad.OpenConnections());
  return text.Text();
}

}
