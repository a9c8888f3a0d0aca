#include "codecs/cbor_array.h"

#include <limits>
#include <utility>

namespace sardinecourse {

std::optional<std::vector<CborArray::Item>>
CborArray::Parse(const std::string& aBytes)
{
  CborArray array;
  const bool isParsed = nlohmann::json::sax_parse(
    aBytes, &array, nlohmann::json::input_format_t::cbor);
  if (!isParsed || !array.isOpen) {
    return std::nullopt;
  }
  return std::move(array.items);
}

bool
CborArray::number_integer(std::int64_t aValue)
{
  this->items.emplace_back(aValue);
  return this->isOpen;
}

bool
CborArray::number_unsigned(std::uint64_t aValue)
{
  constexpr std::uint64_t kMax = std::numeric_limits<std::int64_t>::max();
  this->items.emplace_back(static_cast<std::int64_t>(aValue));
  return this->isOpen && aValue <= kMax;
}

bool
CborArray::string(std::string& aValue)
{
  this->items.emplace_back(std::move(aValue));
  return this->isOpen;
}

bool
CborArray::start_array(std::size_t /*aCount*/)
{
  return !std::exchange(this->isOpen, true);
}

}
