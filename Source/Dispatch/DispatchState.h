#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <msgpack.hpp>

#include "Dispatch/JobMessages.h"
#include "Dispatch/Manifest.h"
#include "Dispatch/WorkerCalls.h"
#include "Dispatch/WorkerReport.h"

namespace almondspoke::dispatch {

/** \brief One task of a stored job. */
struct StoredTask
{
  bool mDone = false;
  std::uint32_t mFailures = 0;
  /** Highest run whose end has been stored. */
  RunNumber mLastEndedRun = 0;
  std::string mCheckpoint;

  MSGPACK_DEFINE(mDone, mFailures, mLastEndedRun, mCheckpoint)
};

/** \brief One job that was accepted and must be carried out, whatever becomes
 * of the instances. */
struct StoredJob
{
  JobSubmission mSubmission;
  /** The queue as it was when the job was accepted. */
  Queue mQueue;
  /** Milliseconds since 1970. */
  std::int64_t mAcceptedMs = 0;
  std::int64_t mEndedMs = 0;
  JobState mState = JobState::Queued;
  /** By step and index. */
  std::vector<std::vector<StoredTask>> mTasks;

  MSGPACK_DEFINE(mSubmission, mQueue, mAcceptedMs, mEndedMs, mState, mTasks)
};

/** \brief What the instances that can lead agree on. */
struct DispatchState
{
  /** Highest fence of a leader that has begun; records of earlier ones have no
   * effect any more. */
  Fence mFence = 0;
  /** The manifest in force, or null before the first. */
  std::shared_ptr<const Manifest> mManifest;
  /** Workers on which a leader may have started something. */
  std::map<WorkerId, WorkerReport> mWorkers;
  std::map<JobId, StoredJob> mJobs;
};

/** \brief End of one run of a stored job's task. */
struct EndRecord
{
  JobId mJob;
  std::uint32_t mStep = 0;
  std::uint32_t mIndex = 0;
  RunNumber mRun = 0;
  /** True for `done`, false for `failed`. */
  bool mDone = false;
  std::string mCheckpoint;

  MSGPACK_DEFINE(mJob, mStep, mIndex, mRun, mDone, mCheckpoint)
};

/** \brief A job that is accepted. */
struct AcceptRecord
{
  JobSubmission mSubmission;
  Queue mQueue;

  MSGPACK_DEFINE(mSubmission, mQueue)
};

/** \brief Changes that a leader stores together. */
struct RecordBatch
{
  Fence mFence = 0;
  /** Time of the leader, milliseconds since 1970. */
  std::int64_t mTimeMs = 0;
  std::vector<WorkerReport> mRegistered;
  std::vector<WorkerBoot> mRemovedWorkers;
  std::vector<AcceptRecord> mAccepted;
  std::vector<EndRecord> mEnds;
  std::vector<JobId> mCancelled;
  std::vector<JobId> mRemovedJobs;

  bool IsEmpty() const
  {
    return mRegistered.empty() && mRemovedWorkers.empty() &&
           mAccepted.empty() && mEnds.empty() && mCancelled.empty() &&
           mRemovedJobs.empty();
  }

  MSGPACK_DEFINE(mFence,
                 mTimeMs,
                 mRegistered,
                 mRemovedWorkers,
                 mAccepted,
                 mEnds,
                 mCancelled,
                 mRemovedJobs)
};

/** \name Changes of the state, the same on every replica. */
/**@{*/
/** False, and no change, for a batch of a leader that has been followed by
 * another. */
bool
ApplyBatch(DispatchState& aState, const RecordBatch& aBatch);

std::string
PackState(const DispatchState& aState);
/** MalformedRequest if the bytes are no state. */
Result<DispatchState>
UnpackState(std::string_view aBytes);
/**@}*/

}
