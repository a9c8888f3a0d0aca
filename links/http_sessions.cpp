#include "links/http_sessions.h"

#include "machines/caller_load.h"
#include "zones/callers/connection_shedding.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace sardinecourse {

namespace {

std::vector<HeldConnection>
HeldBy(const std::vector<HttpSession*>& aSessions)
{
  std::vector<HeldConnection> held;
  held.reserve(aSessions.size());
  std::transform(aSessions.begin(),
                 aSessions.end(),
                 std::back_inserter(held),
                 [](const HttpSession* aSession) { return aSession->Held(); });
  return held;
}

}

HttpSessions::HttpSessions(CallerLoad& aLoad, const CallerLimits& aShare)
  : load(&aLoad)
  , share(aShare)
{
}

const CallerLimits&
HttpSessions::Limits() const
{
  return this->load->Limits();
}

void
HttpSessions::Count(CallerRefusal aCause)
{
  this->load->Count(aCause);
}

HttpSessions::Iterator
HttpSessions::Open(boost::asio::ip::tcp::socket aSocket)
{
  const auto bufferLimit =
    static_cast<std::size_t>(this->Limits().HeaderBytes());
  const Iterator position = this->sessions.emplace(
    this->sessions.end(), std::move(aSocket), bufferLimit);
  this->load->AddConnections(1);
  this->Charge(*position, kConnectionBytes);
  return position;
}

void
HttpSessions::Close(Iterator aPosition)
{
  this->Charge(*aPosition, 0);
  this->load->AddConnections(-1);
  this->shedding -= aPosition->shedFor ? 1 : 0;
  this->sessions.erase(aPosition);
}

bool
HttpSessions::IsWithinLimit() const
{
  return static_cast<std::int64_t>(this->sessions.size()) - this->shedding <=
         this->share.Connections();
}

void
HttpSessions::ShedForConnection(std::size_t aCount)
{
  const std::vector<HttpSession*> open = this->FindOpen(aCount);
  const auto chosen = ChooseToFreeConnection(HeldBy(open), Clock::now());
  if (chosen) {
    this->Shed(*open[*chosen], CallerRefusal::kConnections);
  }
}

void
HttpSessions::Charge(HttpSession& aSession, std::int64_t aBytes)
{
  const std::int64_t difference = aBytes - aSession.bytes;
  aSession.bytes = aBytes;
  this->heldBytes += difference;
  this->load->AddHeldBytes(difference);
}

bool
HttpSessions::TryCharge(HttpSession& aSession,
                        std::int64_t aBytes,
                        Admission aAdmits)
{
  while (!aAdmits(aBytes - aSession.bytes,
                  this->Limits(),
                  this->load->HeldBytes(),
                  this->share,
                  this->heldBytes)) {
    HttpSession* const chosen = this->ChooseForMemory();
    if (chosen == nullptr || chosen == &aSession) {
      return false;
    }
    this->Shed(*chosen, CallerRefusal::kMemory);
  }
  this->Charge(aSession, aBytes);
  return true;
}

bool
HttpSessions::IsAboveShare() const
{
  return this->heldBytes > this->share.MemoryBytes();
}

void
HttpSessions::ReturnShare()
{
  HttpSession* chosen = nullptr;
  do {
    const bool isNeeded =
      this->IsAboveShare() &&
      this->load->HeldBytes() > this->Limits().MemoryBytes();
    chosen = isNeeded ? this->ChooseForMemory() : nullptr;
    if (chosen != nullptr) {
      this->Shed(*chosen, CallerRefusal::kMemory);
    }
  } while (chosen != nullptr);
}

HttpSession*
HttpSessions::ChooseForMemory()
{
  const std::vector<HttpSession*> open = this->FindOpen(this->sessions.size());
  const auto chosen = ChooseToFreeMemory(HeldBy(open), Clock::now());
  return chosen ? open[*chosen] : nullptr;
}

std::vector<HttpSession*>
HttpSessions::FindOpen(std::size_t aCount)
{
  std::vector<HttpSession*> open;
  open.reserve(aCount);
  std::size_t left = aCount;
  for (HttpSession& session : this->sessions) {
    if (left == 0) {
      break;
    }
    --left;
    if (!session.shedFor && session.state != HttpSession::State::kLingering) {
      open.push_back(&session);
    }
  }
  return open;
}

void
HttpSessions::Shed(HttpSession& aSession, CallerRefusal aCause)
{
  boost::system::error_code ignored;
  this->Count(aCause);
  aSession.shedFor = aCause;
  ++this->shedding;
  this->Charge(aSession, 0);
  if (aSession.state == HttpSession::State::kReading) {
    aSession.stream.socket().shutdown(
      boost::asio::ip::tcp::socket::shutdown_receive, ignored);
  } else {
    aSession.stream.close();
  }
}

}
