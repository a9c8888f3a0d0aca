#pragma once

#include "tests/harness/operation.h"

#include <concepts>
#include <cstddef>
#include <mutex>
#include <string>
#include <vector>

namespace sardinecourse::harness {

/** The operations of one concurrent run, recorded from many threads. */
class History
{
public:
  /** Records a call and gives its number for Return(). */
  std::size_t Call(std::int32_t aClient,
                   std::string aKind,
                   std::string aSubject,
                   std::string aInput);
  void Return(std::size_t aNumber, std::string aOutcome, std::string aOutput);
  /** Records what was seen at one instant, with no call of its own. */
  void Observe(std::int32_t aClient,
               std::string aKind,
               std::string aSubject,
               std::string aOutput);

  std::vector<Operation> Operations() const;

private:
  mutable std::mutex mutex;
  std::vector<Operation> operations;
};

/** A rule that a whole history must keep. Check() gives each breach of it in
 * words, none when the rule was kept. */
template<typename Rule>
concept HistoryChecker = requires(const Rule& aRule,
                                  const std::vector<Operation>& aOperations)
{
  {
    aRule.Check(aOperations)
    } -> std::same_as<std::vector<std::string>>;
};

/** All breaches in one text, empty when there are none. */
template<HistoryChecker Rule>
std::string
CheckHistory(const Rule& aRule, const History& aHistory)
{
  std::string text;
  for (const std::string& breach : aRule.Check(aHistory.Operations())) {
    text += breach + "\n";
  }
  return text;
}

}
