#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>
#include <string>
#include <vector>

namespace sardinecourse {

/** Messages like those that a decoder reads from outside, damaged by a test's
 * random choices. */
class MessageMutator
{
public:
  /** aSamples are messages that the decoder takes. */
  explicit MessageMutator(std::vector<std::string> aSamples)
    : samples(std::move(aSamples))
  {
  }

  std::string Next() const
  {
    std::string text = *rc::gen::elementOf(this->samples);
    const int changes = *rc::gen::inRange(0, 4);
    for (int change = 0; change < changes; ++change) {
      text = WithOtherValue(text);
    }
    return *rc::gen::inRange(0, 3) == 0 ? WithOtherBytes(text) : text;
  }

private:
  /** Puts an unlikely value in the place of some part of a JSON text. */
  static std::string WithOtherValue(const std::string& aText)
  {
    using Json = nlohmann::json;
    Json json = Json::parse(aText, nullptr, false);
    if (json.is_discarded()) {
      return aText;
    }
    Json* node = &json;
    while (node->is_structured() && !node->empty() &&
           *rc::gen::inRange(0, 4) != 0) {
      auto child = node->begin();
      std::advance(child, *rc::gen::inRange(0, static_cast<int>(node->size())));
      node = &*child;
    }
    const std::vector<Json> odd{ nullptr,
                                 true,
                                 -1,
                                 0,
                                 1.5,
                                 1e300,
                                 INT64_MAX,
                                 INT64_MIN,
                                 UINT64_MAX,
                                 "",
                                 "7",
                                 "\xff",
                                 std::string(100'000, 'x'),
                                 Json::array(),
                                 Json::object(),
                                 Json::array({ 1, "a", nullptr }) };
    // RapidCheck cannot print a JSON value that it has generated.
    *node = odd[static_cast<std::size_t>(
      *rc::gen::inRange(0, static_cast<int>(odd.size())))];
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
  }

  static std::string WithOtherBytes(std::string aText)
  {
    const auto at = static_cast<std::size_t>(
      *rc::gen::inRange(0, static_cast<int>(aText.size()) + 1));
    const auto length = static_cast<std::size_t>(*rc::gen::inRange(0, 20));
    return aText.replace(
      at,
      std::min(length, aText.size() - at),
      *rc::gen::container<std::string>(rc::gen::arbitrary<char>()));
  }

  std::vector<std::string> samples;
};

}
