#include "Membership/MembershipCore.h"

#include <algorithm>
#include <cmath>

namespace almondspoke {

namespace {

// A changed record is added to this number of messages times
// log2(members + 1), since gossip needs logarithmic rounds to reach all.
constexpr double kTransmissionFactor = 3.0;

// Of two records of one incarnation, the one with the higher value wins.
int
HealthPrecedence(InstanceHealth aHealth)
{
  return static_cast<int>(aHealth);
}

std::size_t
TransmissionCount(std::size_t aMembers)
{
  const double rounds = std::log2(static_cast<double>(aMembers) + 1.0);
  return static_cast<std::size_t>(std::ceil(kTransmissionFactor * rounds));
}

}

MembershipCore::MembershipCore(MembershipOptions aOptions,
                               const InstanceIdentity& aSelf,
                               const std::vector<InstanceIdentity>& aSeeds,
                               std::uint32_t aRandomSeed)
  : mOptions(aOptions)
  , mSelf(aSelf.mName)
  , mRandom(aRandomSeed)
{
  for (const InstanceIdentity& seed : aSeeds) {
    Member member;
    member.mRecord.mStatus.mIdentity = seed;
    member.mRecord.mStatus.mIdentity.mIncarnation = 0;
    member.mRecord.mStatus.mHealth = InstanceHealth::Dead;
    mMembers.emplace(seed.mName, member);
  }
  Member self;
  self.mRecord.mStatus.mIdentity = aSelf;
  self.mRecord.mStatus.mIdentity.mIncarnation = 1;
  mMembers[mSelf] = self;
}

void
MembershipCore::Tick(Clock::Monotonic aNow)
{
  ResetProbesAfterPause(aNow);
  mLastTick = aNow;
  CheckProbe(aNow);
  ExpireSuspicions(aNow);
  ExpireRelayedProbes(aNow);
  if (!mLastPeriod || aNow - *mLastPeriod >= mOptions.mProbePeriod) {
    mLastPeriod = aNow;
    StartProbes(aNow);
  }
}

void
MembershipCore::ResetProbesAfterPause(Clock::Monotonic aNow)
{
  // Answers that are missing after a pause of this process say nothing about
  // the other instances.
  if (!mLastTick || aNow - *mLastTick < mOptions.mProbeTimeout) {
    return;
  }
  mProbe.reset();
  for (auto& [name, member] : mMembers) {
    if (member.mRecord.mStatus.mHealth == InstanceHealth::Suspected) {
      member.mSuspectedAt = aNow;
    }
  }
}

void
MembershipCore::OnMessage(const InstanceName& aFrom,
                          const MembershipMessage& aMessage,
                          Clock::Monotonic aNow)
{
  if (SelfMember().mRecord.mStatus.mHealth == InstanceHealth::Left) {
    return;
  }
  for (const MemberRecord& record : aMessage.mRecords) {
    Merge(record, aNow);
  }
  switch (aMessage.mKind) {
    case MembershipMessageKind::Ping: {
      Queue(aFrom,
            { MembershipMessageKind::Acknowledgement,
              aMessage.mSequence,
              mSelf,
              {} });
      return;
    }
    case MembershipMessageKind::Acknowledgement:
      HandleAcknowledgement(aFrom, aMessage);
      return;
    case MembershipMessageKind::IndirectPing: {
      const std::uint64_t sequence = mNextSequence++;
      mRelayedProbes[sequence] = { aFrom, aMessage.mSequence, aNow };
      Queue(aMessage.mSubject,
            { MembershipMessageKind::Ping, sequence, {}, {} });
      return;
    }
    case MembershipMessageKind::SyncRequest:
      QueueSync(aFrom, MembershipMessageKind::Sync);
      return;
    case MembershipMessageKind::Sync:
      return;
  }
}

void
MembershipCore::SetDraining(bool aDraining)
{
  Member& self = SelfMember();
  if (self.mRecord.mStatus.mDraining == aDraining) {
    return;
  }
  self.mRecord.mStatus.mDraining = aDraining;
  ++self.mRecord.mRevision;
  QueueForGossip(self);
}

void
MembershipCore::SetRulesVersion(std::uint64_t aVersion)
{
  Member& self = SelfMember();
  if (self.mRecord.mStatus.mRulesVersion >= aVersion) {
    return;
  }
  self.mRecord.mStatus.mRulesVersion = aVersion;
  ++self.mRecord.mRevision;
  QueueForGossip(self);
}

void
MembershipCore::Leave()
{
  Member& self = SelfMember();
  self.mRecord.mStatus.mHealth = InstanceHealth::Left;
  mChanged = true;
  for (const InstanceName& name : ShuffledMembers(true)) {
    Queue(name, { MembershipMessageKind::Sync, 0, {}, {} });
  }
}

std::vector<OutgoingMembershipMessage>
MembershipCore::TakeOutgoing()
{
  std::vector<OutgoingMembershipMessage> outgoing;
  outgoing.swap(mOutgoing);
  return outgoing;
}

bool
MembershipCore::TakeChanged()
{
  const bool changed = mChanged;
  mChanged = false;
  return changed;
}

InstanceIdentity
MembershipCore::Self() const
{
  return mMembers.at(mSelf).mRecord.mStatus.mIdentity;
}

std::vector<InstanceStatus>
MembershipCore::Instances() const
{
  std::vector<InstanceStatus> instances;
  instances.reserve(mMembers.size());
  for (const auto& [name, member] : mMembers) {
    instances.push_back(member.mRecord.mStatus);
  }
  return instances;
}

void
MembershipCore::StartProbes(Clock::Monotonic aNow)
{
  if (SelfMember().mRecord.mStatus.mHealth == InstanceHealth::Left) {
    return;
  }
  ProbeNextLive(aNow);
  ProbeUnreachable();
}

void
MembershipCore::ProbeNextLive(Clock::Monotonic aNow)
{
  if (mProbe) {
    return;
  }
  // Round robin in shuffled order limits the time until each live instance is
  // probed.
  if (mProbeOrder.empty()) {
    mProbeOrder = ShuffledMembers(true);
  }
  while (!mProbeOrder.empty()) {
    const InstanceName target = mProbeOrder.back();
    mProbeOrder.pop_back();
    if (!IsLive(mMembers[target].mRecord.mStatus.mHealth)) {
      continue;
    }
    const std::uint64_t sequence = mNextSequence++;
    mProbe = Probe{ target, sequence, aNow, false };
    Queue(target, { MembershipMessageKind::Ping, sequence, {}, {} });
    return;
  }
}

void
MembershipCore::ProbeUnreachable()
{
  std::vector<InstanceName> names = ShuffledMembers(false);
  names.resize(std::min(names.size(), mOptions.mUnreachableProbes));
  for (const InstanceName& name : names) {
    Queue(name, { MembershipMessageKind::Ping, mNextSequence++, {}, {} });
  }
}

void
MembershipCore::CheckProbe(Clock::Monotonic aNow)
{
  if (!mProbe) {
    return;
  }
  const auto waited = aNow - mProbe->mSentAt;
  if (waited >= mOptions.mProbeTimeout) {
    Member& target = mMembers[mProbe->mTarget];
    mProbe.reset();
    if (target.mRecord.mStatus.mHealth == InstanceHealth::Alive) {
      SetHealth(target, InstanceHealth::Suspected, aNow);
    }
    return;
  }
  if (waited >= mOptions.mDirectTimeout && !mProbe->mIndirect) {
    ProbeIndirectly();
  }
}

void
MembershipCore::ProbeIndirectly()
{
  mProbe->mIndirect = true;
  std::size_t asked = 0;
  for (const InstanceName& name : ShuffledMembers(true)) {
    if (name == mProbe->mTarget) {
      continue;
    }
    if (asked++ == mOptions.mIndirectProbes) {
      return;
    }
    Queue(name,
          { MembershipMessageKind::IndirectPing,
            mProbe->mSequence,
            mProbe->mTarget,
            {} });
  }
}

void
MembershipCore::ExpireSuspicions(Clock::Monotonic aNow)
{
  for (auto& [name, member] : mMembers) {
    const bool suspected =
      member.mRecord.mStatus.mHealth == InstanceHealth::Suspected;
    if (suspected && aNow - member.mSuspectedAt >= mOptions.mSuspicionTimeout) {
      SetHealth(member, InstanceHealth::Dead, aNow);
    }
  }
}

void
MembershipCore::ExpireRelayedProbes(Clock::Monotonic aNow)
{
  for (auto relay = mRelayedProbes.begin(); relay != mRelayedProbes.end();) {
    const bool expired = aNow - relay->second.mSentAt >= mOptions.mProbeTimeout;
    relay = expired ? mRelayedProbes.erase(relay) : std::next(relay);
  }
}

void
MembershipCore::HandleAcknowledgement(const InstanceName& aFrom,
                                      const MembershipMessage& aMessage)
{
  if (mProbe && mProbe->mSequence == aMessage.mSequence &&
      mProbe->mTarget == aMessage.mSubject) {
    mProbe.reset();
    return;
  }
  const auto relay = mRelayedProbes.find(aMessage.mSequence);
  if (relay == mRelayedProbes.end() || aFrom != aMessage.mSubject) {
    return;
  }
  Queue(relay->second.mRequester,
        { MembershipMessageKind::Acknowledgement,
          relay->second.mRequesterSequence,
          aFrom,
          {} });
  mRelayedProbes.erase(relay);
}

void
MembershipCore::Merge(const MemberRecord& aRecord, Clock::Monotonic aNow)
{
  const InstanceStatus& received = aRecord.mStatus;
  if (received.mIdentity.mName == mSelf) {
    RefuteRecordOfSelf(aRecord);
    return;
  }
  const auto found = mMembers.find(received.mIdentity.mName);
  if (found == mMembers.end()) {
    // The settings name all instances; records of unknown ones are ignored.
    return;
  }
  Member& member = found->second;
  InstanceStatus& local = member.mRecord.mStatus;
  const bool newer =
    received.mIdentity.mIncarnation > local.mIdentity.mIncarnation;
  const bool same =
    received.mIdentity.mIncarnation == local.mIdentity.mIncarnation;
  const bool newerAttributes =
    newer || (same && aRecord.mRevision > member.mRecord.mRevision);
  const bool wasUnreachable = !IsLive(local.mHealth);
  if (newerAttributes) {
    local.mDraining = received.mDraining;
    local.mRulesVersion = received.mRulesVersion;
    member.mRecord.mRevision = aRecord.mRevision;
    QueueForGossip(member);
  }
  if (newer || (same && HealthPrecedence(received.mHealth) >
                          HealthPrecedence(local.mHealth))) {
    local.mIdentity.mIncarnation = received.mIdentity.mIncarnation;
    SetHealth(member, received.mHealth, aNow);
  }
  if (wasUnreachable && IsLive(local.mHealth)) {
    QueueSync(received.mIdentity.mName, MembershipMessageKind::SyncRequest);
  }
}

void
MembershipCore::RefuteRecordOfSelf(const MemberRecord& aRecord)
{
  Member& self = SelfMember();
  InstanceStatus& local = self.mRecord.mStatus;
  const InstanceStatus& received = aRecord.mStatus;
  const std::uint64_t incarnation = received.mIdentity.mIncarnation;
  const bool fromEarlierProcess = incarnation > local.mIdentity.mIncarnation;
  const bool reportedNotAlive = incarnation == local.mIdentity.mIncarnation &&
                                received.mHealth != InstanceHealth::Alive;
  if (!fromEarlierProcess && !reportedNotAlive) {
    return;
  }
  local.mIdentity.mIncarnation = incarnation + 1;
  QueueForGossip(self);
}

void
MembershipCore::SetHealth(Member& aMember,
                          InstanceHealth aHealth,
                          Clock::Monotonic aNow)
{
  aMember.mRecord.mStatus.mHealth = aHealth;
  if (aHealth == InstanceHealth::Suspected) {
    aMember.mSuspectedAt = aNow;
  }
  QueueForGossip(aMember);
}

void
MembershipCore::QueueForGossip(Member& aMember)
{
  aMember.mTransmissionsLeft = TransmissionCount(mMembers.size());
  mChanged = true;
}

void
MembershipCore::Queue(const InstanceName& aTo, MembershipMessage aMessage)
{
  AddGossip(aTo, aMessage);
  mOutgoing.push_back({ aTo, std::move(aMessage) });
}

void
MembershipCore::QueueSync(const InstanceName& aTo, MembershipMessageKind aKind)
{
  MembershipMessage message;
  message.mKind = aKind;
  for (const auto& [name, member] : mMembers) {
    message.mRecords.push_back(member.mRecord);
  }
  mOutgoing.push_back({ aTo, std::move(message) });
}

void
MembershipCore::AddGossip(const InstanceName& aTo, MembershipMessage& aMessage)
{
  // The sender's own record lets the receiver mark it as alive. The receiver's
  // record, if not alive, lets the receiver refute it.
  aMessage.mRecords.push_back(SelfMember().mRecord);
  const auto receiver = mMembers.find(aTo);
  if (receiver != mMembers.end() &&
      receiver->second.mRecord.mStatus.mHealth != InstanceHealth::Alive) {
    aMessage.mRecords.push_back(receiver->second.mRecord);
  }
  std::size_t room = mOptions.mRecordsPerMessage;
  for (auto& [name, member] : mMembers) {
    if (room == 0) {
      return;
    }
    if (member.mTransmissionsLeft == 0 || name == mSelf || name == aTo) {
      continue;
    }
    --member.mTransmissionsLeft;
    aMessage.mRecords.push_back(member.mRecord);
    --room;
  }
}

std::vector<InstanceName>
MembershipCore::ShuffledMembers(bool aLive)
{
  std::vector<InstanceName> names;
  for (const auto& [name, member] : mMembers) {
    const bool live = IsLive(member.mRecord.mStatus.mHealth);
    if (name != mSelf && live == aLive) {
      names.push_back(name);
    }
  }
  std::shuffle(names.begin(), names.end(), mRandom);
  return names;
}

MembershipCore::Member&
MembershipCore::SelfMember()
{
  return mMembers[mSelf];
}

}
