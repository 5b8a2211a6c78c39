#pragma once

#include <cstdint>
#include <map>
#include <utility>
#include <vector>

#include "Dispatch/WorkerSession.h"

namespace almondspoke::dispatch {

/** \brief Orders workers by the time at which the leader must look at them
 * next, so that a tick looks only at those that are due. */
class WorkerTimers
{
public:
  using TimePoint = Clock::Monotonic;

  /** Makes a worker due at a time, unless it is due earlier. */
  void Arm(WorkerSession& aWorker, TimePoint aAt);
  /** Forgets a worker; must be called before its session ends. */
  void Remove(WorkerSession& aWorker);
  void Clear() { mDue.clear(); }

  /** Returns the workers that are due, each once. They are due again only when
   * they are armed again. */
  std::vector<WorkerSession*> TakeDue(TimePoint aNow);

private:
  /** By due time and number of the session. */
  std::map<std::pair<TimePoint, std::uint64_t>, WorkerSession*> mDue;
};

}
