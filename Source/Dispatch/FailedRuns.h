#pragma once

#include <cstddef>
#include <vector>

#include <msgpack.hpp>

#include "Dispatch/WorkerCalls.h"

namespace almondspoke::dispatch {

/** \brief The runs of a task that have failed, each counted once.
 *
 * The ends of a task's runs can be read in any order, since a worker that was
 * out of reach lists its ends later than others. */
class FailedRuns
{
public:
  /** Counts a run.
   * \return false if the run was counted before */
  bool Add(RunNumber aRun);
  bool Contains(RunNumber aRun) const;
  std::size_t Count() const { return mNumbers.size(); }

  MSGPACK_DEFINE(mNumbers)

private:
  /** In the order in which the ends were read; at most the number of attempts
   * that the queue allows. */
  std::vector<RunNumber> mNumbers;
};

}
