#pragma once

#include <cstdint>
#include <vector>

#include "Routing/RequestQueue.h"
#include "Routing/RunTimeEstimator.h"
#include "Routing/ServiceStatus.h"

namespace almondspoke {

/** \brief Counts the outcomes of the work of each kind since the process
 * started. Not thread-safe; the owner holds a lock. */
class KindCounters
{
public:
  struct Counts
  {
    std::uint64_t mDispatched = 0;
    std::uint64_t mRefused = 0;
    std::uint64_t mExpired = 0;
    std::uint64_t mCancelled = 0;
  };

  /** Returns the counters of a kind for modification. */
  Counts& Of(KindIndex aKind);

  /** Returns the status of all kinds in a queue. */
  std::vector<KindStatus> Status(const RequestQueue& aQueue,
                                 const RunTimeEstimator& aRunTimes) const;

private:
  std::vector<Counts> mCounts;
};

}
