#pragma once

#include <compare>
#include <cstddef>
#include <functional>
#include <string>
#include <utility>

namespace sardinecourse {

/** A strongly typed name, so that for example a team's name cannot be passed
 * where a worker's name is expected. */
template<typename Tag>
class Name
{
public:
  Name() = default;
  explicit Name(std::string aText)
    : text(std::move(aText))
  {
  }

  const std::string& Text() const { return this->text; }
  bool Empty() const { return this->text.empty(); }

  auto operator<=>(const Name&) const = default;

private:
  std::string text;
};

}

template<typename Tag>
struct std::hash<sardinecourse::Name<Tag>>
{
  std::size_t operator()(const sardinecourse::Name<Tag>& aName) const noexcept
  {
    return std::hash<std::string>()(aName.Text());
  }
};
