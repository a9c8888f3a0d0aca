#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace sardinecourse {

/**
 * SAX handler for nlohmann's parser that collects the items of one flat array
 * of integers and strings. Any other event stops the parse, so deeply nested
 * input uses neither stack nor memory. The library prescribes the method names.
 */
class CborArray
{
public:
  using Item = std::variant<std::int64_t, std::string>;

  /** Empty when aBytes is not exactly one such array, or when an integer does
   * not fit std::int64_t. */
  static std::optional<std::vector<Item>> Parse(const std::string& aBytes);

  // NOLINTBEGIN(readability-identifier-naming)
  bool null() { return false; }
  bool boolean(bool /*aValue*/) { return false; }
  bool number_integer(std::int64_t aValue);
  bool number_unsigned(std::uint64_t aValue);
  bool number_float(double /*aValue*/, const std::string& /*aText*/)
  {
    return false;
  }
  bool string(std::string& aValue);
  bool binary(nlohmann::json::binary_t& /*aValue*/) { return false; }
  bool start_object(std::size_t /*aCount*/) { return false; }
  bool key(std::string& /*aValue*/) { return false; }
  bool end_object() { return false; }
  bool start_array(std::size_t /*aCount*/);
  bool end_array() { return true; }
  bool parse_error(std::size_t /*aPosition*/,
                   const std::string& /*aToken*/,
                   const nlohmann::json::exception& /*aError*/)
  {
    return false;
  }
  // NOLINTEND(readability-identifier-naming)

private:
  std::vector<Item> items;
  bool isOpen = false;
};

}
