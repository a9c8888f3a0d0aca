#pragma once

#include <cstdint>
#include <string_view>

namespace sardinecourse {

/** Outcome of an order to a worker, as far as the call could determine it. */
enum class OrderOutcome : std::uint8_t
{
  /** It was carried out. */
  kDone,
  /** It was not carried out, and never will be. */
  kRefused,
  /** It was refused because the worker has received a higher fencing token. */
  kFenced,
  /** It was refused because another incarnation of a machine answers at the
   * worker's address: the worker was replaced, and nothing runs on it any more.
   */
  kWorkerReplaced,
  /** It may have been carried out, or may still be. */
  kNotKnown
};

/** Name of an outcome in events and logs. */
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
