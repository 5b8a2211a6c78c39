#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "Base/Clock.h"
#include "Routing/RequestQueue.h"

namespace almondspoke {

/** \brief Input of DeadlineAdmission for one piece of work. */
struct AdmissionInput
{
  KindIndex mKind = 0;
  /** Queued work of the same kind that is served first. */
  std::size_t mWorkAhead = 0;
  /** Slots that the kind may use. Used only until the start rate has been
   * measured. */
  std::uint32_t mSlots = 0;
  std::chrono::microseconds mRunTime{ 0 };
  Clock::Monotonic mDeadline;
};

/** \brief Input of IsTooLateToStart(). */
struct StartInput
{
  Clock::Monotonic mSubmittedAt;
  Clock::Monotonic mDeadline;
  /** 95th percentile of the run times of the kind; zero if it is not known yet.
   */
  std::chrono::microseconds mHighRunTime{ 0 };
};

/** Returns true if queued work should be dropped instead of started, because it
 * would most likely exceed its deadline: the time left is shorter than the
 * high run time of its kind. Work with more than half of its time left always
 * starts, so that requests with short timeouts are served while there is no
 * queue. */
bool
IsTooLateToStart(const StartInput& aInput, Clock::Monotonic aNow);

/** \brief Checks on arrival whether work can finish by its deadline.
 *
 * The expected wait is the amount of work ahead times the mean interval
 * between starts of the kind. The interval is measured only while work of the
 * kind is queued. Not thread-safe. */
class DeadlineAdmission
{
public:
  using Duration = std::chrono::microseconds;

  /** Records a start of the kind.
   * \param aWaiting work of the kind that is still queued. */
  void RecordStart(KindIndex aKind,
                   Clock::Monotonic aNow,
                   std::size_t aWaiting);

  /** Returns the expected time until the work starts. */
  Duration ExpectedWait(const AdmissionInput& aInput,
                        Clock::Monotonic aNow) const;

  /** Returns nothing if the deadline can be met, and otherwise the time after
   * which the caller should retry. */
  std::optional<std::chrono::milliseconds> CheckDeadline(
    const AdmissionInput& aInput,
    Clock::Monotonic aNow) const;

private:
  struct Kind
  {
    /** Exponentially weighted mean of the time between two starts. */
    double mMeanIntervalSeconds = 0;
    std::uint32_t mSamples = 0;
    /** Time of the last start; not set if no work was queued after it. */
    std::optional<Clock::Monotonic> mLastStart;
  };

  double StartIntervalSeconds(const AdmissionInput& aInput,
                              Clock::Monotonic aNow) const;

  std::vector<Kind> mKinds;
};

}
