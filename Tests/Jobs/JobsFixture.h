#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

#include "Base/Decision.h"
#include "FakeSubmissionGroup.h"
#include "FakeTaskSender.h"
#include "Jobs/HomeDataCentres.h"
#include "Jobs/JobController.h"
#include "Membership/InstanceView.h"
#include "Routing/SlotHolder.h"
#include "Support/ManualClock.h"
#include "Transport/PeerRpc.h"

namespace almondspoke::testing {

/** \brief An EndpointView with endpoints set by the test. */
class FakeEndpointView : public EndpointView
{
public:
  std::vector<Endpoint> EndpointsOf(const ServiceName& aService) const override
  {
    std::vector<Endpoint> found;
    for (const Endpoint& endpoint : mEndpoints) {
      if (endpoint.mAnnouncement.mService == aService) {
        found.push_back(endpoint);
      }
    }
    return found;
  }

  std::vector<Endpoint> AllEndpoints() const override { return mEndpoints; }

  void Observe(Observer aObserver) override
  {
    mObservers.push_back(std::move(aObserver));
  }

  void Add(const EndpointName& aName,
           const std::string& aRack,
           const Resources& aCapacity,
           std::uint32_t aSlots = 8)
  {
    Endpoint endpoint;
    endpoint.mAnnouncement.mName = aName;
    endpoint.mAnnouncement.mService = "preview";
    endpoint.mAnnouncement.mAddress = "127.0.0.1:1";
    endpoint.mAnnouncement.mSlots = aSlots;
    endpoint.mAnnouncement.mCores = aCapacity.mCores;
    endpoint.mAnnouncement.mMemoryBytes = aCapacity.mMemoryBytes;
    endpoint.mAnnouncement.mAccelerators = aCapacity.mAccelerators;
    endpoint.mAnnouncement.mRack = aRack;
    mEndpoints.push_back(endpoint);
    Notify();
  }

  void Notify()
  {
    for (const Observer& observer : mObservers) {
      observer(EndpointChange());
    }
  }

  std::vector<Endpoint> mEndpoints;

private:
  std::vector<Observer> mObservers;
};

/** \brief An InstanceView with members set by the test. */
class FakeInstanceView : public InstanceView
{
public:
  explicit FakeInstanceView(InstanceName aSelf)
  {
    mSelf.mName = std::move(aSelf);
  }

  InstanceIdentity Self() const override { return mSelf; }
  std::vector<InstanceStatus> Instances() const override { return {}; }
  std::vector<InstanceName> LiveInstances(
    const DataCentreName& /*aDataCentre*/) const override
  {
    return mLive;
  }

  InstanceIdentity mSelf;
  std::vector<InstanceName> mLive;
};

/** \brief A PeerRpc that calls the other instances of the test directly. */
class FakePeerRpc : public PeerRpc
{
public:
  using Network = std::map<InstanceName, FakePeerRpc*>;

  FakePeerRpc(InstanceName aSelf, Network& aNetwork)
    : mSelf(std::move(aSelf))
    , mNetwork(aNetwork)
  {
    mNetwork[mSelf] = this;
  }

  void Call(const InstanceName& aTo,
            const std::string& aMethod,
            std::string aRequest,
            std::chrono::milliseconds /*aTimeout*/,
            Done aDone) override
  {
    ++mCalls;
    const auto failure = mFailures.find(aTo);
    if (failure != mFailures.end()) {
      aDone(Error(failure->second, "network cut off"));
      return;
    }
    mNetwork.at(aTo)->mHandlers.at(aMethod)(mSelf, aRequest, std::move(aDone));
  }

  void Register(const std::string& aMethod, Handler aHandler) override
  {
    mHandlers[aMethod] = std::move(aHandler);
  }

  std::map<InstanceName, ErrorKind> mFailures;
  int mCalls = 0;

private:
  const InstanceName mSelf;
  Network& mNetwork;
  std::map<std::string, Handler> mHandlers;
};

/** \brief A DecisionSink that stores the decisions. */
class FakeDecisionSink : public DecisionSink
{
public:
  void Record(Decision aDecision) override
  {
    mDecisions.push_back(std::move(aDecision));
  }

  std::vector<Decision> mDecisions;
};

/** \brief The answer to a request, once it has arrived. */
struct PendingReply
{
  std::optional<JobAnswer> mAnswer;
  /** Number of answers; must never exceed 1. */
  int mAnswers = 0;

