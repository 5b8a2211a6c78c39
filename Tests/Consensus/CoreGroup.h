#pragma once

#include <chrono>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "Consensus/ConsensusCore.h"
#include "Consensus/Journal.h"
#include "Support/MemoryJournalStorage.h"

namespace almondspoke::testing {

/** \brief Simulates one group of ConsensusCore objects with in-memory disks,
 * immediate message delivery and simulated time. */
class CoreGroup
{
public:
  using TimePoint = ConsensusCore::TimePoint;

  struct Replica
  {
    MemoryJournalStorage mStorage;
    bool mDurable = true;
    /** Whether writes never complete. */
    bool mWritesStalled = false;
    std::unique_ptr<Journal> mJournal;
    std::unique_ptr<ConsensusCore> mCore;
    std::vector<std::string> mApplied;
    std::map<std::uint64_t, bool> mReads;
  };

  explicit CoreGroup(std::vector<InstanceName> aVoters,
                     ConsensusLimits aLimits = {})
    : mVoters(std::move(aVoters))
    , mLimits(aLimits)
  {
    for (const InstanceName& voter : mVoters) {
      Start(voter);
    }
  }

  void Start(const InstanceName& aName, bool aDurable = true)
  {
    Replica& replica = mReplicas[aName];
    replica.mDurable = aDurable;
    replica.mApplied.clear();
    StoredState stored;
    stored.mIdentity.mIncarnation = ++mIncarnations;
    if (aDurable) {
      replica.mJournal = std::make_unique<Journal>(replica.mStorage);
      stored = replica.mJournal->Open(mIncarnations).value();
    }
    replica.mCore = std::make_unique<ConsensusCore>(
      OptionsOf(aName), std::move(stored), mNow);
    Collect(aName);
  }

  void Stop(const InstanceName& aName)
  {
    Replica& replica = mReplicas[aName];
    replica.mCore.reset();
    replica.mJournal.reset();
    replica.mStorage.Crash(mRandom);
  }

  /** Lets a replica whose storage has failed use it again, as the driver of a
   * core does; returns false if the storage still fails. */
  bool Reopen(const InstanceName& aName)
  {
    Replica& replica = mReplicas[aName];
    Result<StoredState> opened = replica.mJournal->Open(++mIncarnations);
    if (!opened && opened.error().Kind() == ErrorKind::StorageCorrupt) {
      opened = replica.mJournal->Discard(mIncarnations);
    }
    if (!opened) {
      return false;
    }
    CoreOptions options = OptionsOf(aName);
    options.mAppliedIndex = replica.mApplied.size();
    replica.mCore =
      std::make_unique<ConsensusCore>(options, opened.value(), mNow);
    Collect(aName);
    return true;
  }

  ConsensusCore& Core(const InstanceName& aName)
  {
    return *mReplicas.at(aName).mCore;
  }
  Replica& At(const InstanceName& aName) { return mReplicas.at(aName); }
  CoreStatus Status(const InstanceName& aName)
  {
    return Core(aName).Status(mNow);
  }

  /** Requests a voter change that is based on the leader's committed
   * membership. */
  Result<std::uint64_t> AddVoter(const InstanceName& aLeader,
                                 const InstanceName& aName)
  {
    return ChangeVoters(aLeader, aName, false);
  }
  Result<std::uint64_t> RemoveVoter(const InstanceName& aLeader,
                                    const InstanceName& aName)
  {
    return ChangeVoters(aLeader, aName, true);
  }

  void Isolate(const InstanceName& aName) { mIsolated.insert(aName); }
  void CutLink(const InstanceName& aFrom, const InstanceName& aTo)
  {
    mCuts.emplace(aFrom, aTo);
  }
  void HealNetwork()
  {
    mIsolated.clear();
    mCuts.clear();
  }

  void Advance(std::chrono::milliseconds aTime,
               std::chrono::milliseconds aStep = std::chrono::milliseconds(25))
  {
    const TimePoint end = mNow + aTime;
    while (mNow < end) {
      mNow += aStep;
      for (auto& [name, replica] : mReplicas) {
        if (replica.mCore) {
          replica.mCore->Tick(mNow);
          Collect(name);
        }
      }
      Deliver();
    }
  }

  /** Advances until the condition holds; returns false after five minutes of
   * simulated time. */
  bool AdvanceUntil(const std::function<bool()>& aCondition)
  {
    const TimePoint end = mNow + std::chrono::minutes(5);
    while (!aCondition()) {
      if (mNow > end) {
        return false;
      }
      Advance(std::chrono::milliseconds(25));
    }
    return true;
  }

  /** Name of the replica that holds the leader lease, or empty. */
  InstanceName Leader()
  {
    for (auto& [name, replica] : mReplicas) {
      if (replica.mCore && replica.mCore->Status(mNow).mLeaseHeld) {
        return name;
      }
    }
    return {};
  }

  InstanceName AwaitLeader()
  {
    AdvanceUntil([&] { return !Leader().empty(); });
    return Leader();
  }

  /** Proposes a command and delivers the resulting messages; returns whether
   * the command was appended. */
  bool Propose(const InstanceName& aName, const std::string& aCommand)
  {
    const bool appended = Core(aName).Propose(mNow, aCommand).has_value();
    Collect(aName);
    Deliver();
    return appended;
  }

  void Read(const InstanceName& aName, std::uint64_t aId)
  {
    Core(aName).RequestRead(mNow, aId);
    Collect(aName);
    Deliver();
  }

