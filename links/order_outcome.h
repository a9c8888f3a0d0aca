#pragma once

#include <cstdint>
#include <string_view>

namespace sardinecourse {

/** What is known of an order to a worker after the call. */
enum class OrderOutcome : std::uint8_t
{
  /** It was carried out. */
  kDone,
  /** It certainly was not, and never will be. */
  kRefused,
  /** It was refused because the worker has seen a higher fencing token. */
  kFenced,
  /** It was refused because another life of a machine answers at the worker's
   * address: the worker is over, and nothing runs on it any more. */
  kWorkerReplaced,
  /** It may have been carried out, or may be later. */
  kNotKnown
};

/** Its name in the log. */
constexpr std::string_view
OrderOutcomeName(OrderOutcome aOutcome)
{
  switch (aOutcome) {
    case OrderOutcome::kDone:
      return "done";
    case OrderOutcome::kRefused:
      return "refused";
    case OrderOutcome::kFenced:
      return "fenced";
    case OrderOutcome::kWorkerReplaced:
      return "worker_over";
    case OrderOutcome::kNotKnown:
      return "not_known";
  }
  return "not_known";
}

}
