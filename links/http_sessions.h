#pragma once

#include "links/http_session.h"
#include "machines/caller_limits.h"

#include <cstddef>
#include <cstdint>
#include <list>
#include <vector>

namespace sardinecourse {

class CallerLoad;

/** The open connections of one HttpServer, and the memory that each is charged
 * for. When memory or connections are short, some are shed: closed in favour of
 * others. Used in one thread. */
class HttpSessions
{
public:
  using Iterator = std::list<HttpSession>::iterator;
  /** Decides whether a difference in bytes has room; see HasRoomFor(). */
  using Admission = bool (*)(std::int64_t,
                             const CallerLimits&,
                             std::int64_t,
                             const CallerLimits&,
                             std::int64_t);

  /** Memory of a connection without a request or an answer. */
  static constexpr std::int64_t kConnectionBytes = 8 << 10;

  /** aShare are the connections that may be open, and the memory that these may
   * use whatever the other servers of aLoad use. */
  HttpSessions(CallerLoad& aLoad, const CallerLimits& aShare);

  const CallerLimits& Limits() const;
  void Count(CallerRefusal aCause);

  Iterator Open(boost::asio::ip::tcp::socket aSocket);
  void Close(Iterator aPosition);
  auto begin() { return this->sessions.begin(); }
  auto end() { return this->sessions.end(); }
  auto begin() const { return this->sessions.begin(); }
  auto end() const { return this->sessions.end(); }
  bool Empty() const { return this->sessions.empty(); }
  std::size_t Size() const { return this->sessions.size(); }

  /** False while more connections than allowed are open, apart from those that
   * are being shed. */
  bool IsWithinLimit() const;
  /** Sheds one of the first aCount connections in favour of a new one, if there
   * is one to shed. */
  void ShedForConnection(std::size_t aCount);

  /** Sets the memory that is charged for a connection. */
  void Charge(HttpSession& aSession, std::int64_t aBytes);
  /** As Charge(), if aAdmits the difference, or does so once others were shed.
   * False if there is no room, or if this connection would be the one to shed;
   * nothing is charged then. */
  bool TryCharge(HttpSession& aSession, std::int64_t aBytes, Admission aAdmits);
  bool IsAboveShare() const;
  /** While these connections use more than their share and the process more
   * than its limit, sheds some of them. */
  void ReturnShare();

private:
  HttpSession* ChooseForMemory();
  /** Those of the first aCount connections that are not being closed. */
  std::vector<HttpSession*> FindOpen(std::size_t aCount);
  /** Begins to close a connection, whose coroutine then releases what it holds.
   */
  void Shed(HttpSession& aSession, CallerRefusal aCause);

  CallerLoad* load;
  CallerLimits share;
  std::list<HttpSession> sessions;
  std::int64_t heldBytes = 0;
  std::int64_t shedding = 0;
};

}
