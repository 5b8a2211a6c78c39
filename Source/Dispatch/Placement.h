#pragma once

#include <map>
#include <string>
#include <vector>

#include "Dispatch/DispatchJob.h"
#include "Dispatch/WorkerSession.h"

namespace almondspoke::dispatch {

using WorkerSessions = std::map<WorkerId, WorkerSession>;

/** \brief Chooses the worker of a task.
 *
 * Answers the load of wide jobs whose tasks fill a worker to a half or more:
 * the worker that is left with the least room is taken, so that large tasks
 * still find workers that are free. A worker on which an earlier run of the
 * task ended badly is taken only if there is no other. */
class Placement
{
public:
  /** The workers that a task may go to; those of one step have the same. A
   * leader looks at all workers once for a step, not once for a task. */
  static std::vector<WorkerSession*> Candidates(WorkerSessions& aWorkers,
                                                const DispatchJob& aJob,
                                                const TaskId& aTask,
                                                Clock::Monotonic aNow);

  /** The worker, or null if none of the candidates has room or may be used any
   * more. */
  static WorkerSession* Choose(const std::vector<WorkerSession*>& aCandidates,
                               const DispatchJob& aJob,
                               const TaskId& aTask,
                               Clock::Monotonic aNow);

private:
  struct PlacementCost
  {
    bool mFailedOn = false;
    bool mFarFromData = false;
    bool mIsCold = false;
    std::uint32_t mMilliCoresLeft = 0;

    bool operator<(const PlacementCost& aOther) const;
  };

  static bool IsAllowed(const WorkerSession& aWorker,
                        const DispatchJob& aJob,
                        const TaskId& aTask,
                        Clock::Monotonic aNow);
  static PlacementCost CostOf(const WorkerSession& aWorker,
                              const DispatchJob& aJob,
                              const TaskId& aTask);
};

}
