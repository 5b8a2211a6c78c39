#include "Routing/KindCounters.h"

namespace almondspoke {

KindCounters::Counts&
KindCounters::Of(KindIndex aKind)
{
  if (aKind >= mCounts.size()) {
    mCounts.resize(aKind + std::size_t{ 1 });
  }
  return mCounts[aKind];
}

std::vector<KindStatus>
KindCounters::Status(const RequestQueue& aQueue,
                     const RunTimeEstimator& aRunTimes) const
{
  std::vector<KindStatus> status;
  status.reserve(aQueue.KindCount());
  for (std::size_t i = 0; i < aQueue.KindCount(); ++i) {
    const auto kind = static_cast<KindIndex>(i);
    const Counts counts = i < mCounts.size() ? mCounts[i] : Counts{};
    status.push_back({ aQueue.NameOf(kind),
                       aQueue.Waiting(kind),
                       aQueue.InUse(kind),
                       counts.mDispatched,
                       counts.mRefused,
                       counts.mExpired,
                       counts.mCancelled,
                       aRunTimes.Median(kind) });
  }
  return status;
}

}
