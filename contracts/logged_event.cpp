#include "contracts/logged_event.h"

#include <algorithm>

namespace sardinecourse {

std::string
LoggedEvent::Text(std::string_view aField) const
{
  const Value* value = this->Find(aField);
  if (value == nullptr) {
    return {};
  }
  if (const auto* number = std::get_if<std::int64_t>(value)) {
    return std::to_string(*number);
  }
  return std::get<std::string>(*value);
}

std::int64_t
LoggedEvent::Number(std::string_view aField) const
{
  const Value* value = this->Find(aField);
  const auto* number =
    value == nullptr ? nullptr : std::get_if<std::int64_t>(value);
  return number == nullptr ? 0 : *number;
}

const LoggedEvent::Value*
LoggedEvent::Find(std::string_view aField) const
{
  const auto found =
    std::find_if(this->fields.begin(),
                 this->fields.end(),
                 [aField](const auto& aPair) { return aPair.first == aField; });
  return found == this->fields.end() ? nullptr : &found->second;
}

}
