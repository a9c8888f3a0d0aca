#pragma once

#include "tests/harness/execution.h"
#include "tests/harness/operation.h"

#include <map>
#include <string>
#include <vector>

namespace sardinecourse::harness {

/** Checks that an outcome "done" came with the complete answer to the caller's
 * own request, and that the request ran. */
class AnswersRule
{
public:
  explicit AnswersRule(const std::vector<Execution>& aExecutions);
  std::vector<std::string> Check(
    const std::vector<Operation>& aOperations) const;

private:
  std::map<std::string, int> runs;
};

/** Checks that no request ran whose outcome was "not-run" or "not-connected". A
 * request that was sent several times under one key is checked only if every
 * send had such an outcome. */
class NotRunRule
{
public:
  explicit NotRunRule(const std::vector<Execution>& aExecutions);
  std::vector<std::string> Check(
    const std::vector<Operation>& aOperations) const;

private:
  std::map<std::string, int> runs;
};

/** Checks that a request that is not idempotent ran at most once. */
class AtMostOnceRule
{
public:
  explicit AtMostOnceRule(const std::vector<Execution>& aExecutions);
  std::vector<std::string> Check(
    const std::vector<Operation>& aOperations) const;

private:
  std::map<std::string, int> runs;
};

/** Number of operations by "kind outcome". */
std::map<std::string, int>
CountOutcomes(const std::vector<Operation>& aOperations);

/** The numbers of CountOutcomes() in one line, for the output of a test. */
std::string
OutcomesText(const std::vector<Operation>& aOperations);

}
