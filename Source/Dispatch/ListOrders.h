#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "Dispatch/WorkerCalls.h"

namespace almondspoke::dispatch {

/** \brief The list orders to a boot that are not answered yet, and the runs
 * that were found over meanwhile.
 *
 * Answers may overtake each other. A list that was requested before a run was
 * found over may still contain the run; such an entry is out of date. */
class ListOrders
{
public:
  /** Records that an order was sent. Numbers increase. */
  void OnSent(std::uint64_t aOrder);
  /** Records that an order was answered or was given up. Must be called before
   * its list is processed. */
  void OnEnded(std::uint64_t aOrder);
  /** Records that a run is over. */
  void NoteOver(const RunId& aRun);
  /** Returns whether the list that an order has returned is older than the
   * evidence that a run is over. */
  bool IsOutOfDate(const RunId& aRun, std::uint64_t aOrder) const;
  std::size_t NotedRuns() const { return mOver.size(); }

private:
  struct Over
  {
    RunId mRun;
    /** The last open order when the run was found over. */
    std::uint64_t mLastSent = 0;
  };

  /** Numbers of the open orders, in rising order. */
  std::vector<std::uint64_t> mOpen;
  /** Runs that were found over, in this order. */
  std::vector<Over> mOver;
};

}
