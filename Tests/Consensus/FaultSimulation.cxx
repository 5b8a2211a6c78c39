#include "FaultSimulation.h"

#include <algorithm>

namespace almondspoke::testing {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kStepTime{ 20 };
constexpr int kFaultPhaseSteps = 700;
constexpr int kRecoveryPhaseSteps = 6000;

}

FaultSimulation::FaultSimulation(std::uint64_t aSeed)
  : mSeed(aSeed)
  , mRandom(aSeed)
  , mNow(std::chrono::hours(1))
  , mVoters(Chance(0.7) ? 3 : 5)
{
  mLossProbability = std::uniform_real_distribution<double>(0, 0.2)(mRandom);
  mDuplicateChance = std::uniform_real_distribution<double>(0, 0.2)(mRandom);
  mFaultProbability = std::uniform_real_distribution<double>(0, 0.06)(mRandom);
  for (std::size_t node = 0; node < mVoters; ++node) {
    mVoterNames.push_back("v" + std::to_string(node));
  }
  std::vector<InstanceName> names = mVoterNames;
  names.emplace_back("learner");
  for (const InstanceName& name : names) {
    mNodes.push_back(std::make_unique<Node>());
    mNodes.back()->mName = name;
    mNodes.back()->mDurable = name != "learner";
    // Cleared when the voter is first admitted to the group.
    mNodes.back()->mNeedsReadmission = mNodes.back()->mDurable;
  }
  for (const auto& node : mNodes) {
    StartNode(*node);
  }
}

bool
FaultSimulation::Chance(double aProbability)
{
  return std::uniform_real_distribution<double>(0, 1)(mRandom) < aProbability;
}

milliseconds
FaultSimulation::RandomMs(int aLow, int aHigh)
{
  return milliseconds(std::uniform_int_distribution<int>(aLow, aHigh)(mRandom));
}

FaultSimulation::Node&
FaultSimulation::RandomNode()
{
  std::uniform_int_distribution<std::size_t> pick(0, mNodes.size() - 1);
  return *mNodes[pick(mRandom)];
}

bool
FaultSimulation::IsRunning(const Node& aNode) const
{
  return aNode.mCore != nullptr && mNow >= aNode.mFrozenUntil;
}

void
FaultSimulation::Fail(const std::string& aWhat)
{
  const auto since =
    std::chrono::duration_cast<milliseconds>(mNow.time_since_epoch());
  mErrors.push_back("seed " + std::to_string(mSeed) + " at " +
                    std::to_string(since.count()) + " ms: " + aWhat);
}

void
FaultSimulation::StartNode(Node& aNode)
{
  StoredState stored;
  stored.mIdentity.mIncarnation =
    std::uniform_int_distribution<std::uint32_t>(1)(mRandom);
  if (aNode.mDurable) {
    aNode.mJournal = std::make_unique<Journal>(aNode.mStorage);
    Result<StoredState> opened =
      aNode.mJournal->Open(stored.mIdentity.mIncarnation);
    if (!opened && opened.error().Kind() == ErrorKind::StorageFailed) {
      CrashNode(aNode, RandomMs(0, 1000));
      return;
    }
    if (!opened) {
      Fail(aNode.mName + " cannot start: " + opened.error().Message());
      return;
    }
    stored = std::move(opened.value());
  }
  aNode.mApplied.clear();
  aNode.mCore =
    std::make_unique<ConsensusCore>(OptionsOf(aNode), std::move(stored), mNow);
}

void
FaultSimulation::CrashNode(Node& aNode, milliseconds aDown)
{
  ++mCounts.mCrashes;
  aNode.mCore.reset();
  aNode.mJournal.reset();
  aNode.mWrites.clear();
  aNode.mProposed.clear();
  aNode.mMinimumReadIndexes.clear();
  aNode.mStorage.SetSyncFails(false);
  aNode.mStorage.Crash(mRandom);
  aNode.mDownUntil = mNow + aDown;
  aNode.mFrozenUntil = mNow;
}

std::size_t
FaultSimulation::CountNeedingReadmission() const
{
  return static_cast<std::size_t>(
    std::count_if(mNodes.begin(), mNodes.end(), [](const auto& aNode) {
      return aNode->mNeedsReadmission;
    }));
}

