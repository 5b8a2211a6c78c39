#pragma once

#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

#include <msgpack.hpp>

namespace almondspoke::dispatch {

/** Identifier of a job, chosen by its caller. */
using JobId = std::string;

/** \brief Resources of a worker, or resources required by a task. */
struct Resources
{
  std::uint32_t mMilliCores = 0;
  std::uint32_t mMemoryMegabytes = 0;
  std::uint32_t mAccelerators = 0;

  bool FitsInto(const Resources& aRoom) const
  {
    return mMilliCores <= aRoom.mMilliCores &&
           mMemoryMegabytes <= aRoom.mMemoryMegabytes &&
           mAccelerators <= aRoom.mAccelerators;
  }
  Resources& operator+=(const Resources& aOther)
  {
    mMilliCores += aOther.mMilliCores;
    mMemoryMegabytes += aOther.mMemoryMegabytes;
    mAccelerators += aOther.mAccelerators;
    return *this;
  }
  Resources& operator-=(const Resources& aOther)
  {
    mMilliCores -= aOther.mMilliCores;
    mMemoryMegabytes -= aOther.mMemoryMegabytes;
    mAccelerators -= aOther.mAccelerators;
    return *this;
  }
  MSGPACK_DEFINE(mMilliCores, mMemoryMegabytes, mAccelerators)
};

/** \brief A step of a job: identical tasks that may run in parallel. */
struct StepSpec
{
  std::uint32_t mCount = 0;
  /** Resources required by each task. */
  Resources mNeeds;
  /** The caller's rough estimate of the duration of a task. */
  std::uint32_t mEstimateMs = 0;
  /** Indexes of earlier steps that must be completed first. */
  std::vector<std::uint32_t> mDependsOn;
  /** Label that a worker must have; empty if any worker is suitable. */
  std::string mRequiredLabel;
  /** Rack close to the input data, on which the tasks run faster; empty for
   * none. */
  std::string mDataRack;
  /** Maximum number of tasks of the step on one worker; zero for no limit. */
  std::uint32_t mMaxPerWorker = 0;
  /** Gang scheduling: all tasks run at the same time and end together. */
  bool mGang = false;
  /** The tasks run faster if all of them are on the same rack. */
  bool mSameRack = false;

  MSGPACK_DEFINE(mCount,
                 mNeeds,
                 mEstimateMs,
                 mDependsOn,
                 mRequiredLabel,
                 mDataRack,
                 mMaxPerWorker,
                 mGang,
                 mSameRack)
};

/** \brief A job as submitted by its caller. */
struct JobSubmission
{
  JobId mId;
  /** Opaque data that is passed on to the workers. */
  std::string mPayload;
  std::vector<StepSpec> mSteps;
  /** True if the job is not stored and its caller is answered when it ends;
   * false if it is stored and answered on acceptance. */
  bool mBestEffort = false;
  /** Requested feature that this version does not support; empty if none. */
  std::string mUnsupportedFeature;

  MSGPACK_DEFINE(mId, mPayload, mSteps, mBestEffort, mUnsupportedFeature)
};

/** \brief Identifies a task of a job. */
struct TaskId
{
  JobId mJob;
  /** Index of the repetition of a recurring job; zero for a job that runs
   * once. */
  std::uint32_t mOccurrence = 0;
  std::uint32_t mStep = 0;
  std::uint32_t mIndex = 0;

  bool operator<(const TaskId& aOther) const
  {
    return std::tie(mJob, mOccurrence, mStep, mIndex) <
           std::tie(
             aOther.mJob, aOther.mOccurrence, aOther.mStep, aOther.mIndex);
  }
  bool operator==(const TaskId& aOther) const
  {
    return mIndex == aOther.mIndex && mStep == aOther.mStep &&
           mOccurrence == aOther.mOccurrence && mJob == aOther.mJob;
  }

  MSGPACK_DEFINE(mJob, mOccurrence, mStep, mIndex)
};

}
