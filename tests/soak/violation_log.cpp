#include "tests/soak/violation_log.h"

#include <iostream>

namespace sardinecourse::harness {

void
ViolationLog::Add(const std::string& aName, const std::string& aRecord)
{
  const std::lock_guard lock(this->mutex);
  ++this->violations[aName];
  std::cerr << "violation: " << aName << ": " << aRecord << '\n';
}

void
ViolationLog::Count(const std::string& aName)
{
  const std::lock_guard lock(this->mutex);
  ++this->counts[aName];
}

bool
ViolationLog::IsEmpty() const
{
  const std::lock_guard lock(this->mutex);
  return this->violations.empty();
}

std::string
ViolationLog::Summary() const
{
  const std::lock_guard lock(this->mutex);
  std::string text;
  for (const auto& [name, count] : this->counts) {
    text += ' ' + name + '=' + std::to_string(count);
  }
  text += this->violations.empty() ? " passed" : " BROKEN:";
  for (const auto& [name, count] : this->violations) {
    text += ' ' + name + '=' + std::to_string(count);
  }
  return text;
}

}
