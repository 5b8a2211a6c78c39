#include "Filters/RequestFields.h"

#include <algorithm>

namespace almondspoke {

namespace {

constexpr std::size_t kMaxQuotedBytes = 80;

// Truncates invalid input in error messages to limit their size.
std::string
Truncated(std::string_view aText)
{
  if (aText.size() <= kMaxQuotedBytes) {
    return std::string(aText);
  }
  return std::string(aText.substr(0, kMaxQuotedBytes)) + "...";
}

bool
IsNameCharacter(unsigned char aCharacter)
{
  return (aCharacter >= 'a' && aCharacter <= 'z') ||
         (aCharacter >= 'A' && aCharacter <= 'Z') ||
         (aCharacter >= '0' && aCharacter <= '9') || aCharacter == '.' ||
         aCharacter == '_' || aCharacter == '-';
}

bool
IsKeyCharacter(unsigned char aCharacter)
{
  return aCharacter > ' ' && aCharacter < 0x7f;
}

}

bool
IsName(std::string_view aText)
{
  return !aText.empty() && aText.size() <= kMaxNameBytes &&
         std::all_of(aText.begin(), aText.end(), IsNameCharacter);
}

bool
IsKey(std::string_view aText)
{
  return !aText.empty() && aText.size() <= kMaxKeyBytes &&
         std::all_of(aText.begin(), aText.end(), IsKeyCharacter);
}

Error
InvalidName(std::string_view aWhat, std::string_view aName)
{
  return Error(ErrorKind::InvalidArgument,
               std::string(aWhat) + " '" + Truncated(aName) +
                 "' is not a valid name (allowed: 1 to " +
                 std::to_string(kMaxNameBytes) +
                 " letters, digits, '.', '_' or '-')");
}

Error
InvalidValue(std::string_view aField,
             std::string_view aValue,
             std::string_view aAllowed)
{
  return Error(ErrorKind::InvalidArgument,
               std::string(aField) + " '" + Truncated(aValue) +
                 "' is not allowed (allowed: " + std::string(aAllowed) + ")");
}

}
