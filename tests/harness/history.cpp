#include "tests/harness/history.h"

#include <utility>

namespace sardinecourse::harness {

std::size_t
History::Call(std::int32_t aClient,
              std::string aKind,
              std::string aSubject,
              std::string aInput)
{
  const std::lock_guard<std::mutex> lock(this->mutex);
  Operation operation;
  operation.client = aClient;
  operation.kind = std::move(aKind);
  operation.subject = std::move(aSubject);
  operation.input = std::move(aInput);
  operation.called = Clock::now();
  this->operations.push_back(std::move(operation));
  return this->operations.size() - 1;
}

void
History::Return(std::size_t aNumber, std::string aOutcome, std::string aOutput)
{
  const std::lock_guard<std::mutex> lock(this->mutex);
  Operation& operation = this->operations.at(aNumber);
  operation.returned = Clock::now();
  operation.outcome = std::move(aOutcome);
  operation.output = std::move(aOutput);
}

void
History::Observe(std::int32_t aClient,
                 std::string aKind,
                 std::string aSubject,
                 std::string aOutput)
{
  const std::size_t number =
    this->Call(aClient, std::move(aKind), std::move(aSubject), "");
  this->Return(number, "seen", std::move(aOutput));
}

std::vector<Operation>
History::Operations() const
{
  const std::lock_guard<std::mutex> lock(this->mutex);
  return this->operations;
}

}
