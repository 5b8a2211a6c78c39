#pragma once

#include <cstdint>
#include <map>
#include <utility>
#include <vector>

#include "Dispatch/AdmissionStrategy.h"
#include "Dispatch/DispatchJob.h"

namespace almondspoke::dispatch {

/** \brief Jobs that have tasks waiting for a worker, in the order in which they
 * are scheduled, with the sums of their work.
 *
 * Keeps running sums of the waiting work, so that the work before a job is
 * known without a walk over the queue, and orders the jobs by the time up to
 * which they may wait. Jobs are also listed by their placement class, since
 * those of one class may wait while those of another can run. */
class ReadyQueue
{
public:
  using TimePoint = Clock::Monotonic;
  using Jobs = std::map<SchedulingKey, DispatchJob*>;
  /** The first jobs of the classes, with all jobs of the class. */
  using ClassesInOrder = std::map<SchedulingKey, const Jobs*>;

  /** \param aAdmission tells for how long a job may wait */
  explicit ReadyQueue(const AdmissionStrategy& aAdmission)
    : mAdmission(aAdmission)
  {
  }

  /** Adds or removes a job according to its state, and counts its work anew.
   * Must be called after each change of the state. */
  void Update(DispatchJob& aJob);
  /** Schedules a job after all that can be in time. */
  void Defer(DispatchJob& aJob);
  /** Removes a job; must be called before the job is deleted. */
  void Remove(DispatchJob& aJob);
  void Clear();

  bool IsEmpty() const { return mJobs.empty(); }
  const Jobs& InOrder() const { return mJobs; }
  const ClassesInOrder& ClassesByFirstJob() const { return mClassesInOrder; }

  /** Returns the work that waits for workers that may run a job, and the part
   * of it that is scheduled before the job, in core-milliseconds. The usable
   * cores are not set. */
  Backlog BacklogBefore(const DispatchJob& aJob) const;

  /** Returns the jobs that have waited for longer than they may in their
   * present state, each once per limit (see AdmissionStrategy::WaitLimit). */
  std::vector<DispatchJob*> TakeOverdue(TimePoint aNow);

private:
  /** \brief Work of the jobs of one priority that are due within a range of
   * times, by the start of the range. */
  struct PriorityWork
  {
    std::uint64_t mTotal = 0;
    std::map<TimePoint, std::uint64_t> mByDueTime;
  };

  /** \brief The waiting jobs of one class, and their work by priority. */
  struct ClassQueue
  {
    Jobs mJobs;
    /** By mIsLate and the priority of the jobs. */
    std::map<std::pair<bool, std::uint32_t>, PriorityWork> mWork;
    std::uint64_t mTotalWork = 0;
  };

  void List(DispatchJob& aJob);
  void Unlist(const DispatchJob& aJob);
  static void Count(ClassQueue& aQueue, DispatchJob& aJob, std::uint64_t aWork);
  void ArmLimit(DispatchJob& aJob);
  void DisarmLimit(DispatchJob& aJob);
  void AddBacklog(const PlacementClass& aClass,
                  const SchedulingKey& aKey,
                  Backlog& aBacklog) const;
  static std::uint64_t WorkBefore(const ClassQueue& aQueue,
                                  const SchedulingKey& aKey);

  const AdmissionStrategy& mAdmission;
  Jobs mJobs;
  std::map<PlacementClass, ClassQueue> mClasses;
  ClassesInOrder mClassesInOrder;
  /** By the end of the time that a job may wait, and its arrival number. */
  std::map<std::pair<TimePoint, std::uint64_t>, DispatchJob*> mByLimit;
};

}
