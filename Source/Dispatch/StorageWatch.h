#pragma once

#include <cstdint>

namespace almondspoke {
class ConsensusGroup;
class EventLog;
}

namespace almondspoke::dispatch {

/** \brief Logs when the storage of this instance's replica fails, and when it
 * is in use again. */
class StorageWatch
{
public:
  explicit StorageWatch(EventLog& aLog)
    : mLog(aLog)
  {
  }

  /** Must be called regularly. */
  void Observe(const ConsensusGroup& aGroup);

private:
  EventLog& mLog;
  std::uint64_t mFailures = 0;
  bool mHasFailed = false;
};

}
