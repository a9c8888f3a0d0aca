#include "codecs/domain_owner_json.h"

#include "codecs/json_fields.h"
#include "contracts/domain_owner_builder.h"
#include "core/reason.h"

#include <nlohmann/json.hpp>

namespace sardinecourse {

namespace {

/** A time on the store's clock; 0 for a number that no store shows. */
std::int64_t
StoreTimeField(const nlohmann::json& aObject, const char* aName)
{
  constexpr std::int64_t kMaxStoreMs = std::int64_t{ 1 } << 53U;
  const std::int64_t time = IntegerField(aObject, aName);
  return time >= 0 && time <= kMaxStoreMs ? time : 0;
}

}

std::string
EncodeDomainOwner(const DomainOwner& aOwner)
{
  return JsonText({ { "host", aOwner.Host().Text() },
                    { "process", aOwner.Process() },
                    { "term", aOwner.Term() },
                    { "renewal", aOwner.Renewal() },
                    { "released", aOwner.IsReleased() },
                    { "bounds_kept_since", aOwner.BoundsKeptSince() },
                    { "renews_until_ms", aOwner.RenewsUntilMs() },
                    { "others_until_ms", aOwner.OthersUntilMs() } });
}

std::optional<DomainOwner>
DecodeDomainOwner(const std::string& aText, Reason& aReason)
{
  const auto object = ParseJsonObject(aText);
  if (!object) {
    aReason =
      Reason(Step::kDecode, "", "the owner's row must be a JSON object");
    return std::nullopt;
  }
  return DomainOwnerBuilder()
    .Host(HostName(TextField(*object, "host")))
    .Process(TextField(*object, "process"))
    .Term(IntegerField(*object, "term"))
    .Renewal(IntegerField(*object, "renewal"))
    .IsReleased(BooleanField(*object, "released"))
    .BoundsKeptSince(IntegerField(*object, "bounds_kept_since"))
    .RenewsUntilMs(StoreTimeField(*object, "renews_until_ms"))
    .OthersUntilMs(StoreTimeField(*object, "others_until_ms"))
    .Build(aReason);
}

}
