#include "Transport/PercentEncoding.h"

#include <charconv>

namespace almondspoke {

namespace {

constexpr std::string_view kUnreserved =
  "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~";
constexpr std::string_view kDigits = "0123456789ABCDEF";
constexpr unsigned kBase = 16;
constexpr std::size_t kEscapeDigits = 2;

}

std::string
PercentEncode(std::string_view aText)
{
  std::string encoded;
  for (const char character : aText) {
    if (kUnreserved.find(character) != std::string_view::npos) {
      encoded += character;
      continue;
    }
    const auto code = static_cast<unsigned char>(character);
    encoded += '%';
    encoded += kDigits[code / kBase];
    encoded += kDigits[code % kBase];
  }
  return encoded;
}

std::optional<std::string>
PercentDecode(std::string_view aText)
{
  std::string decoded;
  for (std::size_t i = 0; i < aText.size(); ++i) {
    if (aText[i] != '%') {
      decoded += aText[i];
      continue;
    }
    const std::string_view digits = aText.substr(i + 1, kEscapeDigits);
    unsigned code = 0;
    const char* end = digits.data() + digits.size();
    const auto [parsed, error] =
      std::from_chars(digits.data(), end, code, static_cast<int>(kBase));
    if (digits.size() != kEscapeDigits || error != std::errc() ||
        parsed != end) {
      return std::nullopt;
    }
    decoded += static_cast<char>(code);
    i += kEscapeDigits;
  }
  return decoded;
}

}
