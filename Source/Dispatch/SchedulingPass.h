#pragma once

#include <cstddef>
#include <vector>

#include "Dispatch/ReadyQueue.h"

namespace almondspoke::dispatch {

/** \brief One pass of the scheduler over the waiting jobs, the most urgent
 * first.
 *
 * A class of jobs is left for the rest of the pass once several of its jobs in
 * a row have found no worker, so that a long queue costs little. The other
 * classes, which wait for other workers, are not affected. Between two calls of
 * Next(), no job may leave the queue but the one returned last. */
class SchedulingPass
{
public:
  explicit SchedulingPass(const ReadyQueue& aReady);

  /** Returns the next job to be scheduled, or null if there is none. */
  DispatchJob* Next();
  /** Records whether a task of the job returned last has found a worker. */
  void OnScheduled(bool aPlaced);

private:
  /** \brief The jobs of a class that have not been returned yet. */
  struct Cursor
  {
    ReadyQueue::Jobs::const_iterator mNext;
    ReadyQueue::Jobs::const_iterator mEnd;
    /** Jobs in a row that have found no worker. */
    std::size_t mUnplaced = 0;
  };

  /** Returns the place in the pass of the next job of a class. */
  static SchedulingKey OrderOf(const Cursor& aCursor);

  std::vector<Cursor> mCursors;
  /** Index of the class of the job returned last; the number of classes if it
   * has no further jobs. */
  std::size_t mCurrent = 0;
};

} // namespace almondspoke::dispatch
