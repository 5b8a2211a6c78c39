#include "Controllers/RulesTextHistory.h"

#include <utility>

namespace almondspoke {

void
RulesTextHistory::Advance(std::string aText, TextDelta aBackward)
{
  mEarlierBytes += SizeOf(aBackward);
  mEarlier.push_back({ mCurrent.mVersion, std::move(aBackward) });
  mCurrent = { mCurrent.mVersion + 1, std::move(aText) };
}

void
RulesTextHistory::Trim(std::size_t aMaxCount, std::size_t aMaxBytes)
{
  while (!mEarlier.empty() &&
         (mEarlier.size() > aMaxCount || mEarlierBytes > aMaxBytes)) {
    mEarlierBytes -= SizeOf(mEarlier.front().mDeltaFromNext);
    mEarlier.pop_front();
  }
}

std::optional<std::string>
RulesTextHistory::Find(RulesVersion aVersion) const
{
  if (aVersion > mCurrent.mVersion ||
      mCurrent.mVersion - aVersion > mEarlier.size()) {
    return std::nullopt;
  }
  if (aVersion == mCurrent.mVersion) {
    return mCurrent.mText;
  }
  Lines lines = SplitLines(mCurrent.mText);
  auto earlier = mEarlier.rbegin();
  for (;; ++earlier) {
    Result<Lines> before = ApplyEdits(lines, earlier->mDeltaFromNext);
    if (!before) {
      return std::nullopt;
    }
    lines = std::move(before.value());
    if (earlier->mVersion == aVersion) {
      break;
    }
  }
  std::string text = JoinLines(lines);
  if (HashOf(text) != earlier->mDeltaFromNext.mResultHash) {
    return std::nullopt;
  }
  return text;
}

Result<void>
RulesTextHistory::Restore()
{
  mEarlierBytes = 0;
  RulesVersion expected = mCurrent.mVersion;
  for (auto earlier = mEarlier.rbegin(); earlier != mEarlier.rend();
       ++earlier) {
    if (expected == 0 || earlier->mVersion != --expected) {
      return Error(ErrorKind::StorageCorrupt,
                   "the versions of the rules texts are not consecutive");
    }
    mEarlierBytes += SizeOf(earlier->mDeltaFromNext);
  }
  return Success();
}

}
