#include "Controllers/TextDelta.h"

#include <algorithm>
#include <unordered_map>
#include <utility>

#include <fmt/format.h>
#include <xxhash.h>

namespace almondspoke {

namespace {

/** \brief Line numbers of an equal line in both texts. */
struct Match
{
  std::size_t mBase;
  std::size_t mResult;
};

/** \brief Number of occurrences of a line in both texts, and its last position
 * in the base. */
struct Occurrence
{
  std::size_t mBaseCount = 0;
  std::size_t mResultCount = 0;
  std::size_t mBase = 0;
};

std::string
Join(Lines::const_iterator aBegin, Lines::const_iterator aEnd)
{
  std::string text;
  std::size_t bytes = 0;
  std::for_each(
    aBegin, aEnd, [&](std::string_view aLine) { bytes += aLine.size(); });
  text.reserve(bytes);
  std::for_each(
    aBegin, aEnd, [&](std::string_view aLine) { text.append(aLine); });
  return text;
}

Lines::const_iterator
At(const Lines& aLines, std::size_t aLine)
{
  return aLines.begin() + static_cast<std::ptrdiff_t>(aLine);
}

/** Returns the lines that occur exactly once in each text, in the order of the
 * result. */
std::vector<Match>
UniqueMatches(const Lines& aBase, const Lines& aResult)
{
  std::unordered_map<std::string_view, Occurrence> occurrences;
  for (std::size_t line = 0; line < aBase.size(); ++line) {
    Occurrence& occurrence = occurrences[aBase[line]];
    ++occurrence.mBaseCount;
    occurrence.mBase = line;
  }
  for (const std::string_view line : aResult) {
    ++occurrences[line].mResultCount;
  }
  std::vector<Match> matches;
  for (std::size_t line = 0; line < aResult.size(); ++line) {
    const Occurrence& occurrence = occurrences[aResult[line]];
    if (occurrence.mBaseCount == 1 && occurrence.mResultCount == 1) {
      matches.push_back({ occurrence.mBase, line });
    }
  }
  return matches;
}

/** Returns the longest subsequence with increasing line numbers in both texts.
 */
std::vector<Match>
LongestIncreasing(const std::vector<Match>& aMatches)
{
  // The last match of the best subsequence of each length, and the predecessor
  // of each match.
  std::vector<std::size_t> ends;
  std::vector<std::size_t> previous(aMatches.size());
  for (std::size_t index = 0; index < aMatches.size(); ++index) {
    const auto place =
      std::lower_bound(ends.begin(),
                       ends.end(),
                       aMatches[index].mBase,
                       [&](std::size_t aEnd, std::size_t aBase) {
                         return aMatches[aEnd].mBase < aBase;
                       });
    if (place != ends.begin()) {
      previous[index] = *std::prev(place);
    }
    if (place == ends.end()) {
      ends.push_back(index);
    } else {
      *place = index;
    }
  }
  std::vector<Match> longest(ends.size());
  std::size_t index = ends.empty() ? 0 : ends.back();
  for (auto match = longest.rbegin(); match != longest.rend(); ++match) {
    *match = aMatches[index];
    index = previous[index];
  }
  return longest;
}

/** \brief Collects the edits between two texts. */
class DeltaBuilder
{
public:
  DeltaBuilder(std::string_view aBase, std::string_view aResult)
    : mBase(SplitLines(aBase))
    , mResult(SplitLines(aResult))
  {
    mDelta.mResultHash = HashOf(aResult);
    mDelta.mResultBytes = aResult.size();
  }

  const Lines& Base() const { return mBase; }
  const Lines& Result() const { return mResult; }

  /** Adds the edit for the lines between the previous end and aEnd, omitting
   * equal lines at both ends of the range. */
  void AddUntil(Match aEnd)
  {
    Match end = aEnd;
    while (mNext.mBase < end.mBase && mNext.mResult < end.mResult &&
           mBase[mNext.mBase] == mResult[mNext.mResult]) {
      ++mNext.mBase;
      ++mNext.mResult;
    }
    while (mNext.mBase < end.mBase && mNext.mResult < end.mResult &&
           mBase[end.mBase - 1] == mResult[end.mResult - 1]) {
      --end.mBase;
      --end.mResult;
    }
    if (mNext.mBase < end.mBase || mNext.mResult < end.mResult) {
      mDelta.mEdits.push_back(
        { static_cast<std::uint32_t>(mNext.mBase),
          static_cast<std::uint32_t>(end.mBase - mNext.mBase),
          Join(At(mResult, mNext.mResult), At(mResult, end.mResult)) });
    }
    mNext = aEnd;
  }

