#pragma once

#include <atomic>
#include <chrono>
#include <cstddef>
#include <mutex>
#include <string>
#include <vector>

#include "Jobs/JobRunner.h"

namespace almondspoke {

class HomeDataCentres;
class InstanceView;
class PeerRpc;

/** \brief Handles submission, lookup and cancellation of jobs at one instance.
 *
 * A job is executed by the instance that claimed its key, its executor. For a
 * job of another executor, the controller polls the submission group for the
 * job's state and forwards a cancellation to the executor. Thread-safe. Must be
 * constructed before the transport starts, since it registers an RPC method. */
class JobController
{
public:
  using Done = JobRunner::Done;

  JobController(const Clock& aClock,
                const HomeDataCentres& aHomes,
                ClaimService& aClaims,
                JobRunner& aRunner,
                const InstanceView& aInstances,
                PeerRpc& aRpc,
                const JobSettings& aSettings);

  /** Submits a job.
   *
   * \param aWait longest time to wait for the job to end; after it, the answer
   *   is the job's state */
  void Submit(const std::string& aKey,
              const std::string& aBody,
              std::chrono::milliseconds aWait,
              Done aDone);

  /** Looks up a job. Replies with its answer if it ends within aWait, otherwise
   * with its state. */
  void Show(const std::string& aKey,
            std::chrono::milliseconds aWait,
            Done aDone);

  /** Cancels a job and replies with its final answer. A job that has already
   * ended keeps its answer. */
  void Cancel(const std::string& aKey, Done aDone);

  /** Replies with this data centre's home and the prefix for new keys. */
  void Home(Done aDone);

  /** Makes Submit() refuse new jobs. Jobs already known are finished, and their
   * callers answered. */
  void StartDraining();

  /** True if no job is in progress and no caller waits for an answer. */
  bool IsIdle() const;

  /** Polls the state of jobs that other instances execute. To be called every
   * 10 to 100 ms. */
  void Tick();

private:
  /** \brief A caller that waits for a job of another executor. */
  struct Follower
  {
    SubmissionKey mKey;
    Clock::Monotonic mDeadline;
    Clock::Monotonic mNextPoll;
    Done mDone;
  };

  /** Refuses a submission with aRefusal, unless its key is already known: then
   * replies with the state of the existing job. */
  void RefuseIfNew(const SubmissionKey& aKey,
                   std::uint64_t aBodyHash,
                   const Error& aRefusal,
                   std::chrono::milliseconds aWait,
                   Done aDone);
  /** Replies with the state of a claim; waits for the job until aDeadline if it
   * is in progress. */
  void AnswerWithStatus(const SubmissionKey& aKey,
                        const Result<ClaimStatus>& aStatus,
                        Clock::Monotonic aDeadline,
                        Done aDone);
  void Follow(const SubmissionKey& aKey,
              Clock::Monotonic aDeadline,
              Done aDone);
  void Poll(const Follower& aFollower);
  void CancelAtExecutor(const InstanceName& aExecutor,
                        const SubmissionKey& aKey,
                        Done aDone);
  void HandleCancelCall(const std::string& aKey,
                        const std::function<void(Result<std::string>)>& aDone);
  detail::JobWaiter MakeWaiter(std::chrono::milliseconds aWait,
                               Done aDone) const;

  const Clock& mClock;
  const HomeDataCentres& mHomes;
  ClaimService& mClaims;
  JobRunner& mRunner;
  const InstanceView& mInstances;
  PeerRpc& mRpc;
  const JobSettings mSettings;
  std::atomic<bool> mDraining{ false };
  std::atomic<std::size_t> mCallsInProgress{ 0 };
  mutable std::mutex mMutex;
  std::vector<Follower> mFollowers;
};

}
