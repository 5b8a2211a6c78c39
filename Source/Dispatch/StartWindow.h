#pragma once

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <string>

#include "Base/Clock.h"
#include "Dispatch/WorkerCalls.h"

namespace almondspoke::dispatch {

/** \brief Bounds how many orders to start runs are open at a time. */
class StartWindow
{
public:
  using Milliseconds = std::chrono::milliseconds;

  /** \param aMaxLimit highest bound, with which the window begins */
  explicit StartWindow(std::size_t aMaxLimit)
    : mMaxLimit(aMaxLimit)
    , mLimit(aMaxLimit)
  {
  }

  /** Returns whether a further order may be given. */
  bool IsOpen() const { return mOrders < mLimit; }
  std::size_t Limit() const { return mLimit; }

  void OnOrdered();
  /** Records the end of an order.
   * \param aTook time since it was given; unset if it was not answered
   * \return true if the window was full and half of it is free again */
  bool OnEnded(std::optional<Milliseconds> aTook);

  /** Returns the time of the fastest answer since the interval began. */
  std::optional<Milliseconds> FastestAnswer() const { return mFastest; }
  /** Returns whether orders were open when the interval began. */
  bool HadOrders() const { return mHadOrders; }
  /** Begins a new interval.
   * \param aOrdersWait whether the orders of the last one have waited */
  void BeginInterval(bool aOrdersWait);

private:
  std::size_t mMaxLimit;
  std::size_t mLimit;
  std::size_t mOrders = 0;
  /** True since the window was full until half of it is free. */
  bool mIsFilled = false;
  bool mHadOrders = false;
  std::optional<Milliseconds> mFastest;
};

/** \brief Keeps orders to start runs from waiting for each other on their way:
 * at the leader, or at the relay of a data centre.
 *
 * Orders that wait are told from slow workers by the fastest answer of an
 * interval: where even that one is slow, all have waited. If that holds for all
 * orders, the leader itself is behind; if the answers of one data centre are
 * slower than those of others, its relay is. The bound of those orders is then
 * lowered. Where a bound is reached, each quick answer raises it by one. */
class StartWindows
{
public:
  using TimePoint = Clock::Monotonic;
  using Milliseconds = StartWindow::Milliseconds;

  StartWindows();

  /** Returns whether a run may be started on any worker. */
  bool MayStart() const;
  /** Returns whether a run may be started on a worker of a data centre. */
  bool MayStartIn(const std::string& aDataCentre) const;

  void OnOrdered(const std::string& aDataCentre, TimePoint aNow);
  /** Records the end of an order.
   * \param aTook time since it was given
   * \return true if a window was full and half of it is free again */
  bool OnEnded(const std::string& aDataCentre,
               OrderOutcome aOutcome,
               Milliseconds aTook,
               TimePoint aNow);

  std::size_t Limit() const { return mAll.Limit(); }
  std::size_t LimitIn(const std::string& aDataCentre) const;
  void Clear();

private:
  StartWindow& WindowOf(const std::string& aDataCentre);
  void BeginIntervalIfDue(TimePoint aNow);

  StartWindow mAll;
  std::map<std::string, StartWindow> mWindows;
  TimePoint mIntervalEndsAt{};
};

}
