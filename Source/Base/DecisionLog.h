#pragma once

#include <array>
#include <cstddef>
#include <deque>
#include <mutex>
#include <string>
#include <vector>

#include "Base/Clock.h"
#include "Base/Decision.h"

namespace almondspoke {

/** \brief Writes each decision as one key=value log line and keeps the most
 * recent ones in memory, in a fixed number of shards by request id. A full
 * shard discards its oldest decision. Thread-safe. */
class DecisionLog : public DecisionSink
{
public:
  /** \param aCapacity number of decisions kept, divided evenly among the
   * shards. */
  DecisionLog(const Clock& aClock, std::size_t aCapacity);

  void Record(Decision aDecision) override;

  /** Returns the decisions about a request that are still kept, oldest first.
   */
  std::vector<Decision> Find(const std::string& aRequestId) const;

private:
  static constexpr std::size_t kShards = 16;

  struct Shard
  {
    mutable std::mutex mMutex;
    std::deque<Decision> mDecisions;
  };

  Shard& ShardOf(const std::string& aRequestId);
  const Shard& ShardOf(const std::string& aRequestId) const;

  const Clock& mClock;
  std::size_t mShardCapacity;
  std::array<Shard, kShards> mShards;
};

/** Formats a decision as a log line, without the prefix that glog adds. */
std::string
FormatDecision(const Decision& aDecision);

}
