#include "Jobs/Base64.h"

#include <algorithm>
#include <cctype>

#include <boost/archive/iterators/base64_from_binary.hpp>
#include <boost/archive/iterators/binary_from_base64.hpp>
#include <boost/archive/iterators/transform_width.hpp>

namespace almondspoke {

namespace {

namespace iterators = boost::archive::iterators;

using Encoder = iterators::base64_from_binary<
  iterators::transform_width<std::string::const_iterator, 6, 8>>;
using Decoder = iterators::transform_width<
  iterators::binary_from_base64<std::string::const_iterator>,
  8,
  6>;

// Base64 encodes groups of three bytes as four characters each.
constexpr std::size_t kGroupBytes = 3;
constexpr std::size_t kGroupCharacters = 4;

bool
IsBase64Character(char aCharacter)
{
  return std::isalnum(static_cast<unsigned char>(aCharacter)) != 0 ||
         aCharacter == '+' || aCharacter == '/';
}

}

std::string
EncodeBase64(const std::string& aBytes)
{
  std::string text(Encoder(aBytes.begin()), Encoder(aBytes.end()));
  text.append((kGroupBytes - aBytes.size() % kGroupBytes) % kGroupBytes, '=');
  return text;
}

std::optional<std::string>
DecodeBase64(const std::string& aText)
{
  if (aText.size() % kGroupCharacters != 0) {
    return std::nullopt;
  }
  std::string text = aText;
  std::size_t padding = 0;
  while (padding < 2 && !text.empty() && text.back() == '=') {
    text.pop_back();
    ++padding;
  }
  if (!std::all_of(text.begin(), text.end(), IsBase64Character)) {
    return std::nullopt;
  }
  // Boost's decoder needs complete groups of four characters. 'A' stands for
  // zero bits; the bytes decoded from the padding are cut off below.
  text.append(padding, 'A');
  std::string bytes(Decoder(text.cbegin()), Decoder(text.cend()));
  bytes.resize(bytes.size() - padding);
  return bytes;
}

}
