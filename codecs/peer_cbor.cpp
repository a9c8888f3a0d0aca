#include "codecs/peer_cbor.h"

#include "codecs/cbor_array.h"
#include "core/reason.h"

#include <nlohmann/json.hpp>
#include <tuple>
#include <utility>

namespace sardinecourse {

namespace {

/** A host with another protocol version drops the connection instead of
 * misreading its messages. */
constexpr std::int64_t kVersion = 1;
constexpr std::size_t kMaxNameBytes = 255;
constexpr std::size_t kMaxTextBytes = 7U << 20U;
constexpr std::size_t kMaxLoads = 4096;

using Items = std::vector<CborArray::Item>;

// References to the fields of each message in wire order, for encoding and
// decoding alike. Message is const when it is encoded.
template<typename Message>
auto
FieldsOf(Message& aMessage)
{
  using Plain = std::remove_const_t<Message>;
  if constexpr (std::is_same_v<Plain, PeerHello>) {
    return std::tie(aMessage.host,
                    aMessage.dataCentre,
                    aMessage.incarnation,
                    aMessage.revision);
  } else if constexpr (std::is_same_v<Plain, PeerHeartbeat>) {
    return std::tie(aMessage.revision);
  } else if constexpr (std::is_same_v<Plain, SettingsRequest>) {
    return std::tie(aMessage.request, aMessage.above);
  } else if constexpr (std::is_same_v<Plain, SettingsReply>) {
    return std::tie(aMessage.request, aMessage.revision, aMessage.text);
  } else if constexpr (std::is_same_v<Plain, MinionLoads>) {
    return std::tie(aMessage.revision, aMessage.isFull, aMessage.loads);
  } else if constexpr (std::is_same_v<Plain, MinionLeaving>) {
    return std::tie(aMessage.minion);
  } else if constexpr (std::is_same_v<Plain, PromiseRequest>) {
    return std::tie(aMessage.request, aMessage.term);
  } else if constexpr (std::is_same_v<Plain, PromiseReply>) {
    return std::tie(aMessage.request, aMessage.granted);
  } else if constexpr (std::is_same_v<Plain, QueueNotice>) {
    return std::tie();
  } else {
    static_assert(std::is_same_v<Plain, HostLeaving>);
    return std::tie(aMessage.incarnation);
  }
}

class Writer
{
public:
  explicit Writer(std::size_t aKind)
    : array(nlohmann::json::array({ kVersion, aKind }))
  {
  }
  void Put(std::int64_t aValue) { this->array.push_back(aValue); }
  void Put(bool aValue) { this->Put(std::int64_t{ aValue ? 1 : 0 }); }
  void Put(const std::string& aValue) { this->array.push_back(aValue); }
  template<typename Tag>
  void Put(const Name<Tag>& aName)
  {
    this->Put(aName.Text());
  }
  void Put(const std::vector<MinionLoad>& aLoads)
  {
    for (const MinionLoad& load : aLoads) {
      this->Put(load.index);
      this->Put(load.inFlight);
    }
  }
  std::string Bytes() const
  {
    std::string bytes;
    nlohmann::json::to_cbor(this->array, bytes);
    return bytes;
  }

private:
  nlohmann::json array;
};

/** Reads the items of a message in order; Get() returns false when the next
 * item is missing, of another type or out of range. */
class Reader
{
public:
  explicit Reader(Items aItems)
    : items(std::move(aItems))
  {
  }
  bool Get(std::int64_t& aValue)
  {
    const auto* value = this->Next<std::int64_t>();
    aValue = value == nullptr ? 0 : *value;
    // No message has a field with negative values.
    return value != nullptr && aValue >= 0;
  }
  bool Get(bool& aValue)
  {
    std::int64_t number = 0;
    const bool isValid = this->Get(number);
    aValue = number == 1;
    return isValid && number <= 1;
  }
  bool Get(std::string& aValue) { return this->GetText(aValue, kMaxTextBytes); }
  template<typename Tag>
  bool Get(Name<Tag>& aName)
  {
    std::string text;
    const bool isValid = this->GetText(text, kMaxNameBytes);
    aName = Name<Tag>(text);
    return isValid && !text.empty();
  }
  bool Get(std::vector<MinionLoad>& aLoads)
  {
    while (!this->AtEnd() && aLoads.size() < kMaxLoads) {
      MinionLoad load;
      if (!this->Get(load.index) || !this->Get(load.inFlight)) {
        return false;
      }
      aLoads.push_back(load);
    }
    return true;
  }
  bool AtEnd() const { return this->position == this->items.size(); }

private:
  template<typename Value>
  Value* Next()
  {
    return this->AtEnd() ? nullptr
                         : std::get_if<Value>(&this->items[this->position++]);
  }
  bool GetText(std::string& aText, std::size_t aMaxBytes)
  {
    auto* text = this->Next<std::string>();
    if (text == nullptr || text->size() > aMaxBytes) {
      return false;
    }
    aText = std::move(*text);
    return true;
  }

  Items items;
  std::size_t position = 0;
};

template<typename Message>
std::optional<PeerMessage>
ReadFields(Reader& aReader)
{
  Message message;
  const auto getAll = [&aReader](auto&... aFields) {
    return (aReader.Get(aFields) && ...);
  };
  if (!std::apply(getAll, FieldsOf(message)) || !aReader.AtEnd()) {
    return std::nullopt;
  }
  return PeerMessage(std::move(message));
}

template<std::size_t Kind = 0>
std::optional<PeerMessage>
ReadKind(std::int64_t aKind, Reader& aReader)
{
  if constexpr (Kind == std::variant_size_v<PeerMessage>) {
    return std::nullopt;
  } else {
    if (aKind == static_cast<std::int64_t>(Kind)) {
      return ReadFields<std::variant_alternative_t<Kind, PeerMessage>>(aReader);
    }
    return ReadKind<Kind + 1>(aKind, aReader);
  }
}

}

std::string
EncodePeerMessage(const PeerMessage& aMessage)
{
  Writer writer(aMessage.index());
  std::visit(
    [&writer](const auto& aAlternative) {
      std::apply(
        [&writer](const auto&... aFields) { (writer.Put(aFields), ...); },
        FieldsOf(aAlternative));
    },
    aMessage);
  return writer.Bytes();
}

std::optional<PeerMessage>
DecodePeerMessage(const std::string& aBytes, Reason& aReason)
{
  std::optional<Items> items = CborArray::Parse(aBytes);
  if (!items) {
    aReason =
      Reason(Step::kDecode, "", "a peer message must be one flat CBOR array");
    return std::nullopt;
  }
  Reader reader(std::move(*items));
  std::int64_t version = 0;
  std::int64_t kind = 0;
  if (!reader.Get(version) || !reader.Get(kind) || version != kVersion) {
    aReason = Reason(Step::kDecode,
                     "",
                     "protocol version must be " + std::to_string(kVersion));
    return std::nullopt;
  }
  std::optional<PeerMessage> message = ReadKind(kind, reader);
  if (!message) {
    aReason = Reason(Step::kDecode,
                     "",
                     "peer message of kind " + std::to_string(kind) +
                       " is unknown or has wrong fields");
  }
  return message;
}

}
