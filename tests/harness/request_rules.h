#pragma once

#include "tests/harness/execution.h"
#include "tests/harness/operation.h"

#include <map>
#include <string>
#include <vector>

namespace sardinecourse::harness {

/** "done" means that the caller got the whole answer to its own request, and
 * that it ran. */
class AnswersRule
{
public:
  explicit AnswersRule(const std::vector<Execution>& aExecutions);
  std::vector<std::string> Check(
    const std::vector<Operation>& aOperations) const;

private:
  std::map<std::string, int> runs;
};

/** What callers were told was not run was not run. A key's request counts as
 * told so if every use of the key was. */
class NotRunRule
{
public:
  explicit NotRunRule(const std::vector<Execution>& aExecutions);
  std::vector<std::string> Check(
    const std::vector<Operation>& aOperations) const;

private:
  std::map<std::string, int> runs;
};

/** A request that is not idempotent ran at most once. */
class AtMostOnceRule
{
public:
  explicit AtMostOnceRule(const std::vector<Execution>& aExecutions);
  std::vector<std::string> Check(
    const std::vector<Operation>& aOperations) const;

private:
  std::map<std::string, int> runs;
};

/** Count of operations by "kind outcome". */
std::map<std::string, int>
CountOutcomes(const std::vector<Operation>& aOperations);

/** The counts in one line, for the run's output. */
std::string
OutcomesText(const std::vector<Operation>& aOperations);

}
