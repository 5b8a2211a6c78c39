#pragma once

#include <chrono>
#include <optional>

#include "Base/Error.h"
#include "Routing/DeadlineAdmission.h"
#include "Routing/EndpointFleet.h"
#include "Routing/RequestQueue.h"
#include "Routing/RunTimeEstimator.h"
#include "Routing/TeamQuota.h"

namespace almondspoke {

/** Refusal of work of another data centre. */
Error
NoSpillRoomError(const ServiceName& aService);

/** \brief Decides whether new work of one service may wait at all: by live
 * endpoints, room in the queue, the deadline and the team's quota. Not
 * thread-safe: its owner holds a lock. */
class AdmissionControl
{
public:
  /** \brief What the decision is made from; outlives the AdmissionControl. */
  struct Parts
  {
    const RequestQueue& mQueue;
    const EndpointFleet& mFleet;
    const RunTimeEstimator& mRunTimes;
    TeamQuota& mTeams;
  };

  /** \param aHasQueue false for strategies that send at once. */
  AdmissionControl(ServiceName aService, bool aHasQueue, Parts aParts);

  /** Returns the refusal, or nothing if the work is admitted, which counts it
   * to its team. */
  std::optional<Error> Check(const WorkItem& aItem,
                             KindIndex aKind,
                             Clock::Monotonic aNow);

  /** Notes that work of the kind has left the queue for an endpoint. */
  void RecordStart(KindIndex aKind, Clock::Monotonic aNow);

  /** Time until work that waits is expected to get a slot. */
  std::chrono::microseconds ExpectedWait(const QueueKey& aKey) const;

private:
  AdmissionInput InputFor(const WorkItem& aItem, KindIndex aKind) const;
  std::chrono::milliseconds RetryAfterFor(const WorkItem& aItem,
                                          KindIndex aKind,
                                          Clock::Monotonic aNow) const;
  std::optional<Error> CheckQueue(const WorkItem& aItem,
                                  KindIndex aKind,
                                  Clock::Monotonic aNow);

  const ServiceName mName;
  const bool mHasQueue;
  Parts mParts;
  DeadlineAdmission mDeadlines;
};

}
