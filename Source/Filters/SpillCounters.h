#pragma once

#include <atomic>
#include <cstdint>

namespace almondspoke {

/** \brief Counters, since the start, of requests whose service has no endpoint
 * in this data centre. */
struct SpillCounters
{
  /** Attempts sent to another data centre. */
  std::atomic<std::uint64_t> mSent{ 0 };
  /** Attempts that certainly did not run there. */
  std::atomic<std::uint64_t> mRefused{ 0 };
  /** Attempts without an answer that may have run. */
  std::atomic<std::uint64_t> mLost{ 0 };
  /** Requests for which no other data centre had capacity. */
  std::atomic<std::uint64_t> mWithoutCapacity{ 0 };
};

}
