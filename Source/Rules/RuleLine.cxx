#include "Rules/RuleLine.h"

#include <cstddef>
#include <cstdint>

namespace almondspoke {

namespace {

bool
IsBlank(char aCharacter)
{
  return aCharacter == ' ' || aCharacter == '\t';
}

std::string_view
Trimmed(std::string_view aText)
{
  while (!aText.empty() && IsBlank(aText.front())) {
    aText.remove_prefix(1);
  }
  while (!aText.empty() && IsBlank(aText.back())) {
    aText.remove_suffix(1);
  }
  return aText;
}

// Returns the length of the UTF-8 sequence at the start of the text; zero if it
// is invalid.
std::size_t
SequenceLength(std::string_view aText)
{
  struct Range
  {
    unsigned char mFirst;
    unsigned char mLast;
    std::size_t mLength;
    unsigned char mSecondFirst;
    unsigned char mSecondLast;
  };
  // Well-formed sequences, Unicode standard table 3-7.
  static constexpr Range kRanges[] = {
    { 0xC2, 0xDF, 2, 0x80, 0xBF }, { 0xE0, 0xE0, 3, 0xA0, 0xBF },
    { 0xE1, 0xEC, 3, 0x80, 0xBF }, { 0xED, 0xED, 3, 0x80, 0x9F },
    { 0xEE, 0xEF, 3, 0x80, 0xBF }, { 0xF0, 0xF0, 4, 0x90, 0xBF },
    { 0xF1, 0xF3, 4, 0x80, 0xBF }, { 0xF4, 0xF4, 4, 0x80, 0x8F },
  };
  const auto byteAt = [aText](std::size_t aIndex) {
    return static_cast<unsigned char>(aText[aIndex]);
  };
  for (const Range& range : kRanges) {
    if (byteAt(0) < range.mFirst || byteAt(0) > range.mLast) {
      continue;
    }
    if (aText.size() < range.mLength || byteAt(1) < range.mSecondFirst ||
        byteAt(1) > range.mSecondLast) {
      return 0;
    }
    for (std::size_t index = 2; index < range.mLength; ++index) {
      if (byteAt(index) < 0x80 || byteAt(index) > 0xBF) {
        return 0;
      }
    }
    return range.mLength;
  }
  return 0;
}

}

RuleLine
SplitRuleLine(std::string_view aLine)
{
  RuleLine line;
  const std::size_t sign = aLine.find('#');
  if (sign != std::string_view::npos) {
    line.mHasComment = true;
    line.mComment = Trimmed(aLine.substr(sign + 1));
    aLine = aLine.substr(0, sign);
  }
  std::size_t position = 0;
  while (position < aLine.size()) {
    if (IsBlank(aLine[position])) {
      ++position;
      continue;
    }
    const std::size_t begin = position;
    while (position < aLine.size() && !IsBlank(aLine[position])) {
      ++position;
    }
    line.mWords.push_back(
      { aLine.substr(begin, position - begin), static_cast<int>(begin) + 1 });
    line.mEndColumn = static_cast<int>(position) + 1;
  }
  return line;
}

int
FirstInvalidColumn(std::string_view aLine)
{
  constexpr unsigned char kFirstNonAscii = 0x80;
  constexpr unsigned char kDelete = 0x7F;
  std::size_t position = 0;
  while (position < aLine.size()) {
    const auto code = static_cast<unsigned char>(aLine[position]);
    if (code < kFirstNonAscii) {
      if ((code < ' ' && code != '\t') || code == kDelete) {
        return static_cast<int>(position) + 1;
      }
      ++position;
      continue;
    }
    const std::size_t length = SequenceLength(aLine.substr(position));
    if (length == 0) {
      return static_cast<int>(position) + 1;
    }
    position += length;
  }
  return 0;
}

}
