#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "Base/EventLog.h"
#include "Dispatch/Coordinator.h"
#include "Dispatch/LeaderTransport.h"
#include "Dispatch/SimulatedFleet.h"
#include "Support/ManualClock.h"

namespace almondspoke::testing {

/** \brief Log sink that keeps the text in memory. */
class TextSink : public LogSink
{
public:
  std::size_t Write(std::string_view aBytes) override
  {
    mText += aBytes;
    return aBytes.size();
  }

  std::string mText;
};

/** \brief Replicated state, simulated by a single copy in this process. */
class SimulatedGroup
{
public:
  explicit SimulatedGroup(SimulatedFleet& aFleet)
    : mFleet(aFleet)
  {
  }

  void Store(const dispatch::RecordBatch& aBatch,
             dispatch::RecordSink::Done aDone)
  {
    using std::chrono::milliseconds;
    // A batch with unknown outcome is applied late or not at all.
    const bool unknown =
      mUnknownOutcomeFraction > 0 && Chance(mUnknownOutcomeFraction);
    const bool lost = unknown && Chance(0.5);
    const milliseconds delay(unknown ? 300 : 12);
    mFleet.After(delay, [this, aBatch, lost] {
      if (!lost) {
        dispatch::ApplyBatch(mState, aBatch);
      }
    });
    mFleet.After(delay, [this, aBatch, unknown, done = std::move(aDone)] {
      done(!unknown && aBatch.mFence >= mState.mFence);
    });
  }

  bool Chance(double aProbability)
  {
    return std::uniform_real_distribution<double>(0, 1)(mFleet.Random()) <
           aProbability;
  }

  dispatch::DispatchState mState;
  /** Fraction of batches whose outcome is not reported to the leader. */
  double mUnknownOutcomeFraction = 0;

private:
  SimulatedFleet& mFleet;
};

/** \brief A leader with its simulated connections to workers and callers. */
class SimulatedLeader
  : public dispatch::ReplySink
  , public dispatch::RecordSink
{
public:
  SimulatedLeader(SimulatedFleet& aFleet,
                  SimulatedGroup& aGroup,
                  EventLog& aLog,
                  const dispatch::CoordinatorOptions& aOptions = {})
    : mTransport(aFleet)
    , mGroup(aGroup)
    , mCoordinator(aOptions, aFleet.Time(), mTransport, *this, *this, aLog)
  {
  }

  void Reply(dispatch::CallId aCall, const dispatch::JobReply& aReply) override
  {
    mReplies[aCall] = aReply;
  }
  void Store(const dispatch::RecordBatch& aBatch,
             dispatch::RecordSink::Done aDone) override
  {
    mGroup.Store(aBatch, std::move(aDone));
  }

  std::map<dispatch::CallId, dispatch::JobReply> mReplies;
  LeaderTransport mTransport;
  SimulatedGroup& mGroup;
  dispatch::Coordinator mCoordinator;
};

/** \brief Simulated workers and a sequence of leaders, in simulated time. */
class DispatchFixture
{
public:
  using Milliseconds = std::chrono::milliseconds;

  explicit DispatchFixture(std::uint64_t aSeed = 1)
    : mFleet(mClock, aSeed)
    , mLog(mClock, mSink)
    , mGroup(mFleet)
  {
    dispatch::Manifest manifest;
    manifest.mVersion = 1;
    manifest.mPools.push_back({ "pool", false, 64 });
    manifest.mQueues.push_back(
      { "urgent", "desk", "/urgent/", "pool", 0, 2, 1500, 1.6, 60 });
    manifest.mQueues.push_back(
      { "patient", "desk", "/patient/", "pool", 2, 2, 1500, 1.6, 60 });
    mManifest = std::make_shared<const dispatch::Manifest>(manifest);
  }

  /** Starts a new leader from the stored state. The previous leader is kept, so
   * that its delayed orders still arrive. */
  SimulatedLeader& StartLeader()
  {
    if (!mLeaders.empty()) {
      CurrentLeader().mTransport.mLeaseEnded = true;
    }
    mLeaders.push_back(
      std::make_unique<SimulatedLeader>(mFleet, mGroup, mLog, mOptions));
    ++mFence;
    dispatch::RecordBatch begin;
    begin.mFence = mFence;
    dispatch::ApplyBatch(mGroup.mState, begin);
    SimulatedLeader& leader = *mLeaders.back();
    leader.mCoordinator.SetManifest(mManifest);
    leader.mCoordinator.BeginLeading(mFence, mGroup.mState, mReports);
    return leader;
  }
  SimulatedLeader& CurrentLeader() { return *mLeaders.back(); }
  dispatch::Coordinator& CurrentCoordinator()
  {
    return CurrentLeader().mCoordinator;
  }

  /** Puts an edited copy of the manifest in force, of the next version. */
  template<typename Edit>
  void ChangeManifest(Edit aEdit)
  {
    dispatch::Manifest manifest = *mManifest;
    ++manifest.mVersion;
    aEdit(manifest);
    mManifest = std::make_shared<const dispatch::Manifest>(manifest);
    if (!mLeaders.empty()) {
      CurrentCoordinator().SetManifest(mManifest);
    }
  }

  /** Disconnects the first workers from the elected leader, like a network
   * partition around their data centre. */
  void Disconnect(int aWorkers)
  {
    for (int i = 0; i < aWorkers; ++i) {
      CurrentLeader().mTransport.mDisconnected.insert(
        mReports[static_cast<std::size_t>(i)].mBoot.mId);
    }
  }
  void Reconnect() { CurrentLeader().mTransport.mDisconnected.clear(); }

