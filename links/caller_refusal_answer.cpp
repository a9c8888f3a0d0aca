#include "links/caller_refusal_answer.h"

namespace sardinecourse {

namespace {

constexpr int kContentTooLarge = 413;
constexpr int kFieldsTooLarge = 431;
constexpr int kUnavailable = 503;
/** Requests that fill the memory are answered, or refused, within seconds. */
constexpr const char* kRetryAfterSeconds = "1";

}

std::optional<HttpAnswer>
RefusalAnswer(CallerRefusal aCause)
{
  HttpAnswer answer;
  switch (aCause) {
    case CallerRefusal::kHeaderTooLarge:
      answer.status = kFieldsTooLarge;
      return answer;
    case CallerRefusal::kBodyTooLarge:
      answer.status = kContentTooLarge;
      return answer;
    case CallerRefusal::kMemory:
      answer.status = kUnavailable;
      answer.fields.Add("Retry-After", kRetryAfterSeconds);
      return answer;
    default:
      return std::nullopt;
  }
}

}