  TextDelta Finish()
  {
    AddUntil({ mBase.size(), mResult.size() });
    return std::move(mDelta);
  }

private:
  const Lines mBase;
  const Lines mResult;
  Match mNext{ 0, 0 };
  TextDelta mDelta;
};

bool
EndsWithLineBreak(std::string_view aText)
{
  return aText.empty() || aText.back() == '\n';
}

/** Checks an edit that starts at base line aNext or later. Only the last line
 * of the result may lack a line break, since it would otherwise be joined with
 * the next line. */
bool
IsValidEdit(const LineEdit& aEdit, const Lines& aBase, std::size_t aNext)
{
  const std::size_t first = aEdit.mFirstLine;
  if (first < aNext || first > aBase.size() ||
      aEdit.mRemovedLines > aBase.size() - first) {
    return false;
  }
  if (aEdit.mRemovedLines == 0 && aEdit.mInserted.empty()) {
    return false;
  }
  const bool reachesEnd = first + aEdit.mRemovedLines == aBase.size();
  const bool startsLine = first == 0 || EndsWithLineBreak(aBase[first - 1]);
  return startsLine && (reachesEnd || EndsWithLineBreak(aEdit.mInserted));
}

}

Lines
SplitLines(std::string_view aText)
{
  Lines lines;
  while (!aText.empty()) {
    const std::size_t end = aText.find('\n');
    const std::size_t size =
      end == std::string_view::npos ? aText.size() : end + 1;
    lines.push_back(aText.substr(0, size));
    aText.remove_prefix(size);
  }
  return lines;
}

std::string
JoinLines(const Lines& aLines)
{
  return Join(aLines.begin(), aLines.end());
}

std::uint64_t
HashOf(std::string_view aText)
{
  return XXH64(aText.data(), aText.size(), 0);
}

std::size_t
SizeOf(const TextDelta& aDelta)
{
  std::size_t bytes = sizeof(TextDelta);
  for (const LineEdit& edit : aDelta.mEdits) {
    bytes += sizeof(LineEdit) + edit.mInserted.size();
  }
  return bytes;
}

TextDelta
DiffLines(std::string_view aBase, std::string_view aResult)
{
  // Patience diff: lines that are unique in both texts anchor the comparison.
  DeltaBuilder builder(aBase, aResult);
  for (const Match& match :
       LongestIncreasing(UniqueMatches(builder.Base(), builder.Result()))) {
    builder.AddUntil(match);
  }
  return builder.Finish();
}

TextDelta
DiffRange(std::string_view aBase, std::string_view aResult)
{
  return DeltaBuilder(aBase, aResult).Finish();
}

Result<Lines>
ApplyEdits(const Lines& aBase, const TextDelta& aDelta)
{
  Lines lines;
  lines.reserve(aBase.size());
  std::size_t next = 0;
  for (const LineEdit& edit : aDelta.mEdits) {
    if (!IsValidEdit(edit, aBase, next)) {
      return Error(
        ErrorKind::InvalidArgument,
        fmt::format("an edit of {} lines at line {} is not valid for a "
                    "base text of {} lines",
                    edit.mRemovedLines,
                    edit.mFirstLine,
                    aBase.size()));
    }
    lines.insert(lines.end(), At(aBase, next), At(aBase, edit.mFirstLine));
    const Lines inserted = SplitLines(edit.mInserted);
    lines.insert(lines.end(), inserted.begin(), inserted.end());
    next = std::size_t{ edit.mFirstLine } + edit.mRemovedLines;
  }
  lines.insert(lines.end(), At(aBase, next), aBase.end());
  return lines;
}

Result<std::string>
ApplyDelta(std::string_view aBase, const TextDelta& aDelta)
{
  BOOST_OUTCOME_TRY(lines, ApplyEdits(SplitLines(aBase), aDelta));
  std::string text = JoinLines(lines);
  if (text.size() != aDelta.mResultBytes ||
      HashOf(text) != aDelta.mResultHash) {
    return Error(
      ErrorKind::InvalidArgument,
      fmt::format("the edits produce a text of {} bytes that differs "
                  "from the expected text of {} bytes",
                  text.size(),
                  aDelta.mResultBytes));
  }
  return text;
}

TextDelta
InvertDelta(std::string_view aBase, const TextDelta& aDelta)
{
  const Lines base = SplitLines(aBase);
  TextDelta inverse;
  inverse.mResultHash = HashOf(aBase);
  inverse.mResultBytes = aBase.size();
  std::size_t removed = 0;
  std::size_t inserted = 0;
  for (const LineEdit& edit : aDelta.mEdits) {
    const std::size_t newLines = SplitLines(edit.mInserted).size();
    const std::size_t end = std::size_t{ edit.mFirstLine } + edit.mRemovedLines;
    inverse.mEdits.push_back(
      { static_cast<std::uint32_t>(edit.mFirstLine - removed + inserted),
        static_cast<std::uint32_t>(newLines),
        Join(At(base, edit.mFirstLine), At(base, end)) });
    removed += edit.mRemovedLines;
    inserted += newLines;
  }
  return inverse;
}

}
