#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

#include "Base/Clock.h"
#include "Base/EventLog.h"
#include "Dispatch/StartWindow.h"
#include "Dispatch/WorkerCalls.h"

namespace almondspoke::dispatch {

/** \brief Logs once a second, for each data centre, how a leader's orders to
 * start runs fare: how many are open, and how long their answers take.
 *
 * Tells work that waits on its way to the workers from work that waits for
 * workers. */
class OrderFlow
{
public:
  using TimePoint = Clock::Monotonic;
  using Milliseconds = std::chrono::milliseconds;

  explicit OrderFlow(EventLog& aLog)
    : mLog(aLog)
  {
  }

  /** Records that an order to a worker of a data centre was given. */
  void OnOrdered(const std::string& aDataCentre);
  /** Records the end of such an order.
   * \param aTook time since it was given */
  void OnEnded(const std::string& aDataCentre,
               OrderOutcome aOutcome,
               Milliseconds aTook);
  /** Writes the lines that are due.
   * \param aWindows bounds of the open orders */
  void Tick(TimePoint aNow, const StartWindows& aWindows);
  /** Forgets all orders. */
  void Clear() { mFlows.clear(); }

private:
  /** \brief Orders to one data centre since the last line. */
  struct Flow
  {
    std::uint64_t mOpen = 0;
    std::uint64_t mMostOpen = 0;
    std::uint64_t mOrdered = 0;
    std::uint64_t mAnswered = 0;
    /** Orders that may or may not have been carried out. */
    std::uint64_t mUnanswered = 0;
    std::uint64_t mNotSent = 0;
    Milliseconds mFastest{ 0 };
    Milliseconds mSlowest{ 0 };
  };

  void Log(const std::string& aDataCentre,
           const Flow& aFlow,
           const StartWindows& aWindows);

  EventLog& mLog;
  std::map<std::string, Flow> mFlows;
  TimePoint mNextLineAt{};
};

}