void
FaultSimulation::DropMessagesOf(const InstanceName& aName)
{
  // Connections of the crashed process close before its storage is replaced.
  for (auto flight = mNetwork.begin(); flight != mNetwork.end();) {
    const bool own = flight->second.second.mFrom == aName;
    flight = own ? mNetwork.erase(flight) : std::next(flight);
  }
}

void
FaultSimulation::InjectFaults()
{
  if (!Chance(mFaultProbability)) {
    return;
  }
  Node& node = RandomNode();
  switch (std::uniform_int_distribution<int>(0, 8)(mRandom)) {
    case 0:
      if (node.mCore) {
        CrashNode(node, RandomMs(0, 4000));
        if (Chance(0.4)) {
          LoseOrRollBackDisk(node);
        }
      }
      return;
    case 1:
      node.mFrozenUntil = mNow + RandomMs(50, 3000);
      return;
    case 2: {
      const InstanceName& other = RandomNode().mName;
      mCutLinks[{ node.mName, other }] = mNow + RandomMs(100, 4000);
      return;
    }
    case 3:
      for (const auto& other : mNodes) {
        const TimePoint until = mNow + RandomMs(100, 4000);
        mCutLinks[{ node.mName, other->mName }] = until;
        mCutLinks[{ other->mName, node.mName }] = until;
      }
      return;
    case 4:
      node.mStorage.FailAfter(
        std::uniform_int_distribution<std::size_t>(0, 5)(mRandom));
      return;
    case 5:
      if (node.mDurable && Chance(0.3)) {
        node.mStorage.SetSyncFails(true);
      }
      return;
    default:
      node.mBackup = node.mStorage.Copy();
      return;
  }
}

void
FaultSimulation::DeliverMessages()
{
  std::multimap<TimePoint, std::pair<InstanceName, InFlightMessage>> later;
  while (!mNetwork.empty() && mNetwork.begin()->first <= mNow) {
    auto flight = std::move(mNetwork.begin()->second);
    mNetwork.erase(mNetwork.begin());
    const auto node =
      std::find_if(mNodes.begin(), mNodes.end(), [&](const auto& aNode) {
        return aNode->mName == flight.first;
      });
    if ((*node)->mCore && !IsRunning(**node)) {
      // The message waits in the socket buffer of a frozen process.
      later.emplace((*node)->mFrozenUntil + RandomMs(0, 20), std::move(flight));
      continue;
    }
    if (!(*node)->mCore) {
      continue;
    }
    (*node)->mCore->Receive(
      mNow, flight.second.mFrom, std::move(flight.second.mMessage));
    Collect(**node);
  }
  mNetwork.merge(later);
}

void
FaultSimulation::Route(Node& aNode, std::vector<OutgoingMessage> aMessages)
{
  for (OutgoingMessage& outgoing : aMessages) {
    const auto cut = mCutLinks.find({ aNode.mName, outgoing.mTo });
    const bool isCut = cut != mCutLinks.end() && mNow < cut->second;
    if (isCut || (mInjectsFaults && Chance(mLossProbability))) {
      continue;
    }
    const InFlightMessage flight{ aNode.mName, std::move(outgoing.mMessage) };
    if (mInjectsFaults && Chance(mDuplicateChance)) {
      mNetwork.emplace(mNow + RandomMs(0, 1500),
                       std::make_pair(outgoing.mTo, flight));
    }
    mNetwork.emplace(mNow + RandomMs(0, 40),
                     std::make_pair(outgoing.mTo, flight));
  }
}

void
FaultSimulation::Collect(Node& aNode)
{
  CoreEffects effects = aNode.mCore->TakeEffects(mNow);
  if (effects.mResetStateMachine) {
    aNode.mApplied.clear();
    aNode.mProposed.clear();
    if (!aNode.mNeedsReadmission) {
      Fail(aNode.mName + " discarded storage that was up to date");
    }
    ++mCounts.mReadmissions;
  }
  std::move(effects.mWrites.begin(),
            effects.mWrites.end(),
            std::back_inserter(aNode.mWrites));
  Route(aNode, std::move(effects.mMessages));
  if (effects.mSnapshotToRestore) {
    Restore(aNode, *effects.mSnapshotToRestore);
  }
  for (const LogEntry& entry : effects.mCommitted) {
    ApplyEntry(aNode, entry);
  }
  for (const ReadOutcome& read : effects.mReads) {
    const auto floor = aNode.mMinimumReadIndexes.find(read.mId);
    if (floor == aNode.mMinimumReadIndexes.end()) {
      continue;
    }
    if (read.mConfirmed && read.mIndex < floor->second) {
      Fail(aNode.mName + " confirmed a read below an acknowledged entry");
    }
    mCounts.mReads += read.mConfirmed ? 1 : 0;
    aNode.mMinimumReadIndexes.erase(floor);
  }
  if (effects.mTakeSnapshot) {
    std::string state;
    for (const std::string& payload : aNode.mApplied) {
      state += payload + "\n";
    }
    aNode.mCore->SnapshotTaken(aNode.mApplied.size(), state);
  }
}

