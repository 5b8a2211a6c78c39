#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "Jobs/Resources.h"
#include "Jobs/SubmissionMessages.h"
#include "Membership/Endpoint.h"

namespace almondspoke {

/** \brief One attempt to run a task at a worker. */
struct TaskAttempt
{
  /** `key#index`. The same for every attempt, so that a task that was started
   * twice is visible in the records of the workers. Must be escaped in a URL.
   */
  std::string mAttemptId;
  EndpointName mWorker;
  /** IP address and port of the worker. */
  std::string mAddress;
  ServiceName mService;
  std::string mLeaseId;
  /** Remaining time of the executor lease when the task is sent. A duration
   * rather than a time, since the clocks of worker and instance differ. The
   * worker refuses to start the task after this time on its own clock. */
  std::chrono::milliseconds mLeaseRemaining{ 0 };
  ExecutorEpoch mEpoch = 0;
  /** Time limit for the answer. */
  std::chrono::milliseconds mTimeout{ 0 };
  std::string mBody;
};

/** \brief How an attempt ended. */
struct TaskOutcome
{
  enum class Kind
  {
    /** The worker answered with mStatus and mBody. */
    Answered,
    /** The worker answered 503 with `Almondspoke-Not-Run: true`; the task did
     * not run. */
    RefusedNotRun,
    /** This instance sent no byte of the task. */
    NotSent,
    /** Any other end; the worker may have started the task. */
    MayHaveRun
  };

  Kind mKind = Kind::MayHaveRun;
  int mStatus = 0;
  std::string mBody;
  /** Time from the send to the answer. */
  std::chrono::milliseconds mRunTime{ 0 };
  /** Resources that the task used, if the worker reports them. */
  std::optional<Resources> mUsed;
};

/** \brief Sends tasks to workers over HTTP; thread-safe. */
class TaskSender
{
public:
  using Done = std::function<void(TaskOutcome)>;

  virtual ~TaskSender() = default;

  /** Sends a task once, without retries. Calls aDone exactly once, on any
   * thread, possibly before Start() returns or after Stop(). */
  virtual void Start(TaskAttempt aAttempt, Done aDone) = 0;

  /** Asks the worker to stop a task. Has no effect on a task that is not
   * running. An attempt that has not been sent yet ends with NotSent. */
  virtual void Stop(const EndpointName& aWorker,
                    const std::string& aAttemptId) = 0;

  /** Asks the worker to save the state of a running task. */
  virtual void Checkpoint(const EndpointName& aWorker,
                          const std::string& aAttemptId) = 0;

  /** Asks the worker to slow a running task down. */
  virtual void Throttle(const EndpointName& aWorker,
                        const std::string& aAttemptId) = 0;
};

}
