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

/** Returns the error for work of another data centre that finds no free slot.
 */
Error
NoSpillRoomError(const ServiceName& aService);

/** \brief Decides whether new work of one service is admitted, by live
 * endpoints, queue capacity, the deadline and the quota of the team.
 *
 * Not thread-safe; the owner holds a lock. */
class AdmissionControl
{
public:
  /** \brief Sources of the data that decisions are based on. They must outlive
   * the AdmissionControl. */
  struct Parts
  {
    const RequestQueue& mQueue;
    const EndpointFleet& mFleet;
    const RunTimeEstimator& mRunTimes;
    TeamQuota& mTeams;
  };

  /** \param aHasQueue false for strategies that dispatch work immediately. */
  AdmissionControl(ServiceName aService, bool aHasQueue, Parts aParts);

  /** Returns an error if the work is refused. Otherwise the work is added to
   * the outstanding work of its team. */
  std::optional<Error> Check(const WorkItem& aItem,
                             KindIndex aKind,
                             Clock::Monotonic aNow);

  /** Records that work of the kind was dispatched from the queue. */
  void RecordStart(KindIndex aKind, Clock::Monotonic aNow);

  /** Returns the expected time until queued work at this position gets a slot.
   */
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
