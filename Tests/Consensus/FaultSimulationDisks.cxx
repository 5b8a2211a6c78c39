// FaultSimulation: the disks of the replicas and their failures.
#include "FaultSimulation.h"

namespace almondspoke::testing {

namespace {

using std::chrono::milliseconds;

/** Longer than the phase with faults, so that no replica trusts outdated
 * storage while the peers with newer entries are unreachable. */
constexpr milliseconds kVerifyTimeout{ 30000 };

}

CoreOptions
FaultSimulation::OptionsOf(const Node& aNode)
{
  CoreOptions options;
  options.mSelf = aNode.mName;
  options.mInitialVoters = mVoterNames;
  options.mDurable = aNode.mDurable;
  options.mSeed = mRandom();
  options.mAppliedIndex = aNode.mApplied.size();
  options.mTimings.mVerifyTimeout = kVerifyTimeout;
  options.mLimits.mMaxBatchEntries = 4;
  options.mLimits.mMaxInflightMessages = 4;
  options.mLimits.mMaxSnapshotChunkBytes = 2000;
  options.mLimits.mCompactionEntries = 25;
  options.mLimits.mMaxRetainedEntries = 5;
  return options;
}

void
FaultSimulation::LoseOrRollBackDisk(Node& aNode)
{
  const std::size_t minority = (mVoters - 1) / 2;
  if (!aNode.mDurable || aNode.mNeedsReadmission ||
      CountNeedingReadmission() >= minority) {
    return;
  }
  const bool lost = Chance(0.5);
  if (!lost && !aNode.mBackup) {
    return;
  }
  DropMessagesOf(aNode.mName);
  aNode.mNeedsReadmission = true;
  if (lost) {
    ++mCounts.mDisksLost;
    aNode.mStorage.SetFiles({});
    aNode.mBackup.reset();
    return;
  }
  ++mCounts.mDisksRolledBack;
  aNode.mStorage.SetFiles(*aNode.mBackup);
}

void
FaultSimulation::WriteDisk(Node& aNode)
{
  if (aNode.mWrites.empty() || Chance(0.3)) {
    return;
  }
  const std::vector<JournalWrite> writes = std::move(aNode.mWrites);
  aNode.mWrites.clear();
  if (!aNode.mDurable) {
    aNode.mCore->DiskCompleted(mNow, writes.back().mSequence);
    Collect(aNode);
    return;
  }
  const Result<void> written = aNode.mJournal->Write(writes);
  if (written) {
    aNode.mCore->DiskCompleted(mNow, writes.back().mSequence);
    Collect(aNode);
    return;
  }
  if (Chance(0.5)) {
    // The process crashes during the write.
    CrashNode(aNode, RandomMs(0, 2000));
    return;
  }
  FailDisk(aNode);
}

void
FaultSimulation::FailDisk(Node& aNode)
{
  ++mCounts.mDiskFailures;
  aNode.mCore->DiskFailed(mNow);
  Collect(aNode);
  aNode.mWrites.clear();
  aNode.mProposed.clear();
  aNode.mMinimumReadIndexes.clear();
  aNode.mReopenAt = mNow + RandomMs(0, 2000);
}

void
FaultSimulation::ReopenDisk(Node& aNode)
{
  if (mNow < aNode.mReopenAt) {
    return;
  }
  if (!mInjectsFaults || Chance(0.5)) {
    aNode.mStorage.Repair();
  }
  aNode.mReopenAt = mNow + RandomMs(0, 500);
  Result<StoredState> opened = aNode.mJournal->Open(mRandom());
  if (!opened && opened.error().Kind() == ErrorKind::StorageCorrupt) {
    Fail(aNode.mName + " lost what it had synced: " + opened.error().Message());
  }
  if (!opened) {
    return;
  }
  ++mCounts.mReopened;
  aNode.mCore = std::make_unique<ConsensusCore>(
    OptionsOf(aNode), std::move(opened.value()), mNow);
}

}
