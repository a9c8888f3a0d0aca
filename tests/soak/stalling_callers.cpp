#include "tests/soak/stalling_callers.h"

#include "tests/harness/raw_connection.h"
#include "tests/harness/site_deployment.h"

#include <deque>

namespace sardinecourse::harness {

namespace {

constexpr Milliseconds kPause{ 15 };
constexpr Milliseconds kCallTimeout{ 4000 };
/** A connection that ends without an answer later than this after the last byte
 * of its request has lost a request that the host had read. */
constexpr Milliseconds kLossSlack{ 200 };
constexpr int kMaxStallMs = 1500;
/** Stalled connections that a caller keeps open; the oldest is closed first. */
constexpr std::size_t kMaxOpen = 40;
constexpr int kReceiveBuffer = 4096;

std::string
RequestText(const Endpoint& aHost)
{
  const std::string body = SiteDeployment::JobBody(1, 100);
  // Nobody has submitted the job; the body is read and ignored.
  return "GET " + SiteDeployment::PathOf("stalled") +
         " HTTP/1.1\r\nHost: " + aHost.Ip() +
         "\r\nApi-Key: k1\r\nX-Deadline-Remaining: 3000\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

/** A part of the text that is neither empty nor the whole. */
std::string
PartOf(const std::string& aText, std::mt19937& aRandom)
{
  return aText.substr(0, 1 + aRandom() % (aText.size() - 1));
}

void
Stall(std::mt19937& aRandom)
{
  std::this_thread::sleep_for(Milliseconds(aRandom() % kMaxStallMs));
}

}

StallingCallers::StallingCallers(SiteDeployment& aSite,
                                 int aCallers,
                                 unsigned aSeed)
  : site(&aSite)
{
  for (int caller = 0; caller < aCallers; ++caller) {
    const unsigned seed = aSeed * aCallers + caller;
    this->threads.emplace_back([this, seed] { this->Run(seed); });
  }
}

StallingCallers::~StallingCallers()
{
  this->Stop();
}

void
StallingCallers::Stop()
{
  this->isStopping = true;
  for (std::thread& thread : this->threads) {
    if (thread.joinable()) {
      thread.join();
    }
  }
}

std::vector<std::string>
StallingCallers::Violations() const
{
  const std::lock_guard lock(this->mutex);
  return this->violations;
}

void
StallingCallers::Run(unsigned aSeed)
{
  std::mt19937 random(aSeed);
  std::deque<RawConnection> open;
  while (!this->isStopping) {
    const Endpoint& host = this->site->Callers(random() % this->site->Hosts());
    ++this->connections;
    switch (random() % 8) {
      case 0:
        this->CallLate(host, random);
        break;
      case 1:
        Leave(host, random);
        break;
      case 2:
      case 3:
        open.emplace_back(host);
        open.back().Send(PartOf(RequestText(host), random));
        break;
      default:
        open.emplace_back(host);
        break;
    }
    while (open.size() > kMaxOpen) {
      open.pop_front();
    }
    std::this_thread::sleep_for(kPause);
  }
}

void
StallingCallers::CallLate(const Endpoint& aHost, std::mt19937& aRandom)
{
  RawConnection connection(aHost, kReceiveBuffer);
  const std::string request = RequestText(aHost);
  const std::string begin = PartOf(request, aRandom);
  if (!connection.Send(begin)) {
    return;
  }
  Stall(aRandom);
  if (!connection.Send(request.substr(begin.size()))) {
    return;
  }
  const bool readsLate = aRandom() % 2 == 0;
  if (readsLate) {
    Stall(aRandom);
  }
  const Instant readAt = Clock::now();
  if (connection.ReceiveAnswer(kCallTimeout)) {
    return;
  }
  const auto took =
    std::chrono::duration_cast<Milliseconds>(Clock::now() - readAt);
  // A caller that reads late doesn't know when its connection ended.
  if (!readsLate && took > kLossSlack) {
    const std::lock_guard lock(this->mutex);
    this->violations.push_back(
      "a request to " + aHost.Text() + " that was completed late ended after " +
      std::to_string(took.count()) + " ms without an answer");
  }
}

void
StallingCallers::Leave(const Endpoint& aHost, std::mt19937& aRandom)
{
  RawConnection connection(aHost);
  const std::string request = RequestText(aHost);
  connection.Send(aRandom() % 2 == 0 ? request : PartOf(request, aRandom));
}

}
