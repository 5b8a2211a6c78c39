#pragma once

#include <map>
#include <string>
#include <vector>

#include "Dispatch/DispatchJob.h"
#include "Dispatch/WorkerSession.h"

namespace almondspoke::dispatch {

using WorkerSessions = std::map<WorkerId, WorkerSession>;

/** \brief Chooses the worker for a task.
 *
 * Uses best fit: chooses the worker that will have the least CPU left, so that
 * free workers remain available for tasks that need half a worker or more. A
 * worker on which an earlier run of the task did not succeed is chosen only if
 * there is no other. */
class Placement
{
public:
  /** Returns the workers that can run a task. All tasks of a step have the same
   * candidates, so the leader searches all workers once per step instead of
   * once per task. */
  static std::vector<WorkerSession*> Candidates(WorkerSessions& aWorkers,
                                                const DispatchJob& aJob,
                                                const TaskId& aTask,
                                                Clock::Monotonic aNow);

  /** Returns the best candidate that still has room, or null. */
  static WorkerSession* Choose(const std::vector<WorkerSession*>& aCandidates,
                               const DispatchJob& aJob,
                               const TaskId& aTask,
                               Clock::Monotonic aNow);

private:
  struct Cost
  {
    bool mIsAvoided = false;
    bool mFarFromData = false;
    bool mIsCold = false;
    std::uint32_t mMilliCoresLeft = 0;

    bool operator<(const Cost& aOther) const;
  };

  static bool IsAllowed(const WorkerSession& aWorker,
                        const DispatchJob& aJob,
                        const TaskId& aTask,
                        Clock::Monotonic aNow);
  static Cost CostOf(const WorkerSession& aWorker,
                     const DispatchJob& aJob,
                     const TaskId& aTask);
};

}
