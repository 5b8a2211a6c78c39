#pragma once

#include <cstdint>
#include <mutex>
#include <string>

#include "Base/Clock.h"
#include "Base/EventLog.h"
#include "Transport/RequestMemory.h"

namespace almondspoke::dispatch {

/** \brief Logs the requests that a listener refuses for one of its limits.
 *
 * Clients decide how many there are, so that only a few lines a second are
 * written. Each line has the number of refusals since the one before it.
 * Thread-safe. */
class RefusalLog
{
public:
  /** Lines per second. */
  static constexpr std::uint32_t kMaxLines = 5;

  RefusalLog(const Clock& aClock, EventLog& aLog, std::string aListener);

  void OnRefusal(const RequestRefusal& aRefusal);

private:
  const Clock& mClock;
  EventLog& mLog;
  const std::string mListener;
  std::mutex mMutex;
  Clock::Monotonic mSecondBeganAt{};
  std::uint32_t mLines = 0;
  std::uint64_t mUnreported = 0;
};

}
