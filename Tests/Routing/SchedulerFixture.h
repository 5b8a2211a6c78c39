#pragma once

#include <chrono>
#include <string>
#include <vector>

#include "Base/Decision.h"
#include "Routing/Scheduler.h"
#include "Support/ManualClock.h"

namespace almondspoke::testing {

/** \brief Stores decisions in memory. */
class FakeDecisionSink : public DecisionSink
{
public:
  void Record(Decision aDecision) override
  {
    mDecisions.push_back(std::move(aDecision));
  }

  std::vector<Decision> mDecisions;
};

/** \brief A Scheduler in local mode that stores its dispatches and refusals. */
class SchedulerFixture
{
public:
  explicit SchedulerFixture(SchedulerSettings aSettings = {})
    : mSlots(mClock, { "i1", "dc1", 1 }, SlotHolder::Mode::Local)
    , mScheduler(mClock, mSlots, mDecisions, aSettings)
  {
  }

  void AddEndpoint(const EndpointName& aName, std::uint32_t aSlots = 1)
  {
    Change(EndpointChange::Kind::Added, aName, aSlots);
  }
  void RemoveEndpoint(const EndpointName& aName)
  {
    Change(EndpointChange::Kind::Removed, aName, 0);
  }

  static WorkItem Item(const KindName& aKind = "quote",
                       UrgencyLevel aUrgency = 0)
  {
    WorkItem item;
    item.mService = "booking";
    item.mKind = aKind;
    item.mUrgency = aUrgency;
    item.mIdempotent = true;
    return item;
  }

  /** Submits work with a deadline in aTimeout from now. */
  Result<WorkId> Submit(
    WorkItem aItem,
    std::chrono::milliseconds aTimeout = std::chrono::seconds(10))
  {
    aItem.mDeadline = mClock.MonotonicNow() + aTimeout;
    aItem.mOnStop = [this](std::uint32_t aAttempt) {
      mStopped.push_back(aAttempt);
    };
    return mScheduler.Submit(
      std::move(aItem),
      [this](const Dispatch& aDispatch) { mDispatched.push_back(aDispatch); },
      [this](const Error& aError) { mRefused.push_back(aError.Kind()); });
  }

  CompletionResult Complete(
    WorkId aId,
    AttemptOutcome aOutcome = AttemptOutcome::Succeeded,
    std::chrono::milliseconds aElapsed = std::chrono::milliseconds(100))
  {
    return mScheduler.Complete(aId, aOutcome, aElapsed);
  }

  void Advance(std::chrono::milliseconds aBy)
  {
    mClock.Advance(aBy);
    mScheduler.Tick();
  }

  ManualClock mClock;
  FakeDecisionSink mDecisions;
  SlotHolder mSlots;
  Scheduler mScheduler;
  std::vector<Dispatch> mDispatched;
  std::vector<ErrorKind> mRefused;
  /** Numbers of the attempts that the scheduler asked to stop. */
  std::vector<std::uint32_t> mStopped;

private:
  void Change(EndpointChange::Kind aKind,
              const EndpointName& aName,
              std::uint32_t aSlots)
  {
    EndpointChange change;
    change.mKind = aKind;
    change.mEndpoint.mAnnouncement.mName = aName;
    change.mEndpoint.mAnnouncement.mService = "booking";
    change.mEndpoint.mAnnouncement.mAddress = "127.0.0.1:1";
    change.mEndpoint.mAnnouncement.mSlots = aSlots;
    mScheduler.Apply(change);
  }
};

}
