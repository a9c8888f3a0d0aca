#include "review/cases_2/memory_guard.h"

#include <thread>

namespace sardinecourse::review {

namespace {

constexpr Milliseconds kTick{ 10 };
constexpr Milliseconds kRestartDelay{ 300 };

}

void
MemoryGuard::RunFor(Milliseconds aTime)
{
  const Instant end = Clock::now() + aTime;
  while (Clock::now() < end) {
    for (std::size_t host = 0; host < this->site->Hosts(); ++host) {
      this->Check(host);
    }
    std::this_thread::sleep_for(kTick);
  }
}

std::string
MemoryGuard::Text() const
{
  std::string text;
  for (const auto& [host, count] : this->kills) {
    text += " host " + std::to_string(host) + ": " + std::to_string(count);
  }
  return text.empty() ? " none" : text;
}

void
MemoryGuard::Check(std::size_t aHost)
{
  const auto back = this->startAt.find(aHost);
  if (back != this->startAt.end()) {
    if (Clock::now() >= back->second) {
      this->startAt.erase(back);
      this->site->StartHost(aHost);
    }
    return;
  }
  const std::int64_t memoryMb = this->site->MemoryMb(aHost);
  if (memoryMb > CaseSite::kMemoryLimitMb) {
    this->site->KillHost(
      aHost, std::to_string(memoryMb) + " MB exceed the memory limit");
    ++this->kills[aHost];
    this->startAt[aHost] = Clock::now() + kRestartDelay;
  }
}

}
