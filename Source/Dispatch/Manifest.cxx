#include "Dispatch/Manifest.h"

#include <algorithm>
#include <set>
#include <utility>

namespace almondspoke::dispatch {

namespace {

bool
StartsWith(std::string_view aText, std::string_view aPrefix)
{
  return aText.substr(0, aPrefix.size()) == aPrefix;
}

Error
Invalid(const Queue& aQueue, const std::string& aWhat)
{
  return { ErrorKind::InvalidArgument,
           "queue '" + aQueue.mName + "': " + aWhat };
}

}

QueueMatch
FindQueue(const Manifest& aManifest,
          std::string_view aHost,
          std::string_view aPath)
{
  QueueMatch match;
  std::size_t longest = 0;
  for (const Queue& queue : aManifest.mQueues) {
    const bool matches =
      queue.mHost == aHost && StartsWith(aPath, queue.mPathPrefix);
    if (!matches) {
      continue;
    }
    if (match.mQueue == nullptr || queue.mPathPrefix.size() > longest) {
      match.mQueue = &queue;
      longest = queue.mPathPrefix.size();
    }
  }
  if (match.mQueue != nullptr) {
    match.mPathSuffix = aPath.substr(longest);
  }
  return match;
}

const Queue*
FindQueueInForce(const Manifest& aManifest, const Queue& aEarlier)
{
  const Queue* ofSameName = nullptr;
  const Queue* atSamePlace = nullptr;
  for (const Queue& queue : aManifest.mQueues) {
    const bool hasName = queue.mName == aEarlier.mName;
    const bool hasPlace = queue.mHost == aEarlier.mHost &&
                          queue.mPathPrefix == aEarlier.mPathPrefix;
    if (hasName && hasPlace) {
      return &queue;
    }
    ofSameName = hasName && ofSameName == nullptr ? &queue : ofSameName;
    atSamePlace = hasPlace ? &queue : atSamePlace;
  }
  return ofSameName != nullptr ? ofSameName : atSamePlace;
}

const Pool*
FindPool(const Manifest& aManifest, std::string_view aName)
{
  const auto found =
    std::find_if(aManifest.mPools.begin(),
                 aManifest.mPools.end(),
                 [&](const Pool& aPool) { return aPool.mName == aName; });
  return found == aManifest.mPools.end() ? nullptr : &*found;
}

Result<void>
CheckManifest(const Manifest& aManifest)
{
  if (aManifest.mVersion == 0) {
    return Error(ErrorKind::InvalidArgument,
                 "version 0 (allowed: a whole number from 1)");
  }
  std::set<std::string_view> pools;
  for (const Pool& pool : aManifest.mPools) {
    if (pool.mName.empty() || !pools.insert(pool.mName).second) {
      return Error(ErrorKind::InvalidArgument,
                   "pool '" + pool.mName + "' has no name or is a duplicate");
    }
  }
  std::set<std::pair<std::string_view, std::string_view>> paths;
  for (const Queue& queue : aManifest.mQueues) {
    if (pools.count(queue.mPool) == 0) {
      return Invalid(queue, "unknown pool '" + queue.mPool + "'");
    }
    if (!paths.emplace(queue.mHost, queue.mPathPrefix).second) {
      return Invalid(queue,
                     "another queue has host '" + queue.mHost +
                       "' and prefix '" + queue.mPathPrefix + "'");
    }
    if (queue.mTimeoutMs == 0) {
      return Invalid(queue, "timeout 0 ms (allowed: from 1 ms)");
    }
  }
  return Success();
}

}
