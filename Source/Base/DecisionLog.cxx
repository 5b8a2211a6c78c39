#include "Base/DecisionLog.h"

#include <algorithm>
#include <chrono>
#include <functional>

#include <glog/logging.h>

namespace almondspoke {

namespace {

// Quotes an empty value and one with a space, quote, backslash or control
// character, and replaces control characters by "?", so that a decision stays
// on one line and can be parsed into key=value pairs.
std::string
Quoted(const std::string& aValue)
{
  const bool plain =
    !aValue.empty() &&
    std::all_of(aValue.begin(), aValue.end(), [](unsigned char aCharacter) {
      return aCharacter > ' ' && aCharacter != '"' && aCharacter != '\\' &&
             aCharacter != 0x7f;
    });
  if (plain) {
    return aValue;
  }
  std::string quoted = "\"";
  for (const char character : aValue) {
    if (character == '"' || character == '\\') {
      quoted += '\\';
    }
    const auto code = static_cast<unsigned char>(character);
    quoted += (code < ' ' || code == 0x7f) ? '?' : character;
  }
  quoted += '"';
  return quoted;
}

}

DecisionLog::DecisionLog(const Clock& aClock, std::size_t aCapacity)
  : mClock(aClock)
  , mShardCapacity(std::max<std::size_t>(1, aCapacity / kShards))
{
}

void
DecisionLog::Record(Decision aDecision)
{
  aDecision.mWallMilliseconds =
    std::chrono::duration_cast<std::chrono::milliseconds>(
      mClock.WallNow().time_since_epoch())
      .count();
  LOG(INFO) << FormatDecision(aDecision);
  Shard& shard = ShardOf(aDecision.mRequestId);
  const std::lock_guard<std::mutex> lock(shard.mMutex);
  if (shard.mDecisions.size() >= mShardCapacity) {
    shard.mDecisions.pop_front();
  }
  shard.mDecisions.push_back(std::move(aDecision));
}

std::vector<Decision>
DecisionLog::Find(const std::string& aRequestId) const
{
  const Shard& shard = ShardOf(aRequestId);
  const std::lock_guard<std::mutex> lock(shard.mMutex);
  std::vector<Decision> found;
  std::copy_if(shard.mDecisions.begin(),
               shard.mDecisions.end(),
               std::back_inserter(found),
               [&aRequestId](const Decision& aDecision) {
                 return aDecision.mRequestId == aRequestId;
               });
  return found;
}

DecisionLog::Shard&
DecisionLog::ShardOf(const std::string& aRequestId)
{
  return mShards[std::hash<std::string>{}(aRequestId) % kShards];
}

const DecisionLog::Shard&
DecisionLog::ShardOf(const std::string& aRequestId) const
{
  return mShards[std::hash<std::string>{}(aRequestId) % kShards];
}

std::string
FormatDecision(const Decision& aDecision)
{
  std::string candidates;
  for (const std::string& candidate : aDecision.mCandidates) {
    if (!candidates.empty()) {
      candidates += ',';
    }
    candidates += candidate;
  }
  return "decision=" + Quoted(aDecision.mStage) +
         " id=" + Quoted(aDecision.mRequestId) +
         " candidates=" + Quoted(candidates) +
         " choice=" + Quoted(aDecision.mChoice) +
         " reason=" + Quoted(aDecision.mReason);
}

}
