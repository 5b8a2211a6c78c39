#include "Dispatch/OrderFlow.h"

#include <algorithm>

namespace almondspoke::dispatch {

namespace {

constexpr std::chrono::milliseconds kLineInterval{ 1000 };

}

void
OrderFlow::OnOrdered(const std::string& aDataCentre)
{
  Flow& flow = mFlows[aDataCentre];
  ++flow.mOrdered;
  ++flow.mOpen;
  flow.mMostOpen = std::max(flow.mMostOpen, flow.mOpen);
}

void
OrderFlow::OnEnded(const std::string& aDataCentre,
                   OrderOutcome aOutcome,
                   Milliseconds aTook)
{
  const auto found = mFlows.find(aDataCentre);
  if (found == mFlows.end() || found->second.mOpen == 0) {
    return;
  }
  Flow& flow = found->second;
  --flow.mOpen;
  if (aOutcome == OrderOutcome::NotSent) {
    ++flow.mNotSent;
    return;
  }
  if (aOutcome == OrderOutcome::Unknown) {
    ++flow.mUnanswered;
    return;
  }
  flow.mFastest = flow.mAnswered == 0 ? aTook : std::min(flow.mFastest, aTook);
  flow.mSlowest = std::max(flow.mSlowest, aTook);
  ++flow.mAnswered;
}

void
OrderFlow::Tick(TimePoint aNow, const StartWindows& aWindows)
{
  if (aNow < mNextLineAt) {
    return;
  }
  mNextLineAt = aNow + kLineInterval;
  for (auto& [dataCentre, flow] : mFlows) {
    if (flow.mOrdered > 0 || flow.mOpen > 0) {
      Log(dataCentre, flow, aWindows);
    }
    const std::uint64_t open = flow.mOpen;
    flow = Flow{};
    flow.mOpen = open;
    flow.mMostOpen = open;
  }
}

void
OrderFlow::Log(const std::string& aDataCentre,
               const Flow& aFlow,
               const StartWindows& aWindows)
{
  EventLine(mLog, "start-flow")
    .With("data_centre", aDataCentre)
    .With("ordered", aFlow.mOrdered)
    .With("answered", aFlow.mAnswered)
    .With("unanswered", aFlow.mUnanswered)
    .With("not_sent", aFlow.mNotSent)
    .With("open", aFlow.mOpen)
    .With("most_open", aFlow.mMostOpen)
    .With("limit", std::uint64_t{ aWindows.LimitIn(aDataCentre) })
    .With("limit_of_all", std::uint64_t{ aWindows.Limit() })
    .With("fastest_ms", std::int64_t{ aFlow.mFastest.count() })
    .With("slowest_ms", std::int64_t{ aFlow.mSlowest.count() });
}

}
