#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "Base/Clock.h"
#include "Routing/RequestQueue.h"

namespace almondspoke {

/** \brief What DeadlineAdmission judges by. */
struct AdmissionInput
{
  KindIndex mKind = 0;
  /** Work of the kind that would be served first. */
  std::size_t mWorkAhead = 0;
  /** Slots that the kind may use; counts until a rate is known. */
  std::uint32_t mSlots = 0;
  std::chrono::microseconds mRunTime{ 0 };
  Clock::Monotonic mDeadline;
};

/** \brief What IsTooLateToStart() judges by. */
struct StartInput
{
  Clock::Monotonic mSubmittedAt;
  Clock::Monotonic mDeadline;
  /** 95th percentile of the kind's run times; zero if not learned. */
  std::chrono::microseconds mHighRunTime{ 0 };
};

/** True if work that waited should not start any more, since its deadline
 * would most likely cut it off: the time left is less than the kind's high run
 * time. Work that has more than half of its time left starts in any case, so
 * that short timeouts are served while there is no queue. */
bool
IsTooLateToStart(const StartInput& aInput, Clock::Monotonic aNow);

/** \brief Refuses work at once that cannot end by its deadline.
 *
 * The wait is the work ahead times the mean interval between starts of the
 * kind, measured while it was backlogged. Not thread-safe. */
class DeadlineAdmission
{
public:
  using Duration = std::chrono::microseconds;

  /** Notes that work of the kind started and how much of it still waits. */
  void RecordStart(KindIndex aKind,
                   Clock::Monotonic aNow,
                   std::size_t aWaiting);

  /** Expected wait until the work would start. */
  Duration ExpectedWait(const AdmissionInput& aInput,
                        Clock::Monotonic aNow) const;

  /** Returns the time after which to try again if the deadline cannot be met,
   * and nothing if it can. */
  std::optional<std::chrono::milliseconds> CheckDeadline(
    const AdmissionInput& aInput,
    Clock::Monotonic aNow) const;

private:
  struct Kind
  {
    /** Mean interval between starts, in seconds. */
    double mMeanIntervalSeconds = 0;
    std::uint32_t mSamples = 0;
    /** Time of the last start, if work waited behind it. */
    std::optional<Clock::Monotonic> mLastStart;
  };

  double StartIntervalSeconds(const AdmissionInput& aInput,
                              Clock::Monotonic aNow) const;

  std::vector<Kind> mKinds;
};

}
