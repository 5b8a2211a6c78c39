#pragma once

#include <chrono>
#include <cstdint>

namespace almondspoke::dispatch {

/** \brief Decides whether a run is stopped to be started again elsewhere, by
 * the speed of its worker and by what a new start can gain. */
class StragglerRule
{
public:
  using Milliseconds = std::chrono::milliseconds;

  struct Run
  {
    /** Time on the worker, and the completed part then. */
    Milliseconds mObserved{ 0 };
    std::uint32_t mPercent = 0;
    /** Time since that was reported. */
    Milliseconds mSinceReport{ 0 };
    /** Expected run time at its worker, and where it would be started again. */
    Milliseconds mExpectedHere{ 0 };
    Milliseconds mExpectedElsewhere{ 0 };
    /** Share of the stopped tasks that ran as expected the second time. The
     * others are long themselves, wherever they run. */
    double mShareOfGains = 1;
  };

  enum class Verdict : std::uint8_t
  {
    NotSlow,
    /** Slow, but a new start is not expected to end earlier. */
    NoGain,
    Stop
  };

  static Verdict Judge(const Run& aRun);
  /** Returns the expected duration of a new start with its orders. */
  static Milliseconds RestartTime(const Run& aRun);
};

}
