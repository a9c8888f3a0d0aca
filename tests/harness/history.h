#pragma once

#include "tests/harness/operation.h"

#include <concepts>
#include <cstddef>
#include <mutex>
#include <string>
#include <vector>

namespace sardinecourse::harness {

/** Thread-safe record of the operations of one concurrent test run. */
class History
{
public:
  /** Records the start of a call; returns its number for Return(). */
  std::size_t Call(std::int32_t aClient,
                   std::string aKind,
                   std::string aSubject,
                   std::string aInput);
  void Return(std::size_t aNumber, std::string aOutcome, std::string aOutput);
  /** Records an observation as a call that returns at once with "seen". */
  void Observe(std::int32_t aClient,
               std::string aKind,
               std::string aSubject,
               std::string aOutput);

  std::vector<Operation> Operations() const;

private:
  mutable std::mutex mutex;
  std::vector<Operation> operations;
};

/** A rule for a complete history. Check() returns a description of each
 * violation. */
template<typename Rule>
concept HistoryChecker = requires(const Rule& aRule,
                                  const std::vector<Operation>& aOperations)
{
  {
    aRule.Check(aOperations)
    } -> std::same_as<std::vector<std::string>>;
};

/** Descriptions of all violations, one a line; empty when there are none. */
template<HistoryChecker Rule>
std::string
CheckHistory(const Rule& aRule, const History& aHistory)
{
  std::string text;
  for (const std::string& violation : aRule.Check(aHistory.Operations())) {
    text += violation + "\n";
  }
  return text;
}

}
