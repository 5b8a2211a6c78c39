#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <msgpack.hpp>

#include "Dispatch/Evacuations.h"
#include "Dispatch/FailedRuns.h"
#include "Dispatch/JobMessages.h"
#include "Dispatch/Manifest.h"
#include "Dispatch/WorkerCalls.h"
#include "Dispatch/WorkerReport.h"

namespace almondspoke::dispatch {

struct StoredTask
{
  bool mDone = false;
  std::uint32_t mFailures = 0;
  /** Highest run number whose end has been stored. */
  RunNumber mLastEndedRun = 0;
  std::string mCheckpoint;
  /** The runs behind mFailures. Earlier versions stored only their number. */
  FailedRuns mFailedRuns;

  /** Returns the number up to which failed runs count as counted, since an
   * earlier version has counted some of them; zero if all of them are known. */
  RunNumber CountedUpTo() const
  {
    return mFailures > mFailedRuns.Count() ? mLastEndedRun : 0;
  }

  MSGPACK_DEFINE(mDone, mFailures, mLastEndedRun, mCheckpoint, mFailedRuns)
};

/** \brief An accepted job that must be carried out even if instances fail. */
struct StoredJob
{
  JobSubmission mSubmission;
  /** The queue's settings at the time at which the job was accepted. */
  Queue mQueue;
  /** Milliseconds since the Unix epoch. */
  std::int64_t mAcceptedMs = 0;
  std::int64_t mEndedMs = 0;
  JobState mState = JobState::Queued;
  /** Indexed by step, then by task. */
  std::vector<std::vector<StoredTask>> mTasks;

  MSGPACK_DEFINE(mSubmission, mQueue, mAcceptedMs, mEndedMs, mState, mTasks)
};

/** \brief State replicated between the instances that can become leader. */
struct DispatchState
{
  /** Highest fence of any leader. Batches with a lower fence have no effect. */
  Fence mFence = 0;
  /** The current manifest, or null if there is none. */
  std::shared_ptr<const Manifest> mManifest;
  /** Workers that may have runs started by a leader. */
  std::map<WorkerId, WorkerReport> mWorkers;
  std::map<JobId, StoredJob> mJobs;
  Evacuations mEvacuations;
  /** Best-effort jobs that were cancelled, with the time in milliseconds since
   * the Unix epoch. A repeated submission must not start them again. */
  std::map<JobId, std::int64_t> mCancelledBestEffort;
};

/** \brief End of a run of a stored job. */
struct EndRecord
{
  JobId mJob;
  std::uint32_t mStep = 0;
  std::uint32_t mIndex = 0;
  RunNumber mRun = 0;
  /** True if the run succeeded, false if it failed. */
  bool mDone = false;
  std::string mCheckpoint;

  MSGPACK_DEFINE(mJob, mStep, mIndex, mRun, mDone, mCheckpoint)
};

struct AcceptRecord
{
  JobSubmission mSubmission;
  Queue mQueue;

  MSGPACK_DEFINE(mSubmission, mQueue)
};

/** \brief Changes that a leader stores atomically. */
struct RecordBatch
{
  Fence mFence = 0;
  /** Leader's time in milliseconds since the Unix epoch. */
  std::int64_t mTimeMs = 0;
  std::vector<WorkerReport> mRegistered;
  std::vector<WorkerBoot> mRemovedWorkers;
  std::vector<AcceptRecord> mAccepted;
  std::vector<EndRecord> mEnds;
  std::vector<JobId> mCancelled;
  /** Jobs that are removed, stored ones and cancelled best-effort ones. */
  std::vector<JobId> mRemovedJobs;
  std::vector<JobId> mCancelledBestEffort;

  bool IsEmpty() const
  {
    return mRegistered.empty() && mRemovedWorkers.empty() &&
           mAccepted.empty() && mEnds.empty() && mCancelled.empty() &&
           mRemovedJobs.empty() && mCancelledBestEffort.empty();
  }

  MSGPACK_DEFINE(mFence,
                 mTimeMs,
                 mRegistered,
                 mRemovedWorkers,
                 mAccepted,
                 mEnds,
                 mCancelled,
                 mRemovedJobs,
                 mCancelledBestEffort)
};

/** \name Deterministic operations on the state, equal on every replica. */
/**@{*/
/** Returns false and changes nothing if a later leader has already taken
 * over. */
bool
ApplyBatch(DispatchState& aState, const RecordBatch& aBatch);

std::string
PackState(const DispatchState& aState);
/** Returns MalformedRequest if the bytes are not a valid snapshot. */
Result<DispatchState>
UnpackState(std::string_view aBytes);
/**@}*/

}
