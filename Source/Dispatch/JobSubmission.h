#pragma once

#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

#include <msgpack.hpp>

namespace almondspoke::dispatch {

/** Name of a job, chosen by its caller. */
using JobId = std::string;

/** \brief Room on a worker. */
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

/** \brief Some equal tasks of a job that may run side by side. */
struct StepSpec
{
  std::uint32_t mCount = 0;
  /** What each task needs. */
  Resources mNeeds;
  /** The caller's rough estimate of a task's duration. */
  std::uint32_t mEstimateMs = 0;
  /** Earlier steps, counted from 0, that must be done first. */
  std::vector<std::uint32_t> mAfter;
  /** A label that the worker must have; empty for none. */
  std::string mRequiredLabel;
  /** Rack on which the tasks run faster; empty for none. */
  std::string mDataRack;
  /** Tasks of the step on one worker at most; zero for no limit. */
  std::uint32_t mMaxPerWorker = 0;
  /** All tasks run at the same time and end together. */
  bool mGang = false;
  /** The tasks run faster if all are on one rack. */
  bool mSameRack = false;

  MSGPACK_DEFINE(mCount,
                 mNeeds,
                 mEstimateMs,
                 mAfter,
                 mRequiredLabel,
                 mDataRack,
                 mMaxPerWorker,
                 mGang,
                 mSameRack)
};

/** \brief What a caller hands in. */
struct JobSubmission
{
  JobId mId;
  /** Passed on to the workers unread. */
  std::string mPayload;
  std::vector<StepSpec> mSteps;
  /** The job is answered when it has ended, and need not be stored. */
  bool mBestEffort = false;
  /** What the job asks for that this version does not do; empty if nothing. */
  std::string mUnserved;

  MSGPACK_DEFINE(mId, mPayload, mSteps, mBestEffort, mUnserved)
};

/** \brief Name of one task of a job. */
struct TaskId
{
  JobId mJob;
  /** Which of a repeated job's runs in time; zero for a job that runs once. */
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
};

}
