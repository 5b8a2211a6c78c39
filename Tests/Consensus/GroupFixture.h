#pragma once

#include <chrono>
#include <functional>
#include <future>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "Base/Clock.h"
#include "Consensus/ConsensusChannel.h"
#include "Consensus/ConsensusGroup.h"
#include "Support/FakePeerNetwork.h"
#include "Support/LineMachine.h"
#include "Support/MemoryJournalStorage.h"

namespace almondspoke::testing {

/** Longest wait for a condition. */
constexpr std::chrono::seconds kEventuallyTimeout{ 60 };

/** Waits until a condition holds; returns false after kEventuallyTimeout. */
inline bool
Eventually(const std::function<bool()>& aCondition)
{
  const auto deadline = std::chrono::steady_clock::now() + kEventuallyTimeout;
  while (!aCondition()) {
    if (std::chrono::steady_clock::now() > deadline) {
      return false;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  return true;
}

/** \brief One replica with its transport, clock and state machine. */
struct GroupReplica
{
  GroupReplica(FakePeerNetwork& aNetwork,
               ConsensusGroupOptions aOptions,
               MemoryJournalStorage* aStorage)
    : mTransport(aNetwork.Of(aOptions.mSelf))
    , mChannel(mTransport)
    , mGroup(std::move(aOptions), mChannel, mMachine, mClock, aStorage)
  {
  }

  ~GroupReplica()
  {
    mTransport.Unsubscribe();
    mGroup.Stop();
  }

  SystemClock mClock;
  FakePeerNetwork::Transport& mTransport;
  ConsensusChannel mChannel;
  LineMachine mMachine;
  ConsensusGroup mGroup;
};

/** \brief A group of replicas in this process over a fake network. */
class GroupFixture
{
public:
  explicit GroupFixture(std::vector<InstanceName> aVoters)
    : mVoters(std::move(aVoters))
  {
  }

  /** Starts a replica. Its disk keeps the contents from earlier runs. */
  void Start(const InstanceName& aName)
  {
    ConsensusGroupOptions options = OptionsOf(aName);
    auto replica = std::make_unique<GroupReplica>(
      mNetwork, std::move(options), &mDisks[aName]);
    mStarted = replica->mGroup.Start();
    mReplicas[aName] = std::move(replica);
  }

  void StartDiskless(const InstanceName& aName)
  {
    auto replica =
      std::make_unique<GroupReplica>(mNetwork, OptionsOf(aName), nullptr);
    mStarted = replica->mGroup.Start();
    mReplicas[aName] = std::move(replica);
  }

  void StartAll()
  {
    for (const InstanceName& name : mVoters) {
      Start(name);
    }
  }

  void Stop(const InstanceName& aName) { mReplicas.erase(aName); }

  ConsensusGroup& Group(const InstanceName& aName)
  {
    return mReplicas.at(aName)->mGroup;
  }
  LineMachine& Machine(const InstanceName& aName)
  {
    return mReplicas.at(aName)->mMachine;
  }
  MemoryJournalStorage& Disk(const InstanceName& aName)
  {
    return mDisks[aName];
  }

  /** Waits for a replica to hold the leader lease and returns its name. */
  InstanceName AwaitLeader()
  {
    InstanceName leader;
    Eventually([&] {
      for (const auto& [name, replica] : mReplicas) {
        if (replica->mGroup.IsLeader()) {
          leader = name;
          return true;
        }
      }
      return false;
    });
    return leader;
  }

  /** Proposes a command at one replica and waits for the result. */
  Result<std::string> Propose(const InstanceName& aName,
                              const std::string& aCommand)
  {
    auto outcome = std::make_shared<std::promise<Result<std::string>>>();
    auto future = outcome->get_future();
    Group(aName).Propose(aCommand, [outcome](Result<std::string> aResult) {
      outcome->set_value(std::move(aResult));
    });
    return future.get();
  }

  Result<void> Barrier(const InstanceName& aName)
  {
    auto outcome = std::make_shared<std::promise<Result<void>>>();
    auto future = outcome->get_future();
    Group(aName).Barrier([outcome](Result<void> aResult) {
      outcome->set_value(std::move(aResult));
    });
    return future.get();
  }

  ConsensusGroupOptions OptionsOf(const InstanceName& aName) const
  {
    ConsensusGroupOptions options = mOptions;
    options.mSelf = aName;
    options.mGroup = 1;
    options.mInitialVoters = mVoters;
    return options;
  }

  ConsensusGroupOptions mOptions;
  FakePeerNetwork mNetwork;
  Result<void> mStarted = Success();
  std::vector<InstanceName> mVoters;
  std::map<InstanceName, MemoryJournalStorage> mDisks;
  std::map<InstanceName, std::unique_ptr<GroupReplica>> mReplicas;
};

}
