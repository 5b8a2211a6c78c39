#pragma once

#include <chrono>
#include <cstdint>
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

/** \brief Simulates one group under random faults and checks Raft's safety
 * properties after each step.
 *
 * The run is determined by the seed. Errors() is empty if no check failed. */
class FaultSimulation
{
public:
  explicit FaultSimulation(std::uint64_t aSeed);

  /** Runs a phase with faults, then repairs all faults and continues until the
   * group has recovered. */
  void Run();

  const std::vector<std::string>& Errors() const { return mErrors; }

  /** Counts of events, to show that the faults were exercised. */
  struct Counts
  {
    std::uint64_t mAcknowledged = 0;
    std::uint64_t mLeaders = 0;
    std::uint64_t mCrashes = 0;
    std::uint64_t mDisksLost = 0;
    std::uint64_t mDisksRolledBack = 0;
    std::uint64_t mLossesAfterReadmission = 0;
    std::uint64_t mDiskFailures = 0;
    std::uint64_t mReopened = 0;
    std::uint64_t mReadmissions = 0;
    std::uint64_t mReads = 0;
    std::uint64_t mSnapshotsInstalled = 0;
    std::uint64_t mUnrecovered = 0;
  };
  const Counts& EventCounts() const { return mCounts; }

private:
  using TimePoint = ConsensusCore::TimePoint;

  struct Command
  {
    Term mTerm;
    std::string mPayload;
  };
  struct Node
  {
    InstanceName mName;
    bool mDurable = true;
    MemoryJournalStorage mStorage;
    std::unique_ptr<Journal> mJournal;
    std::unique_ptr<ConsensusCore> mCore;
    std::vector<JournalWrite> mWrites;
    /** Applied payloads by index, from 1. */
    std::vector<std::string> mApplied;
    std::map<LogIndex, Command> mProposed;
    std::map<std::uint64_t, LogIndex> mMinimumReadIndexes;
    TimePoint mDownUntil{};
    TimePoint mFrozenUntil{};
    std::optional<MemoryJournalStorage::Files> mBackup;
    bool mNeedsReadmission = false;
    /** Next attempt to open storage that has failed. */
    TimePoint mReopenAt{};
  };
  struct InFlightMessage
  {
    InstanceName mFrom;
    ConsensusMessage mMessage;
  };

  bool Chance(double aProbability);
  std::chrono::milliseconds RandomMs(int aLow, int aHigh);
  Node& RandomNode();
  bool IsRunning(const Node& aNode) const;
  void Step();
  void InjectFaults();
  void LoseOrRollBackDisk(Node& aNode);
  void CrashNode(Node& aNode, std::chrono::milliseconds aDown);
  CoreOptions OptionsOf(const Node& aNode);
  void StartNode(Node& aNode);
  void DropMessagesOf(const InstanceName& aName);
  void DeliverMessages();
  void WriteDisk(Node& aNode);
  void FailDisk(Node& aNode);
  /** Lets a replica whose storage has failed use it again, as the driver of a
   * core does. */
  void ReopenDisk(Node& aNode);
  void Propose();
  void Read();
  void Collect(Node& aNode);
  void Route(Node& aNode, std::vector<OutgoingMessage> aMessages);
  void Restore(Node& aNode, const Snapshot& aSnapshot);
  void ApplyEntry(Node& aNode, const LogEntry& aEntry);
  void CheckCommitted(const Node& aNode,
                      LogIndex aIndex,
                      const std::string& aPayload);
  void CheckLeaders();
  void RecordReadmissions();
  void Heal();
  bool HasRecovered();
  void Fail(const std::string& aWhat);
  std::size_t CountNeedingReadmission() const;

  std::uint64_t mSeed;
  std::mt19937_64 mRandom;
  TimePoint mNow;
  std::vector<std::unique_ptr<Node>> mNodes;
  std::size_t mVoters;
  std::vector<InstanceName> mVoterNames;
  std::multimap<TimePoint, std::pair<InstanceName, InFlightMessage>> mNetwork;
  std::map<std::pair<InstanceName, InstanceName>, TimePoint> mCutLinks;
  std::map<LogIndex, std::string> mCommitted;
  std::map<Term, ReplicaId> mLeaders;
  LogIndex mHighestAcknowledged = 0;
  std::uint64_t mNextCommand = 1;
  std::uint64_t mNextRead = 1;
  bool mInjectsFaults = true;
  double mLossProbability = 0;
  double mDuplicateChance = 0;
  double mFaultProbability = 0;
  std::vector<std::string> mErrors;
  Counts mCounts;
};

}
