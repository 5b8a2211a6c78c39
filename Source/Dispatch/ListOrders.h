#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <utility>

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
  using Key = std::pair<TaskId, RunNumber>;

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
  std::set<std::uint64_t> mOpen;
  /** The last order that had been sent when a run was found over. */
  std::map<Key, std::uint64_t> mOver;
  /** The same, in the order in which the entries are discarded. */
  std::deque<std::pair<std::uint64_t, Key>> mByOrder;
};

}