  /** Whether a replica is a voter with its current incarnation, according to
   * the committed membership at aObserver. */
  bool IsVoter(const InstanceName& aName, const InstanceName& aObserver)
  {
    return Status(aObserver).mConfiguration.IsVoter(Status(aName).mSelf);
  }

  void Collect(const InstanceName& aName)
  {
    Replica& replica = mReplicas.at(aName);
    for (bool again = true; again;) {
      CoreEffects effects = replica.mCore->TakeEffects(mNow);
      again = !effects.mWrites.empty() || effects.mTakeSnapshot;
      if (effects.mResetStateMachine) {
        replica.mApplied.clear();
      }
      for (OutgoingMessage& outgoing : effects.mMessages) {
        mMessages.push_back({ aName, std::move(outgoing) });
      }
      if (effects.mSnapshotToRestore) {
        Restore(replica, *effects.mSnapshotToRestore);
      }
      for (const LogEntry& entry : effects.mCommitted) {
        replica.mApplied.push_back(
          entry.mKind == EntryKind::Command ? entry.mPayload : "-");
      }
      for (const ReadOutcome& read : effects.mReads) {
        replica.mReads[read.mId] = read.mConfirmed;
      }
      if (effects.mTakeSnapshot) {
        replica.mCore->SnapshotTaken(replica.mApplied.size(),
                                     TakeSnapshot(replica));
      }
      Write(replica, effects.mWrites);
    }
  }

  void Deliver()
  {
    while (!mMessages.empty()) {
      const InstanceName from = mMessages.front().first;
      OutgoingMessage outgoing = std::move(mMessages.front().second);
      mMessages.pop_front();
      const auto to = mReplicas.find(outgoing.mTo);
      const bool cut = mIsolated.count(from) != 0 ||
                       mIsolated.count(outgoing.mTo) != 0 ||
                       mCuts.count({ from, outgoing.mTo }) != 0;
      if (cut || to == mReplicas.end() || !to->second.mCore) {
        continue;
      }
      if (mDropMessage && mDropMessage(outgoing)) {
        continue;
      }
      to->second.mCore->Receive(mNow, from, std::move(outgoing.mMessage));
      Collect(to->first);
    }
  }

  /** Options of replicas that are started later. */
  std::size_t mTargetVoterCount = 0;
  bool mMayBootstrap = true;
  ConsensusTimings mTimings;
  /** If set, messages for which it returns true are lost. */
  std::function<bool(const OutgoingMessage&)> mDropMessage;
  TimePoint mNow{ std::chrono::hours(1) };

private:
  CoreOptions OptionsOf(const InstanceName& aName)
  {
    CoreOptions options;
    options.mSelf = aName;
    options.mInitialVoters = mVoters;
    options.mDurable = mReplicas.at(aName).mDurable;
    options.mLimits = mLimits;
    options.mTargetVoterCount = mTargetVoterCount;
    options.mMayBootstrap = mMayBootstrap;
    options.mTimings = mTimings;
    options.mSeed = ++mIncarnations;
    return options;
  }

  Result<std::uint64_t> ChangeVoters(const InstanceName& aLeader,
                                     const InstanceName& aName,
                                     bool aRemove)
  {
    VoterChange change;
    change.mRequestId = "change-" + std::to_string(++mVoterChanges);
    change.mName = aName;
    change.mIsRemoval = aRemove;
    change.mBaseVersion = Status(aLeader).mConfiguration.mVersion;
    return Core(aLeader).ChangeVoters(mNow, change);
  }

  static std::string TakeSnapshot(const Replica& aReplica)
  {
    std::string state;
    for (const std::string& line : aReplica.mApplied) {
      state += line + "\n";
    }
    return state;
  }

  static void Restore(Replica& aReplica, const Snapshot& aSnapshot)
  {
    aReplica.mApplied.clear();
    std::string line;
    for (const char character : *aSnapshot.mData) {
      if (character == '\n') {
        aReplica.mApplied.push_back(std::move(line));
        line.clear();
        continue;
      }
      line += character;
    }
  }

  void Write(Replica& aReplica, const std::vector<JournalWrite>& aWrites)
  {
    if (aWrites.empty() || aReplica.mWritesStalled) {
      return;
    }
    if (aReplica.mDurable && !aReplica.mJournal->Write(aWrites)) {
      aReplica.mCore->DiskFailed(mNow);
      return;
    }
    aReplica.mCore->DiskCompleted(mNow, aWrites.back().mSequence);
  }

  std::vector<InstanceName> mVoters;
  ConsensusLimits mLimits;
  std::map<InstanceName, Replica> mReplicas;
  std::deque<std::pair<InstanceName, OutgoingMessage>> mMessages;
  std::set<InstanceName> mIsolated;
  std::set<std::pair<InstanceName, InstanceName>> mCuts;
  std::uint64_t mIncarnations = 0;
  std::mt19937_64 mRandom{ 1 };
  std::uint64_t mVoterChanges = 0;
};

/** Returns a replica of the group a, b, c other than aName. */
inline InstanceName
OtherThan(const InstanceName& aName)
{
  return aName == "a" ? "b" : "a";
}

/** Returns the replica of the group a, b, c besides the two. */
inline InstanceName
ThirdOf(const InstanceName& aFirst, const InstanceName& aSecond)
{
  for (const char* name : { "a", "b", "c" }) {
    if (name != aFirst && name != aSecond) {
      return name;
    }
  }
  return {};
}

}
