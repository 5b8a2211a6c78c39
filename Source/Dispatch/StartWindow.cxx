#include "Dispatch/StartWindow.h"

#include <algorithm>

namespace almondspoke::dispatch {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kInterval{ 100 };

/** Longest time of the fastest answer while orders do not wait: several round
 * trips between data centres, and less than the shortest time that a job may
 * wait for its start (Admission::MaxQueueTime()). */
constexpr milliseconds kMaxFastestAnswer{ 15 };

/** By how much the fastest answer of a data centre may be slower than that of
 * the others: a round trip, and the work of its relay. */
constexpr milliseconds kMaxRelayTime{ 15 };

/** Highest bounds of all orders and of those to one data centre, with which
 * the windows begin. No data centre may take up all orders. */
constexpr std::size_t kMaxLimitOfAll = 512;
constexpr std::size_t kMaxLimitOfOne = 384;
constexpr std::size_t kMinLimit = 4;

bool
IsAnswer(OrderOutcome aOutcome)
{
  return aOutcome != OrderOutcome::NotSent && aOutcome != OrderOutcome::Unknown;
}

}

void
StartWindow::OnOrdered()
{
  ++mOrders;
  mIsFilled = mIsFilled || !IsOpen();
}

bool
StartWindow::OnEnded(std::optional<Milliseconds> aTook)
{
  mOrders -= std::min<std::size_t>(mOrders, 1);
  if (aTook) {
    mFastest = std::min(mFastest.value_or(*aTook), *aTook);
  }
  if (aTook && mIsFilled && *aTook <= kMaxFastestAnswer) {
    mLimit = std::min(mMaxLimit, mLimit + 1);
  }
  const bool isHalfFree = mIsFilled && mOrders * 2 <= mLimit;
  mIsFilled = mIsFilled && !isHalfFree;
  return isHalfFree;
}

void
StartWindow::BeginInterval(bool aOrdersWait)
{
  if (aOrdersWait) {
    mLimit = std::max(kMinLimit, mLimit * 3 / 4);
  }
  mHadOrders = mOrders > 0;
  mFastest.reset();
}

StartWindows::StartWindows()
  : mAll(kMaxLimitOfAll)
{
}

bool
StartWindows::MayStart() const
{
  const auto isOpen = [](const auto& aEntry) { return aEntry.second.IsOpen(); };
  return mAll.IsOpen() &&
         (mWindows.empty() ||
          std::any_of(mWindows.begin(), mWindows.end(), isOpen));
}

bool
StartWindows::MayStartIn(const std::string& aDataCentre) const
{
  const auto window = mWindows.find(aDataCentre);
  return mAll.IsOpen() && (window == mWindows.end() || window->second.IsOpen());
}

std::size_t
StartWindows::LimitIn(const std::string& aDataCentre) const
{
  const auto window = mWindows.find(aDataCentre);
  return window == mWindows.end() ? kMaxLimitOfOne : window->second.Limit();
}

void
StartWindows::Clear()
{
  mAll = StartWindow(kMaxLimitOfAll);
  mWindows.clear();
}

StartWindow&
StartWindows::WindowOf(const std::string& aDataCentre)
{
  return mWindows.try_emplace(aDataCentre, kMaxLimitOfOne).first->second;
}

void
StartWindows::OnOrdered(const std::string& aDataCentre, TimePoint aNow)
{
  BeginIntervalIfDue(aNow);
  mAll.OnOrdered();
  WindowOf(aDataCentre).OnOrdered();
}

bool
StartWindows::OnEnded(const std::string& aDataCentre,
                      OrderOutcome aOutcome,
                      Milliseconds aTook,
                      TimePoint aNow)
{
  const auto answered =
    IsAnswer(aOutcome) ? std::make_optional(aTook) : std::nullopt;
  const bool isHalfFree = mAll.OnEnded(answered);
  const bool isOneHalfFree = WindowOf(aDataCentre).OnEnded(answered);
  BeginIntervalIfDue(aNow);
  return isHalfFree || isOneHalfFree;
}

void
StartWindows::BeginIntervalIfDue(TimePoint aNow)
{
  if (aNow < mIntervalEndsAt) {
    return;
  }
  mIntervalEndsAt = aNow + kInterval;
  const auto fastest = mAll.FastestAnswer();
  const auto waitsOver = [](const StartWindow& aWindow, milliseconds aLongest) {
    return aWindow.FastestAnswer() ? *aWindow.FastestAnswer() > aLongest
                                   : aWindow.HadOrders();
  };
  if (fastest) {
    for (auto& [dataCentre, window] : mWindows) {
      window.BeginInterval(waitsOver(window, *fastest + kMaxRelayTime));
    }
  }
  mAll.BeginInterval(waitsOver(mAll, kMaxFastestAnswer));
}

}
