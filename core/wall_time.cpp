#include "core/wall_time.h"

#include <array>
#include <ctime>

namespace sardinecourse {

WallTime
WallNow()
{
  return std::chrono::time_point_cast<Milliseconds>(
    std::chrono::system_clock::now());
}

std::string
WallTimeText(WallTime aTime)
{
  constexpr std::size_t kBufferSize = 32;
  const std::time_t seconds =
    std::chrono::floor<std::chrono::seconds>(aTime).time_since_epoch().count();
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  std::array<char, kBufferSize> text{};
  std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%SZ", &parts);
  return text.data();
}

}
