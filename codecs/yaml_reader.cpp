#include "codecs/yaml_reader.h"

#include <algorithm>
#include <sstream>
#include <utility>
#include <yaml-cpp/yaml.h>

namespace sardinecourse {

namespace {

int
LineOf(const YAML::Node& aNode)
{
  return aNode.Mark().line + 1;
}

bool
Contains(const std::vector<std::string>& aKeys, const std::string& aKey)
{
  return std::find(aKeys.begin(), aKeys.end(), aKey) != aKeys.end();
}

}

YamlReader::YamlReader(const YAML::Node& aNode,
                       std::string aFile,
                       std::string aPath)
  : node(std::make_unique<const YAML::Node>(aNode))
  , file(std::move(aFile))
  , path(std::move(aPath))
  , line(LineOf(aNode))
{
  if (!aNode.IsMap() && !aNode.IsNull()) {
    this->FailAt(LineOf(aNode), "", "must be a mapping");
  }
}

YamlReader::~YamlReader() = default;

YAML::Node
YamlReader::ReadNode(const std::string& aKey)
{
  this->readKeys.push_back(aKey);
  if (!this->node->IsMap()) {
    return YAML::Node(YAML::NodeType::Undefined);
  }
  return (*this->node)[aKey];
}

std::string
YamlReader::Text(const std::string& aKey)
{
  if (!this->Has(aKey)) {
    this->Fail(aKey, "is missing");
  }
  return this->Text(aKey, "");
}

std::string
YamlReader::Text(const std::string& aKey, const std::string& aDefault)
{
  const YAML::Node value = this->ReadNode(aKey);
  if (!value.IsDefined()) {
    return aDefault;
  }
  if (!value.IsScalar()) {
    this->Fail(aKey, "must be a string");
    return aDefault;
  }
  return value.Scalar();
}

std::int64_t
YamlReader::Integer(const std::string& aKey,
                    std::int64_t aMin,
                    std::int64_t aMax)
{
  if (!this->Has(aKey)) {
    this->Fail(aKey, "is missing");
  }
  return this->Integer(aKey, aMin, aMin, aMax);
}

std::int64_t
YamlReader::Integer(const std::string& aKey,
                    std::int64_t aDefault,
                    std::int64_t aMin,
                    std::int64_t aMax)
{
  const YAML::Node value = this->ReadNode(aKey);
  if (!value.IsDefined()) {
    return aDefault;
  }
  std::int64_t number = 0;
  if (!value.IsScalar() ||
      !YAML::convert<std::int64_t>::decode(value, number)) {
    this->Fail(aKey, "must be a whole number");
    return aDefault;
  }
  if (number < aMin || number > aMax) {
    this->Fail(aKey,
               "must be from " + std::to_string(aMin) + " to " +
                 std::to_string(aMax));
    return aDefault;
  }
  return number;
}

double
YamlReader::Number(const std::string& aKey,
                   double aDefault,
                   double aMin,
                   double aMax)
{
  const YAML::Node value = this->ReadNode(aKey);
  if (!value.IsDefined()) {
    return aDefault;
  }
  double number = 0.0;
  if (!value.IsScalar() || !YAML::convert<double>::decode(value, number)) {
    this->Fail(aKey, "must be a number");
    return aDefault;
  }
  // The comparison is false for NaN, so NaN is refused as out of range too.
  if (!(number >= aMin && number <= aMax)) {
    std::ostringstream text;
    text << "must be from " << aMin << " to " << aMax;
    this->Fail(aKey, text.str());
    return aDefault;
  }
  return number;
}

bool
YamlReader::Boolean(const std::string& aKey, bool aDefault)
{
  const YAML::Node value = this->ReadNode(aKey);
  if (!value.IsDefined()) {
    return aDefault;
  }
  bool isSet = aDefault;
  if (!value.IsScalar() || !YAML::convert<bool>::decode(value, isSet)) {
    this->Fail(aKey, "must be true or false");
  }
  return isSet;
}

Milliseconds
YamlReader::Seconds(const std::string& aKey,
                    Milliseconds aDefault,
                    double aMin,
                    double aMax)
{
  using DoubleSeconds = std::chrono::duration<double>;
  const DoubleSeconds seconds(
    this->Number(aKey, DoubleSeconds(aDefault).count(), aMin, aMax));
  return std::chrono::round<Milliseconds>(seconds);
}

Endpoint
YamlReader::Address(const std::string& aKey)
{
  const std::string text = this->Text(aKey);
  Reason reason;
  const std::optional<Endpoint> endpoint = Endpoint::Parse(text, reason);
  if (!endpoint) {
    this->Fail(aKey, reason.Text());
    return {};
  }
  return *endpoint;
}

std::vector<Endpoint>
YamlReader::Addresses(const std::string& aKey)
{
  std::vector<Endpoint> endpoints;
  const YAML::Node value = this->ReadNode(aKey);
  if (!value.IsDefined()) {
    return endpoints;
  }
  if (!value.IsSequence()) {
    this->Fail(aKey, "must be a sequence of IP:PORT");
    return endpoints;
  }
  for (const YAML::Node& item : value) {
    Reason reason;
    const auto endpoint =
      Endpoint::Parse(item.IsScalar() ? item.Scalar() : std::string(), reason);
    if (!endpoint) {
      this->FailAt(LineOf(item), aKey, reason.Text());
      return endpoints;
    }
    endpoints.push_back(*endpoint);
  }
  return endpoints;
}

void
YamlReader::ForEachEntry(
  const std::string& aKey,
  const std::function<void(const std::string&, YamlReader&)>& aVisit)
{
  const YAML::Node value = this->ReadNode(aKey);
  if (!value.IsDefined() || value.IsNull()) {
    return;
  }
  if (!value.IsMap()) {
    this->Fail(aKey, "must be a mapping of names");
    return;
  }
  std::vector<std::string> names;
  for (const auto& entry : value) {
    const std::string name = entry.first.IsScalar() ? entry.first.Scalar() : "";
    if (name.empty() || Contains(names, name)) {
      this->FailAt(LineOf(entry.first),
                   aKey,
                   "name '" + name + "' is empty or occurs twice");
      return;
    }
    names.push_back(name);
    YamlReader child(
      entry.second, this->file, this->path + "." + aKey + "." + name);
    child.line = LineOf(entry.first);
    aVisit(name, child);
    this->TakeErrorFrom(child);
  }
}

void
YamlReader::ForEachItem(const std::string& aKey,
                        const std::function<void(YamlReader&)>& aVisit)
{
  const YAML::Node value = this->ReadNode(aKey);
  if (!value.IsDefined() || value.IsNull()) {
    return;
  }
  if (!value.IsSequence()) {
    this->Fail(aKey, "must be a sequence");
    return;
  }
  for (const YAML::Node& item : value) {
    YamlReader child(item, this->file, this->path + "." + aKey);
    aVisit(child);
    this->TakeErrorFrom(child);
  }
}

void
YamlReader::Section(const std::string& aKey,
                    const std::function<void(YamlReader&)>& aVisit)
{
  const YAML::Node value = this->ReadNode(aKey);
  if (!value.IsDefined() || value.IsNull()) {
    return;
  }
  YamlReader child(value, this->file, this->path + "." + aKey);
  child.line = this->LineOfKey(aKey);
  aVisit(child);
  this->TakeErrorFrom(child);
}

bool
YamlReader::Has(const std::string& aKey) const
{
  return this->node->IsMap() && (*this->node)[aKey].IsDefined();
}

bool
YamlReader::IsEmpty(const std::string& aKey)
{
  const YAML::Node value = this->ReadNode(aKey);
  return !value.IsDefined() || value.IsNull();
}

int
YamlReader::LineOfKey(const std::string& aKey) const
{
  if (!this->node->IsMap()) {
    return this->Line();
  }
  // An empty value has no line of its own, so the line of its key is used.
  for (const auto& entry : *this->node) {
    if (entry.first.IsScalar() && entry.first.Scalar() == aKey) {
      return LineOf(entry.first);
    }
  }
  return this->Line();
}

void
YamlReader::Fail(const std::string& aKey, const std::string& aText)
{
  this->FailAt(this->LineOfKey(aKey), aKey, aText);
}

void
YamlReader::FailAt(int aLine, const std::string& aKey, const std::string& aText)
{
  if (this->error) {
    return;
  }
  const std::string key = aKey.empty() ? this->path : this->path + "." + aKey;
  this->error = Reason(Step::kSettings,
                       this->file + ":" + std::to_string(aLine),
                       key + " " + aText);
}

void
YamlReader::TakeErrorFrom(YamlReader& aChild)
{
  Reason reason;
  if (!aChild.Finish(reason) && !this->error) {
    this->error = reason;
  }
}

/** Reports duplicate keys as well: the library keeps both entries and looks up
 * only the first. */
void
YamlReader::RejectUnknownKeys()
{
  if (!this->node->IsMap()) {
    return;
  }
  std::vector<std::string> seenKeys;
  for (const auto& entry : *this->node) {
    const std::string key = entry.first.IsScalar() ? entry.first.Scalar() : "?";
    if (!Contains(this->readKeys, key)) {
      this->FailAt(LineOf(entry.first), key, "is not a known key");
    }
    if (Contains(seenKeys, key)) {
      this->FailAt(LineOf(entry.first), key, "occurs twice");
    }
    seenKeys.push_back(key);
  }
}

bool
YamlReader::Finish(Reason& aReason)
{
  this->RejectUnknownKeys();
  if (this->error) {
    aReason = *this->error;
    return false;
  }
  return true;
}

}
