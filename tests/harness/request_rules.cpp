#include "tests/harness/request_rules.h"

#include <set>

namespace sardinecourse::harness {

namespace {

std::map<std::string, int>
CountRuns(const std::vector<Execution>& aExecutions)
{
  std::map<std::string, int> runs;
  for (const Execution& execution : aExecutions) {
    ++runs[execution.body];
  }
  return runs;
}

int
RunCount(const std::map<std::string, int>& aRuns, const std::string& aBody)
{
  const auto found = aRuns.find(aBody);
  return found == aRuns.end() ? 0 : found->second;
}

}

AnswersRule::AnswersRule(const std::vector<Execution>& aExecutions)
  : runs(CountRuns(aExecutions))
{
}

std::vector<std::string>
AnswersRule::Check(const std::vector<Operation>& aOperations) const
{
  std::vector<std::string> violations;
  for (const Operation& operation : aOperations) {
    if (operation.outcome != "done") {
      continue;
    }
    const std::string& body = operation.subject;
    if (operation.output != "200 ran /work " + body) {
      violations.push_back(body + " got the answer: " + operation.output);
    }
    if (RunCount(this->runs, body) == 0) {
      violations.push_back(body + " is done but never ran");
    }
  }
  return violations;
}

NotRunRule::NotRunRule(const std::vector<Execution>& aExecutions)
  : runs(CountRuns(aExecutions))
{
}

std::vector<std::string>
NotRunRule::Check(const std::vector<Operation>& aOperations) const
{
  std::set<std::string> notRun;
  std::set<std::string> others;
  for (const Operation& operation : aOperations) {
    const bool isNotRun =
      operation.outcome == "not-run" || operation.outcome == "not-connected";
    (isNotRun ? notRun : others).insert(operation.subject);
  }
  std::vector<std::string> violations;
  for (const std::string& body : notRun) {
    if (others.count(body) == 0 && RunCount(this->runs, body) > 0) {
      violations.push_back(body + " was answered not-run, but ran");
    }
  }
  return violations;
}

AtMostOnceRule::AtMostOnceRule(const std::vector<Execution>& aExecutions)
  : runs(CountRuns(aExecutions))
{
}

std::vector<std::string>
AtMostOnceRule::Check(const std::vector<Operation>& aOperations) const
{
  std::set<std::string> once;
  for (const Operation& operation : aOperations) {
    if (operation.kind != "put") {
      once.insert(operation.subject);
    }
  }
  std::vector<std::string> violations;
  for (const std::string& body : once) {
    const int count = RunCount(this->runs, body);
    if (count > 1) {
      violations.push_back(body + " ran " + std::to_string(count) + " times");
    }
  }
  return violations;
}

std::map<std::string, int>
CountOutcomes(const std::vector<Operation>& aOperations)
{
  std::map<std::string, int> counts;
  for (const Operation& operation : aOperations) {
    ++counts[operation.kind + " " + operation.outcome];
  }
  return counts;
}

std::string
OutcomesText(const std::vector<Operation>& aOperations)
{
  std::string text;
  for (const auto& [outcome, count] : CountOutcomes(aOperations)) {
    text += outcome + "=" + std::to_string(count) + "; ";
  }
  return text;
}

}