  nlohmann::json Body() const { return nlohmann::json::parse(mAnswer->mBody); }
  std::string State() const { return Body().at("state"); }
  std::string ErrorName() const { return Body().at("error").at("kind"); }
  std::string ErrorRan() const { return Body().at("error").at("ran"); }
};

using Reply = std::shared_ptr<PendingReply>;

/** \brief One instance with all components that take part in running jobs. */
struct JobInstance
{
  JobInstance(const InstanceName& aName,
              const HomeDataCentres& aHomes,
              FakeSubmissionGroup& aGroup,
              FakeEndpointView& aEndpoints,
              FakeTaskSender& aSender,
              const Clock& aClock,
              FakePeerRpc::Network& aNetwork,
              std::uint64_t aSeed)
    : mNextRandom(aSeed)
    , mLease(aName, aGroup, aClock, {}, [this] { return ++mNextRandom; })
    , mClaims({ { "zagreb", { &aGroup, &mLease } } },
              [this] { return ++mNextRandom; })
    , mInstances(aName)
    , mRpc(aName, aNetwork)
    , mSlots(aClock, mInstances.Self(), SlotHolder::Mode::Local)
    , mRunner({ aClock,
                mClaims,
                aSender,
                aEndpoints,
                mDecisions,
                mSlots,
                [](const JobRequest& aRequest) {
                  return aRequest.mUrgency == "first" ? 0 : 1;
                },
                [this] { return mInstanceCount; } },
              mSettings,
              aSeed)
    , mController(aClock, aHomes, mClaims, mRunner, mInstances, mRpc, mSettings)
  {
    mLease.Tick();
  }

  void Tick()
  {
    mLease.Tick();
    mClaims.Tick();
    mRunner.Tick();
    mController.Tick();
  }

  Reply Submit(const std::string& aKey,
               const std::string& aBody,
               std::chrono::milliseconds aWait = std::chrono::seconds(30))
  {
    Reply reply = std::make_shared<PendingReply>();
    mController.Submit(aKey, aBody, aWait, StoreIn(reply));
    return reply;
  }

  Reply Show(const std::string& aKey,
             std::chrono::milliseconds aWait = std::chrono::milliseconds(0))
  {
    Reply reply = std::make_shared<PendingReply>();
    mController.Show(aKey, aWait, StoreIn(reply));
    return reply;
  }

  Reply Cancel(const std::string& aKey)
  {
    Reply reply = std::make_shared<PendingReply>();
    mController.Cancel(aKey, StoreIn(reply));
    return reply;
  }

  static JobController::Done StoreIn(const Reply& aReply)
  {
    return [aReply](JobAnswer aAnswer) {
      aReply->mAnswer = std::move(aAnswer);
      ++aReply->mAnswers;
    };
  }

  std::uint64_t mNextRandom;
  JobSettings mSettings;
  ExecutorLease mLease;
  ClaimService mClaims;
  FakeInstanceView mInstances;
  FakePeerRpc mRpc;
  FakeDecisionSink mDecisions;
  SlotHolder mSlots;
  std::size_t mInstanceCount = 1;
  JobRunner mRunner;
  JobController mController;
};

/** \brief Two instances of one data centre that share two workers. */
struct JobsFixture
{
  JobsFixture()
  {
    mEndpoints.Add("w1", "r1", { 4, 1000, 0 });
    mEndpoints.Add("w2", "r2", { 4, 1000, 0 });
  }

  /** Advances the clock in steps of 50 ms and ticks the instances that are not
   * frozen. */
  void Run(std::chrono::milliseconds aTime)
  {
    constexpr std::chrono::milliseconds kStep{ 50 };
    for (std::chrono::milliseconds passed{ 0 }; passed < aTime;
         passed += kStep) {
      mClock.Advance(kStep);
      mGroup.mGranter.Tick();
      if (!mIsInstanceAFrozen) {
        mA.Tick();
      }
      mB.Tick();
    }
  }

  ManualClock mClock;
  const HomeDataCentres mHomes{ "zagreb", { "zagreb" } };
  FakeSubmissionGroup mGroup{ mClock };
  FakeEndpointView mEndpoints;
  FakeTaskSender mSender;
  FakePeerRpc::Network mNetwork;
  /** While set, Run() does not tick instance a. */
  bool mIsInstanceAFrozen = false;
  JobInstance mA{ "a",     mHomes, mGroup,   mEndpoints,
                  mSender, mClock, mNetwork, 1000 };
  JobInstance mB{ "b",     mHomes, mGroup,   mEndpoints,
                  mSender, mClock, mNetwork, 2000 };
};

/** Builds the body of a job with aTasks tasks.
 *
 * \param aMembers JSON members added to each task, starting with a comma
 * \param aJobMembers JSON members added to the job, starting with a comma */
inline std::string
JobBody(int aTasks,
        const std::string& aMembers = "",
        const std::string& aJobMembers = "")
{
  std::string body = R"({"service":"preview")" + aJobMembers + R"(,"tasks":[)";
  for (int task = 0; task < aTasks; ++task) {
    body += (task == 0 ? "" : ",");
    body += R"({"body":")" + std::to_string(task) + "\"" + aMembers + "}";
  }
  return body + "]}";
}

}