void
FaultSimulation::Restore(Node& aNode, const Snapshot& aSnapshot)
{
  ++mCounts.mSnapshotsInstalled;
  if (aSnapshot.mIndex < aNode.mApplied.size()) {
    Fail(aNode.mName + " restored an older snapshot");
  }
  aNode.mApplied.clear();
  std::string line;
  for (const char character : *aSnapshot.mData) {
    if (character != '\n') {
      line += character;
      continue;
    }
    aNode.mApplied.push_back(line);
    CheckCommitted(aNode, aNode.mApplied.size(), line);
    line.clear();
  }
  if (aNode.mApplied.size() != aSnapshot.mIndex) {
    Fail(aNode.mName +
         " has a snapshot whose content does not match its index");
  }
}

void
FaultSimulation::CheckCommitted(const Node& aNode,
                                LogIndex aIndex,
                                const std::string& aPayload)
{
  const auto [known, added] = mCommitted.emplace(aIndex, aPayload);
  if (!added && known->second != aPayload) {
    Fail(aNode.mName + " applied '" + aPayload + "' at " +
         std::to_string(aIndex) + " where '" + known->second +
         "' was committed");
  }
}

void
FaultSimulation::ApplyEntry(Node& aNode, const LogEntry& aEntry)
{
  if (aEntry.mIndex != aNode.mApplied.size() + 1) {
    Fail(aNode.mName + " skipped or repeated index " +
         std::to_string(aEntry.mIndex));
  }
  std::string payload = aEntry.mPayload;
  if (aEntry.mKind != EntryKind::Command) {
    payload = "internal-" + std::to_string(aEntry.mTerm);
  }
  CheckCommitted(aNode, aEntry.mIndex, payload);
  aNode.mApplied.push_back(payload);
  const auto proposed = aNode.mProposed.find(aEntry.mIndex);
  if (proposed == aNode.mProposed.end()) {
    return;
  }
  const bool same = proposed->second.mTerm == aEntry.mTerm;
  if (same && proposed->second.mPayload != aEntry.mPayload) {
    Fail("an entry changed within its term");
  }
  if (same) {
    ++mCounts.mAcknowledged;
    mHighestAcknowledged = std::max(mHighestAcknowledged, aEntry.mIndex);
  }
  aNode.mProposed.erase(proposed);
}

void
FaultSimulation::Propose()
{
  for (const auto& node : mNodes) {
    if (!IsRunning(*node) || !node->mCore->IsLeading() || Chance(0.5)) {
      continue;
    }
    const std::string payload = "c" + std::to_string(mNextCommand++);
    const auto position = node->mCore->Propose(mNow, payload);
    if (position) {
      node->mProposed[position.value().mIndex] = { position.value().mTerm,
                                                   payload };
    }
    Collect(*node);
  }
}

void
FaultSimulation::Read()
{
  Node& node = RandomNode();
  if (!IsRunning(node) || !Chance(0.3)) {
    return;
  }
  const std::uint64_t id = mNextRead++;
  node.mMinimumReadIndexes[id] = mHighestAcknowledged;
  node.mCore->RequestRead(mNow, id);
  Collect(node);
}

void
FaultSimulation::CheckLeaders()
{
  std::size_t leases = 0;
  for (const auto& node : mNodes) {
    if (!node->mCore) {
      continue;
    }
    const CoreStatus status = node->mCore->Status(mNow);
    leases += status.mLeaseHeld ? 1 : 0;
    if (status.mRole != ReplicaRole::Leader) {
      continue;
    }
    const auto [known, added] = mLeaders.emplace(status.mTerm, status.mSelf);
    mCounts.mLeaders += added ? 1 : 0;
    if (known->second != status.mSelf) {
      Fail("term " + std::to_string(status.mTerm) + " has two leaders, " +
           known->second.mName + " and " + status.mSelf.mName);
    }
  }
  if (leases > 1) {
    Fail("two replicas hold a lease at once");
  }
}

