#include "codecs/pending_json.h"

#include "codecs/json_fields.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace sardinecourse {

std::string
EncodePending(const std::map<QueueName, std::int64_t>& aPending)
{
  nlohmann::json object = nlohmann::json::object();
  for (const auto& [queue, count] : aPending) {
    object[queue.Text()] = count;
  }
  return JsonText(object);
}

std::int64_t
DecodePending(const std::string& aText, const QueueName& aQueue)
{
  const auto object = ParseJsonObject(aText);
  const std::int64_t count =
    object ? IntegerField(*object, aQueue.Text().c_str()) : 0;
  return std::max<std::int64_t>(count, 0);
}

}
