#include "Rules/RuleLineParser.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include <fmt/format.h>

namespace almondspoke {

namespace {

constexpr std::uint32_t kMaxRetries = 10;
constexpr std::uint32_t kMaxSlots = 1000000;
constexpr std::uint32_t kMaxWeight = 1000;
constexpr std::uint32_t kMaxPercent = 100;
constexpr std::chrono::milliseconds kMaxTimeout = std::chrono::hours(1);
constexpr std::chrono::minutes kDayLength = std::chrono::hours(24);

constexpr const char* kAllowedNames =
  "1 to 64 letters, digits, '.', '_' or '-'";
constexpr const char* kAllowedWindow =
  "HH:MM-HH:MM ZONE, such as 07:00-19:00 Europe/Zagreb";
constexpr const char* kAllowedTimeout =
  "a whole number with ms, s or m, from 1ms to 60m, such as 2s";

bool
IsDigit(char aCharacter)
{
  return aCharacter >= '0' && aCharacter <= '9';
}

bool
IsNameCharacter(char aCharacter)
{
  return IsDigit(aCharacter) || (aCharacter >= 'a' && aCharacter <= 'z') ||
         (aCharacter >= 'A' && aCharacter <= 'Z') || aCharacter == '.' ||
         aCharacter == '_' || aCharacter == '-';
}

/** \brief A number and the text that follows it. */
struct NumberPrefix
{
  std::uint32_t mValue = 0;
  std::string_view mSuffix;
};

// Reads the number at the start of a text; empty if there is none or it
// overflows.
std::optional<NumberPrefix>
ReadNumber(std::string_view aText)
{
  NumberPrefix number;
  const char* end = aText.data() + aText.size();
  const auto parsed = std::from_chars(aText.data(), end, number.mValue);
  if (parsed.ec != std::errc{}) {
    return std::nullopt;
  }
  number.mSuffix = aText.substr(parsed.ptr - aText.data());
  return number;
}

struct DurationUnit
{
  std::string_view mName;
  std::chrono::milliseconds mLength;
};

constexpr DurationUnit kDurationUnits[] = {
  { "ms", std::chrono::milliseconds(1) },
  { "s", std::chrono::seconds(1) },
  { "m", std::chrono::minutes(1) },
};

std::optional<std::chrono::milliseconds>
ReadDuration(std::string_view aText)
{
  const std::optional<NumberPrefix> number = ReadNumber(aText);
  if (!number) {
    return std::nullopt;
  }
  for (const DurationUnit& unit : kDurationUnits) {
    if (unit.mName == number->mSuffix) {
      return unit.mLength * static_cast<std::int64_t>(number->mValue);
    }
  }
  return std::nullopt;
}

std::string
Quoted(std::string_view aText)
{
  return fmt::format("'{}'", aText);
}

}

const RuleLineParser::Grammar RuleLineParser::kGrammars[] = {
  { Directive::Urgency,
    &RuleLineParser::ParseUrgency,
    "urgency KIND first|normal|last [HH:MM-HH:MM ZONE]" },
  { Directive::NeverRepeat,
    &RuleLineParser::ParseNoValue,
    "never-repeat KIND" },
  { Directive::Idempotent, &RuleLineParser::ParseNoValue, "idempotent KIND" },
  { Directive::Retry, &RuleLineParser::ParseRetries, "retry KIND N" },
  { Directive::Reserve, &RuleLineParser::ParsePercentage, "reserve KIND P%" },
  { Directive::Ceiling, &RuleLineParser::ParsePercentage, "ceiling KIND P%" },
  { Directive::Quota, &RuleLineParser::ParseSlots, "quota TEAM N slots" },
  { Directive::Weight, &RuleLineParser::ParseWeight, "weight KIND N" },
  { Directive::Timeout, &RuleLineParser::ParseDuration, "timeout KIND TIME" },
};

RuleLineParser::RuleLineParser(const RuleLine& aLine,
                               int aNumber,
                               ParsedRules& aParsed)
  : mLine(aLine)
  , mLineNumber(aNumber)
  , mParsed(aParsed)
{
}

void
RuleLineParser::Run()
{
  const std::size_t errorsBefore = mParsed.mErrors.size();
  Rule rule;
  rule.mLine = mLineNumber;
  rule.mComment = std::string(mLine.mComment);
  const Grammar* grammar = FindGrammar();
  if (grammar != nullptr) {
    rule.mDirective = grammar->mDirective;
    const bool complete =
      ParseSubject(rule) && (this->*grammar->mParseValue)(rule);
    if (complete && mNextWord < mLine.mWords.size()) {
      const RuleWord& extra = mLine.mWords[mNextWord];
      Fail(extra.mColumn,
           "unexpected " + Quoted(extra.mText),
           std::string("a comment here; the syntax is ") + grammar->mSyntax);
    }
  }
  if (mLine.mComment.empty()) {
    Fail(mLine.mEndColumn,
         "the rule has no comment",
         "a comment that names who requested the rule, such as # asked by the "
         "office");
  }
  if (mParsed.mErrors.size() == errorsBefore) {
    mParsed.mRules.push_back(std::move(rule));
  }
}

const RuleLineParser::Grammar*
RuleLineParser::FindGrammar()
{
  const RuleWord& word = mLine.mWords[mNextWord++];
  const std::optional<Directive> directive =
    ValueOf(kDirectiveNames, word.mText);
  if (!directive) {
    Fail(word.mColumn,
         "unknown rule " + Quoted(word.mText),
         AllowedNames(kDirectiveNames));
    return nullptr;
  }
  return std::find_if(std::begin(kGrammars),
                      std::end(kGrammars),
                      [&directive](const Grammar& aGrammar) {
                        return aGrammar.mDirective == *directive;
                      });
}

bool
RuleLineParser::ParseSubject(Rule& aRule)
{
  const bool isTeam = aRule.mDirective == Directive::Quota;
  const char* what = isTeam ? "team" : "kind of work";
  const RuleWord* word = NextWord(what, kAllowedNames);
  if (word == nullptr) {
    return false;
  }
  const bool valid =
    word->mText.size() <= kMaxSubjectBytes &&
    std::all_of(word->mText.begin(), word->mText.end(), IsNameCharacter);
  if (!valid) {
    Fail(word->mColumn,
         fmt::format("invalid {} '{}'", what, word->mText),
         kAllowedNames);
    return false;
  }
  aRule.mSubject = std::string(word->mText);
  return true;
}

bool
RuleLineParser::ParseNoValue(Rule&)
{
  return true;
}

bool
RuleLineParser::ParseUrgency(Rule& aRule)
{
  const std::string allowed = AllowedNames(kUrgencyNames);
  const RuleWord* word = NextWord("urgency", allowed);
  if (word == nullptr) {
    return false;
  }
  const std::optional<Urgency> urgency = ValueOf(kUrgencyNames, word->mText);
  if (!urgency) {
    Fail(word->mColumn, "unknown urgency " + Quoted(word->mText), allowed);
    return false;
  }
  UrgencySetting setting;
  setting.mUrgency = *urgency;
  if (mNextWord < mLine.mWords.size() && !ParseWindow(setting)) {
    return false;
  }
  aRule.mValue = std::move(setting);
  return true;
}

bool
RuleLineParser::ParseWindow(UrgencySetting& aSetting)
{
  const RuleWord& span = mLine.mWords[mNextWord++];
  const std::size_t dash = span.mText.find('-');
  if (dash == std::string_view::npos) {
    Fail(span.mColumn, "invalid window " + Quoted(span.mText), kAllowedWindow);
    return false;
  }
  const auto begin = ParseTimeOfDay(span, 0, span.mText.substr(0, dash));
  const auto end = ParseTimeOfDay(span, dash + 1, span.mText.substr(dash + 1));
  const RuleWord* zoneName = NextWord("time zone", kAllowedWindow);
  if (!begin || !end || zoneName == nullptr) {
    return false;
  }
  if (*begin == kDayLength || *begin == *end) {
    Fail(span.mColumn,
         "the window " + Quoted(span.mText) + " is empty or begins at 24:00",
         "a begin before 24:00 that differs from the end; omit the window "
         "for the whole day");
    return false;
  }
  auto zone = TimeZone::Find(zoneName->mText);
  if (zone == nullptr) {
    Fail(zoneName->mColumn,
         "unknown time zone " + Quoted(zoneName->mText),
         "a name of the time zone database, such as Europe/Zagreb");
    return false;
  }
  aSetting.mWindow.emplace(*begin, *end, std::move(zone));
  return true;
}

std::optional<std::chrono::minutes>
RuleLineParser::ParseTimeOfDay(const RuleWord& aWord,
                               std::size_t aOffset,
                               std::string_view aText)
{
  constexpr std::size_t kLength = 5;
  constexpr std::size_t kColonPosition = 2;
  constexpr int kMinutesPerHour = 60;
  bool valid = aText.size() == kLength && aText[kColonPosition] == ':';
  for (std::size_t index = 0; valid && index < kLength; ++index) {
    valid = index == kColonPosition || IsDigit(aText[index]);
  }
  if (valid) {
    const int hours = (aText[0] - '0') * 10 + (aText[1] - '0');
    const int minutes = (aText[3] - '0') * 10 + (aText[4] - '0');
    const std::chrono::minutes time(hours * kMinutesPerHour + minutes);
    if (minutes < kMinutesPerHour && time <= kDayLength) {
      return time;
    }
  }
  Fail(aWord.mColumn + static_cast<int>(aOffset),
       "invalid time of day " + Quoted(aText),
       "00:00 to 24:00");
  return std::nullopt;
}

bool
RuleLineParser::ParseRetries(Rule& aRule)
{
  const auto retries = ParseCount("number of retries", 0, kMaxRetries);
  if (retries) {
    aRule.mValue = Count{ *retries };
  }
  return retries.has_value();
}

bool
RuleLineParser::ParseWeight(Rule& aRule)
{
  const auto weight = ParseCount("weight", 1, kMaxWeight);
  if (weight) {
    aRule.mValue = Count{ *weight };
  }
  return weight.has_value();
}

bool
RuleLineParser::ParseSlots(Rule& aRule)
{
  const auto slots = ParseCount("number of slots", 0, kMaxSlots);
  if (!slots) {
    return false;
  }
  const RuleWord* unit = NextWord("unit", "slots");
  if (unit == nullptr) {
    return false;
  }
  if (unit->mText != "slots") {
    Fail(unit->mColumn, "unknown unit " + Quoted(unit->mText), "slots");
    return false;
  }
  aRule.mValue = Count{ *slots };
  return true;
}

bool
RuleLineParser::ParsePercentage(Rule& aRule)
{
  constexpr const char* kAllowed = "a whole number from 1% to 100%";
  const RuleWord* word = NextWord("share", kAllowed);
  if (word == nullptr) {
    return false;
  }
  const std::optional<NumberPrefix> number = ReadNumber(word->mText);
  if (!number || number->mSuffix != "%" || number->mValue == 0 ||
      number->mValue > kMaxPercent) {
    Fail(word->mColumn, "invalid share " + Quoted(word->mText), kAllowed);
    return false;
  }
  aRule.mValue = Percentage{ number->mValue };
  return true;
}

bool
RuleLineParser::ParseDuration(Rule& aRule)
{
  const RuleWord* word = NextWord("timeout", kAllowedTimeout);
  if (word == nullptr) {
    return false;
  }
  const auto duration = ReadDuration(word->mText);
  if (!duration || duration->count() == 0 || *duration > kMaxTimeout) {
    Fail(
      word->mColumn, "invalid timeout " + Quoted(word->mText), kAllowedTimeout);
    return false;
  }
  aRule.mValue = *duration;
  return true;
}

std::optional<std::uint32_t>
RuleLineParser::ParseCount(const char* aWhat,
                           std::uint32_t aMinimum,
                           std::uint32_t aMaximum)
{
  const std::string allowed =
    fmt::format("a whole number from {} to {}", aMinimum, aMaximum);
  const RuleWord* word = NextWord(aWhat, allowed);
  if (word == nullptr) {
    return std::nullopt;
  }
  const std::optional<NumberPrefix> number = ReadNumber(word->mText);
  if (!number || !number->mSuffix.empty() || number->mValue < aMinimum ||
      number->mValue > aMaximum) {
    Fail(word->mColumn,
         fmt::format("invalid {} '{}'", aWhat, word->mText),
         allowed);
    return std::nullopt;
  }
  return number->mValue;
}

const RuleWord*
RuleLineParser::NextWord(const char* aWhat, const std::string& aAllowed)
{
  if (mNextWord >= mLine.mWords.size()) {
    Fail(mLine.mEndColumn, fmt::format("missing {}", aWhat), aAllowed);
    return nullptr;
  }
  return &mLine.mWords[mNextWord++];
}

void
RuleLineParser::Fail(int aColumn, std::string aProblem, std::string aAllowed)
{
  mParsed.mErrors.push_back(
    { mLineNumber, aColumn, std::move(aProblem), std::move(aAllowed) });
}

}