void
FaultSimulation::RecordReadmissions()
{
  for (const auto& node : mNodes) {
    if (!node->mNeedsReadmission || !node->mCore) {
      continue;
    }
    const CoreStatus own = node->mCore->Status(mNow);
    const bool verified = own.mRole != ReplicaRole::Verifying &&
                          own.mRole != ReplicaRole::Unadmitted &&
                          own.mRole != ReplicaRole::Failed;
    const bool repaired =
      std::any_of(mNodes.begin(), mNodes.end(), [&](const auto& aOther) {
        if (!aOther->mCore || !aOther->mCore->IsLeading()) {
          return false;
        }
        const CoreStatus leader = aOther->mCore->Status(mNow);
        return leader.mLeaseHeld && leader.mConfiguration.IsVoter(own.mSelf) &&
               leader.mConfiguration.mVoters.size() == mVoters &&
               leader.mConfiguration.mPendingVoters.empty() &&
               own.mSynced >= mHighestAcknowledged;
      });
    if (!verified || !repaired) {
      continue;
    }
    node->mNeedsReadmission = false;
    node->mBackup.reset();
    Node& other = RandomNode();
    if (mInjectsFaults && other.mCore && Chance(0.5)) {
      CrashNode(other, RandomMs(0, 1000));
      const std::size_t before = CountNeedingReadmission();
      LoseOrRollBackDisk(other);
      mCounts.mLossesAfterReadmission +=
        CountNeedingReadmission() > before ? 1 : 0;
    }
  }
}

void
FaultSimulation::Step()
{
  mNow += kStepTime;
  if (mInjectsFaults) {
    InjectFaults();
  }
  DeliverMessages();
  for (const auto& node : mNodes) {
    if (!node->mCore && mNow >= node->mDownUntil) {
      StartNode(*node);
    }
    if (!node->mCore || !IsRunning(*node)) {
      continue;
    }
    if (node->mCore->Status(mNow).mRole == ReplicaRole::Failed) {
      ReopenDisk(*node);
      continue;
    }
    node->mCore->Tick(mNow);
    Collect(*node);
    WriteDisk(*node);
  }
  Propose();
  Read();
  CheckLeaders();
  RecordReadmissions();
}

void
FaultSimulation::Heal()
{
  mInjectsFaults = false;
  mCutLinks.clear();
  for (const auto& node : mNodes) {
    node->mFrozenUntil = mNow;
    node->mDownUntil = mNow;
    node->mStorage.Repair();
  }
}

bool
FaultSimulation::HasRecovered()
{
  if (CountNeedingReadmission() > 0) {
    return false;
  }
  for (const auto& node : mNodes) {
    const bool caughtUp =
      node->mCore && node->mApplied.size() >= mHighestAcknowledged;
    if (!caughtUp) {
      return false;
    }
  }
  return true;
}

void
FaultSimulation::Run()
{
  for (int step = 0; step < kFaultPhaseSteps && mErrors.empty(); ++step) {
    Step();
  }
  Heal();
  const std::uint64_t acknowledged = mCounts.mAcknowledged;
  for (int step = 0; step < kRecoveryPhaseSteps && mErrors.empty(); ++step) {
    Step();
    if (mCounts.mAcknowledged > acknowledged && HasRecovered()) {
      return;
    }
  }
  if (!mErrors.empty()) {
    return;
  }
  ++mCounts.mUnrecovered;
  std::string state;
  for (const auto& node : mNodes) {
    if (!node->mCore) {
      continue;
    }
    const CoreStatus status = node->mCore->Status(mNow);
    state += "; " + node->mName + " " + std::string(NameOf(status.mRole)) +
             " term " + std::to_string(status.mTerm) + " last " +
             std::to_string(status.mLast) + " commit " +
             std::to_string(status.mCommitIndex) + " inc " +
             std::to_string(status.mSelf.mIncarnation) + " voters";
    for (const ReplicaId& voter : status.mConfiguration.mVoters) {
      state += " " + voter.mName + "/" + std::to_string(voter.mIncarnation);
    }
    state += node->mNeedsReadmission ? " needs readmission" : "";
  }
  Fail("the group has not recovered" + state);
}

}
