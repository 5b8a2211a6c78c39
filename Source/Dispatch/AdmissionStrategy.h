#pragma once

#include <array>
#include <chrono>
#include <memory>
#include <optional>

#include "Base/EnumNames.h"
#include "Dispatch/Admission.h"
#include "Dispatch/DispatchJob.h"
#include "Dispatch/NodeSettings.h"

namespace almondspoke::dispatch {

/** \brief What is decided about a job on its arrival, or when it has waited up
 * to its limit. */
enum class AdmissionVerdict : std::uint8_t
{
  /** The job is served in the order of urgency. */
  Accept,
  /** The job can no longer end in time: it is served after all jobs that can,
   * if capacity is left. */
  AcceptLate,
  Refuse,
  /** The job has started, so that it cannot be refused; nothing more of it is
   * started. */
  GiveUp
};

inline constexpr std::array<EnumName<AdmissionVerdict>, 4>
  kAdmissionVerdictNames = { {
    { AdmissionVerdict::Accept, "accept" },
    { AdmissionVerdict::AcceptLate, "accept-late" },
    { AdmissionVerdict::Refuse, "refuse" },
    { AdmissionVerdict::GiveUp, "give-up" },
  } };

/** \brief What is known about the capacity when a job arrives. */
struct AdmissionInputs
{
  using TimePoint = Clock::Monotonic;

  TimePoint mNow{};
  Backlog mBacklog;
  /** Whether a task of the job finds a worker now. */
  bool mHasRoom = false;
  /** Cores that waiting work was started on recently, on average; unset if no
   * work has waited for long enough to tell. */
  std::optional<double> mObservedCores;
  /** Time to the answer of an order to start a run, recently. */
  std::chrono::milliseconds mAnswerTime{ 0 };
  /** Time by which the recovery of a new leader has ended; unset if it has. */
  std::optional<TimePoint> mRecoveryEndsBy;
  /** Random number from 0 to 1 that spreads the retries of several callers. */
  double mJitter = 0;
};

/** \brief A decision with the inputs that determined it. */
struct AdmissionDecision
{
  AdmissionVerdict mVerdict = AdmissionVerdict::Accept;
  /** Expected time until the last task of the job starts. */
  std::chrono::milliseconds mQueueTime{ 0 };
  /** Time left until the latest start with which the job ends in time; negative
   * if it has passed. */
  std::chrono::milliseconds mSlack{ 0 };
  /** Work that is scheduled before the job, in core-milliseconds. */
  double mCoreMsAhead = 0;
  /** Cores that the queue time was computed with. */
  double mCores = 0;
  /** Time after which a refused caller should try again. */
  std::chrono::milliseconds mRetryDelay{ 0 };
};

/** \brief Decides which jobs are accepted and for how long they may wait.
 *
 * Has no state: all that is known comes with the call. */
class AdmissionStrategy
{
public:
  using TimePoint = DispatchJob::TimePoint;

  virtual ~AdmissionStrategy() = default;

  /** Returns the time that the orders of a new job are expected to take. */
  virtual std::chrono::milliseconds OrderTime(
    const DispatchJob& aJob,
    const AdmissionInputs& aInputs) const = 0;
  virtual AdmissionDecision Decide(const DispatchJob& aJob,
                                   const AdmissionInputs& aInputs) const = 0;
  /** Returns the time up to which a job may wait in its present state. */
  virtual TimePoint WaitLimit(const DispatchJob& aJob) const = 0;
  /** Decides what happens to a job that has waited up to its limit. */
  virtual AdmissionVerdict OnWaitLimit(const DispatchJob& aJob,
                                       TimePoint aNow) const = 0;
  /** Whether Decide() uses AdmissionInputs::mHasRoom. */
  virtual bool UsesRoom() const = 0;
};

/** \brief Accepts a job if its queue time is within a fixed share of the time
 * to its objective, see Admission. */
class FixedAdmission : public AdmissionStrategy
{
public:
  std::chrono::milliseconds OrderTime(const DispatchJob&,
                                      const AdmissionInputs&) const override
  {
    return {};
  }
  AdmissionDecision Decide(const DispatchJob& aJob,
                           const AdmissionInputs& aInputs) const override;
  TimePoint WaitLimit(const DispatchJob& aJob) const override;
  AdmissionVerdict OnWaitLimit(const DispatchJob& aJob,
                               TimePoint aNow) const override;
  bool UsesRoom() const override { return false; }
};

/** \brief Accepts a job if it is expected to end in time, or late but while the
 * answer is still of use to its caller. */
class ExpectedEndAdmission : public AdmissionStrategy
{
public:
  std::chrono::milliseconds OrderTime(
    const DispatchJob& aJob,
    const AdmissionInputs& aInputs) const override;
  AdmissionDecision Decide(const DispatchJob& aJob,
                           const AdmissionInputs& aInputs) const override;
  TimePoint WaitLimit(const DispatchJob& aJob) const override;
  AdmissionVerdict OnWaitLimit(const DispatchJob& aJob,
                               TimePoint aNow) const override;
  bool UsesRoom() const override { return true; }

  /** Returns the latest start with which a job ends in time even if its
   * declared run time is wrong. */
  static TimePoint LatestStartInTime(const DispatchJob& aJob);
  /** Returns the latest start with which a job ends while its answer is of
   * use. */
  static TimePoint LatestUsefulStart(const DispatchJob& aJob);
  /** Returns the latest time at which a job that has started may start further
   * tasks before those of others that can be in time. */
  static TimePoint LatestTimelyContinuation(const DispatchJob& aJob);
};

std::unique_ptr<AdmissionStrategy>
MakeAdmissionStrategy(AdmissionPolicy aPolicy);

}
