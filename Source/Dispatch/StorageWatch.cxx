#include "Dispatch/StorageWatch.h"

#include "Base/EventLog.h"
#include "Consensus/ConsensusGroup.h"

namespace almondspoke::dispatch {

void
StorageWatch::Observe(const ConsensusGroup& aGroup)
{
  const std::uint64_t failures = aGroup.FailureCount();
  if (failures != mFailures) {
    mFailures = failures;
    mHasFailed = true;
    EventLine(mLog, "storage-failed")
      .With("failures", failures)
      .With("reason", aGroup.FailureReason());
  }
  if (mHasFailed && !aGroup.HasFailed()) {
    mHasFailed = false;
    EventLine(mLog, "storage-reopened")
      .With("failures", failures)
      .With("applied", aGroup.Applied());
  }
}

}
