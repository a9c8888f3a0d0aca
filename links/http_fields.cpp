#include "links/http_fields.h"

#include <algorithm>
#include <boost/beast/core/string.hpp>
#include <utility>

namespace sardinecourse {

namespace {

bool
IsNamed(const HttpField& aField, std::string_view aName)
{
  return boost::beast::iequals({ aField.name.data(), aField.name.size() },
                               { aName.data(), aName.size() });
}

}

std::string_view
HttpFields::Find(std::string_view aName) const
{
  const auto found = std::find_if(
    this->fields.begin(), this->fields.end(), [aName](const HttpField& aField) {
      return IsNamed(aField, aName);
    });
  return found == this->fields.end() ? std::string_view()
                                     : std::string_view(found->value);
}

bool
HttpFields::Has(std::string_view aName) const
{
  return std::any_of(
    this->fields.begin(), this->fields.end(), [aName](const HttpField& aField) {
      return IsNamed(aField, aName);
    });
}

void
HttpFields::Add(std::string aName, std::string aValue)
{
  this->fields.push_back({ std::move(aName), std::move(aValue) });
}

void
HttpFields::Set(std::string_view aName, std::string aValue)
{
  const auto found = std::find_if(
    this->fields.begin(), this->fields.end(), [aName](const HttpField& aField) {
      return IsNamed(aField, aName);
    });
  if (found == this->fields.end()) {
    this->Add(std::string(aName), std::move(aValue));
    return;
  }
  found->value = std::move(aValue);
}

void
HttpFields::Remove(std::string_view aName)
{
  const auto isNamed = [aName](const HttpField& aField) {
    return IsNamed(aField, aName);
  };
  this->fields.erase(
    std::remove_if(this->fields.begin(), this->fields.end(), isNamed),
    this->fields.end());
}

}
