#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>
#include <string>
#include <vector>

namespace sardinecourse {

/** Generates randomly damaged messages for tests of decoders that read external
 * input. Call it within a RapidCheck property. */
class MessageMutator
{
public:
  /** aSamples are messages that the decoder accepts. */
  explicit MessageMutator(std::vector<std::string> aSamples)
    : samples(std::move(aSamples))
  {
  }

  /** A random sample with up to three values replaced and, in a third of the
   * cases, some bytes replaced. */
  std::string Next() const
  {
    std::string text = *rc::gen::elementOf(this->samples);
    const int changes = *rc::gen::inRange(0, 4);
    for (int change = 0; change < changes; ++change) {
      text = ReplaceValue(text);
    }
    return *rc::gen::inRange(0, 3) == 0 ? ReplaceBytes(text) : text;
  }

private:
  /** Replaces a random value of a JSON text by an unusual one; returns other
   * text unchanged. */
  static std::string ReplaceValue(const std::string& aText)
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
    const std::vector<Json> unusualValues{ nullptr,
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
    *node = unusualValues[static_cast<std::size_t>(
      *rc::gen::inRange(0, static_cast<int>(unusualValues.size())))];
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
  }

  /** Replaces up to 19 bytes at a random position by random bytes. */
  static std::string ReplaceBytes(std::string aText)
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