  /** Starts a local leader for the workers of a data centre. */
  SimulatedLeader& StartLocalLeader(const std::string& aDataCentre)
  {
    mLocalLeader = std::make_unique<SimulatedLeader>(mFleet, mGroup, mLog);
    mLocalLeader->mCoordinator.SetManifest(mManifest);
    mLocalLeader->mCoordinator.BeginLeading(
      mFence, mGroup.mState, mReports, { aDataCentre, 7 });
    return *mLocalLeader;
  }
  /** Stops the local leader; its orders in flight still arrive. */
  void StopLocalLeader()
  {
    mLocalLeader->mCoordinator.Resign();
    mLocalLeader->mTransport.mLeaseEnded = true;
    mFormerLocalLeaders.push_back(std::move(mLocalLeader));
  }
  /** Keeps the local leader leading beside the one that is started next. */
  void KeepLocalLeader()
  {
    mOtherLocalLeaders.push_back(std::move(mLocalLeader));
  }
  std::optional<dispatch::JobReply> LocalReplyTo(dispatch::CallId aCall)
  {
    const auto reply = mLocalLeader->mReplies.find(aCall);
    return reply == mLocalLeader->mReplies.end()
             ? std::nullopt
             : std::make_optional(reply->second);
  }
  /** Submits a job to the local leader. */
  dispatch::CallId SubmitLocally(dispatch::JobCall aCall,
                                 Milliseconds aDuration = Milliseconds(50))
  {
    const std::string id = aCall.mPath.substr(aCall.mPath.rfind('/') + 1);
    mFleet.DescribeJob(
      id,
      { aCall.mJob.mSteps.front().mNeeds, aDuration, !aCall.mJob.mBestEffort });
    aCall.mForLocalLeader = true;
    const dispatch::CallId call = ++mLastCallId;
    mLocalLeader->mCoordinator.Call(call, aCall);
    return call;
  }

  void AddWorkers(int aCount,
                  std::uint32_t aMilliCores,
                  const std::string& aDataCentre = "")
  {
    for (int i = 0; i < aCount; ++i) {
      const std::string id = "w" + std::to_string(mReports.size());
      mReports.push_back(mFleet.AddWorker(id, aMilliCores));
      mReports.back().mDataCentre = aDataCentre;
      if (!mLeaders.empty()) {
        CurrentCoordinator().OnReport(mReports.back());
      }
    }
  }

  /** Delivers the reports of all workers to the leader, as happens periodically
   * in production. */
  void ReportAll()
  {
    for (dispatch::WorkerReport& report : mReports) {
      ++report.mSequence;
      CurrentCoordinator().OnReport(report);
    }
  }

  void Run(Milliseconds aTime)
  {
    for (std::int64_t i = 0; i < aTime.count(); ++i) {
      mFleet.Step();
      if (++mElapsedMs % 10 == 0) {
        CurrentCoordinator().Tick();
        if (mLocalLeader) {
          mLocalLeader->mCoordinator.Tick();
        }
        for (const auto& leader : mOtherLocalLeaders) {
          leader->mCoordinator.Tick();
        }
      }
      if (mElapsedMs % 500 == 0) {
        ReportAll();
      }
    }
  }

  dispatch::JobCall CallOf(const std::string& aQueue,
                           const std::string& aId,
                           std::uint32_t aTasks,
                           std::uint32_t aMilliCores,
                           bool aStored)
  {
    dispatch::JobCall call;
    call.mKind = dispatch::JobCallKind::Submit;
    call.mHost = "desk";
    call.mPath = "/" + aQueue + "/" + aId;
    call.mWaitMs = 1500;
    call.mJob.mPayload = "payload";
    call.mJob.mBestEffort = !aStored;
    dispatch::StepSpec step;
    step.mCount = aTasks;
    step.mNeeds = { aMilliCores, 64, 0 };
    step.mEstimateMs = 50;
    call.mJob.mSteps.push_back(step);
    return call;
  }

  /** Submits a job and returns the id of the call. */
  dispatch::CallId Submit(const dispatch::JobCall& aCall,
                          Milliseconds aDuration = Milliseconds(50))
  {
    const std::string id = aCall.mPath.substr(aCall.mPath.rfind('/') + 1);
    mFleet.DescribeJob(
      id,
      { aCall.mJob.mSteps.front().mNeeds, aDuration, !aCall.mJob.mBestEffort });
    return Call(aCall);
  }

  dispatch::CallId Call(const dispatch::JobCall& aCall)
  {
    const dispatch::CallId id = ++mLastCallId;
    CurrentCoordinator().Call(id, aCall);
    return id;
  }

  std::optional<dispatch::JobReply> ReplyTo(dispatch::CallId aCall)
  {
    const auto reply = CurrentLeader().mReplies.find(aCall);
    if (reply == CurrentLeader().mReplies.end()) {
      return std::nullopt;
    }
    return reply->second;
  }

  std::string Log()
  {
    mLog.Flush();
    return mSink.mText;
  }

  /** Options of the leaders that are started from now on. */
  dispatch::CoordinatorOptions mOptions;
  ManualClock mClock;
  SimulatedFleet mFleet;
  TextSink mSink;
  EventLog mLog;
  SimulatedGroup mGroup;
  std::shared_ptr<const dispatch::Manifest> mManifest;
  std::vector<dispatch::WorkerReport> mReports;
  std::vector<std::unique_ptr<SimulatedLeader>> mLeaders;
  std::unique_ptr<SimulatedLeader> mLocalLeader;
  std::vector<std::unique_ptr<SimulatedLeader>> mOtherLocalLeaders;
  std::vector<std::unique_ptr<SimulatedLeader>> mFormerLocalLeaders;
  dispatch::Fence mFence = 1;
  dispatch::CallId mLastCallId = 0;
  std::uint64_t mElapsedMs = 0;
};

}
