#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace almondspoke {

/** \brief An enumerator and its name in messages and logs. */
template<typename Enum>
struct EnumName
{
  Enum mValue;
  std::string_view mName;
};

/** Returns the name of an enumerator, or "unknown" if the table lacks it. */
template<typename Enum, std::size_t Size>
constexpr std::string_view
NameOf(const std::array<EnumName<Enum>, Size>& aNames, Enum aValue)
{
  for (const EnumName<Enum>& entry : aNames) {
    if (entry.mValue == aValue) {
      return entry.mName;
    }
  }
  return "unknown";
}

/** Returns the enumerator with that name, or std::nullopt if there is none. */
template<typename Enum, std::size_t Size>
constexpr std::optional<Enum>
ValueOf(const std::array<EnumName<Enum>, Size>& aNames, std::string_view aName)
{
  for (const EnumName<Enum>& entry : aNames) {
    if (entry.mName == aName) {
      return entry.mValue;
    }
  }
  return std::nullopt;
}

/** Returns all names of a table, separated by commas, for error messages. */
template<typename Enum, std::size_t Size>
std::string
AllowedNames(const std::array<EnumName<Enum>, Size>& aNames)
{
  std::string allowed;
  for (const EnumName<Enum>& entry : aNames) {
    if (!allowed.empty()) {
      allowed += ", ";
    }
    allowed += entry.mName;
  }
  return allowed;
}

}
