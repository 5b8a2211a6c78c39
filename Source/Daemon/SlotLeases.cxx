#include "Daemon/SlotLeases.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include <glog/logging.h>

#include "Base/MessagePack.h"
#include "Routing/SlotHolder.h"
#include "Routing/SlotMessages.h"

namespace almondspoke {

namespace {

constexpr std::chrono::milliseconds kInFlightGrace{ 1000 };

// Time after its last answer at which an instance is no longer assumed to be
// the grantor. It is long enough that the answer to one renewal was missed.
constexpr std::chrono::milliseconds kGrantorAnswerTimeout{ 1500 };

// Time without a lease after which an instance falls back to its share of each
// capacity. A grantor that it cannot reach has ended its lease by then, too.
constexpr std::chrono::milliseconds kFallbackDelay{ 4000 };
constexpr std::chrono::milliseconds kFallbackCheckInterval{ 100 };
// Validity of a fallback share; it is extended at each check.
constexpr std::chrono::milliseconds kFallbackDuration{ 1000 };

/** \brief Payload of a frame; exactly one member is set. */
struct SlotLeaseMessage
{
  std::optional<SlotRequest> mRequest;
  std::optional<SlotReply> mReply;

  MSGPACK_DEFINE(mRequest, mReply)
};

PeerFrame
FrameOf(const SlotLeaseMessage& aMessage)
{
  return { PeerChannel::SlotLeases, 0, PackMessage(aMessage) };
}

void
SetCapacities(SlotAllocator& aAllocator,
              const EndpointAnnouncement& aAnnouncement,
              bool aIsListed)
{
  aAllocator.SetCapacity({ PoolType::EndpointSlots, aAnnouncement.mName },
                         aIsListed ? aAnnouncement.mSlots : 0);
}

bool
IsListed(const EndpointChange& aChange)
{
  return !aChange.mEndpoint.mLeaving &&
         (aChange.mKind == EndpointChange::Kind::Added ||
          aChange.mKind == EndpointChange::Kind::Updated);
}

}

SlotGrantorSource
GrantorOf(const Replicator& aGroup)
{
  return [&aGroup]() -> std::optional<SlotGrantor> {
    // The order matters: the term is read first and the leader lease last, so
    // that this instance is never reported as the leader of a term earlier
    // than the one in which it leads.
    const Term term = aGroup.CurrentTerm();
    const std::optional<InstanceName> leader = aGroup.Leader();
    if (!leader) {
      return std::nullopt;
    }
    const bool isSelf = aGroup.IsLeader() && aGroup.CurrentTerm() == term;
    return SlotGrantor{ *leader, term, isSelf };
  };
}

SlotLeases::SlotLeases(SlotLeasesDependencies aDependencies,
                       SlotAllocatorSettings aSettings)
  : mDependencies(std::move(aDependencies))
  , mSettings(aSettings)
  , mLastLeasedAt(mDependencies.mClock.MonotonicNow())
  , mNextFallbackCheck(mLastLeasedAt)
{
  mDependencies.mTransport.Subscribe(
    PeerChannel::SlotLeases,
    [this](const InstanceName& aFrom, const PeerFrame& aFrame) {
      OnFrame(aFrom, aFrame.mPayload);
    });
  mDependencies.mEndpoints.Observe(
    [this](const EndpointChange& aChange) { OnEndpoint(aChange); });
}

SlotAllocatorSettings
SlotLeases::DefaultSettings()
{
  SlotAllocatorSettings settings;
  settings.mInFlightGracePeriod = kInFlightGrace;
  return settings;
}

void
SlotLeases::ApplyRules(const RoutingRules& aRules)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  if (aRules.mVersion < mRulesVersion) {
    return;
  }
  mRulesVersion = aRules.mVersion;
  const auto previous = std::exchange(mTeamSlots, aRules.mTeamSlots);
  if (!mAllocator) {
    return;
  }
  for (const auto& [team, slots] : previous) {
    if (mTeamSlots.count(team) == 0) {
      mAllocator->SetCapacity({ PoolType::TeamSlots, team }, 0);
    }
  }
  for (const auto& [team, slots] : mTeamSlots) {
    mAllocator->SetCapacity({ PoolType::TeamSlots, team }, slots);
  }
}

void
SlotLeases::Tick()
{
  const std::optional<SlotGrantor> grantor = mDependencies.mFindGrantor();
  const AllocatorPtr allocator = CurrentAllocator(grantor);
  if (allocator) {
    SendReplies(allocator->Tick());
  }
  if (mDependencies.mHolder.IsRequestDue()) {
    SendRequest();
  }
  UpdateFallback(grantor.has_value());
}

void
SlotLeases::UpdateFallback(bool aHasGrantor)
{
  SlotHolder& holder = mDependencies.mHolder;
  const Clock::Monotonic now = mDependencies.mClock.MonotonicNow();
  const bool wasFallback = holder.IsUsingFallback();
  const bool isLeased = holder.IsLeaseValid() && !wasFallback;
  if (isLeased) {
    mLastLeasedAt = now;
  }
  if (now < mNextFallbackCheck || (isLeased && aHasGrantor)) {
    return;
  }
  mNextFallbackCheck = now + kFallbackCheckInterval;
  // A single instance need not wait for a grantor.
  const std::uint32_t sharers = mDependencies.mCountSharers();
  if (sharers > 1 && now < mLastLeasedAt + kFallbackDelay) {
    return;
  }
  holder.GrantFallback(sharers, now + kFallbackDuration);
  if (!wasFallback && holder.IsUsingFallback()) {
    LOG(WARNING)
      << "slots: no grantor reachable, using each capacity divided by "
      << sharers;
    mDependencies.mOnSlotsChanged();
  }
}

SlotLeases::AllocatorPtr
SlotLeases::CurrentAllocator(const std::optional<SlotGrantor>& aGrantor)
{
  if (!aGrantor || !aGrantor->mIsSelf) {
    return nullptr;
  }
  const std::lock_guard<std::mutex> lock(mMutex);
  if (aGrantor->mTerm < mAllocatorTerm) {
    return nullptr;
  }
  // No other instance grants slots within a term, so the grants of the existing
  // allocator are still valid in the same term.
  if (!mAllocator || aGrantor->mTerm > mAllocatorTerm) {
    mAllocatorTerm = aGrantor->mTerm;
    mAllocator = std::make_shared<SlotAllocator>(
      mDependencies.mClock, mAllocatorTerm, mSettings);
    SetInitialCapacities(*mAllocator);
  }
  return mAllocator;
}

void
SlotLeases::SetInitialCapacities(SlotAllocator& aAllocator) const
{
  for (const Endpoint& endpoint : mDependencies.mEndpoints.AllEndpoints()) {
    SetCapacities(aAllocator, endpoint.mAnnouncement, !endpoint.mLeaving);
  }
  for (const auto& [team, slots] : mTeamSlots) {
    aAllocator.SetCapacity({ PoolType::TeamSlots, team }, slots);
  }
}

void
SlotLeases::OnEndpoint(const EndpointChange& aChange)
{
  AllocatorPtr allocator;
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    allocator = mAllocator;
  }
  if (allocator) {
    SetCapacities(
      *allocator, aChange.mEndpoint.mAnnouncement, IsListed(aChange));
  }
}

void
SlotLeases::OnFrame(const InstanceName& aFrom, const std::string& aPayload)
{
  const Result<SlotLeaseMessage> message =
    UnpackMessage<SlotLeaseMessage>(aPayload);
  if (message.has_error()) {
    return;
  }
  const std::optional<SlotRequest>& request = message.value().mRequest;
  if (request && request->mInstance == aFrom) {
    const AllocatorPtr allocator =
      CurrentAllocator(mDependencies.mFindGrantor());
    if (allocator) {
      SendReplies(allocator->Handle(*request));
    }
  }
  if (message.value().mReply) {
    {
      const std::lock_guard<std::mutex> lock(mMutex);
      mLastGrantor = aFrom;
      mLastReplyAt = mDependencies.mClock.MonotonicNow();
    }
    ApplyReply(*message.value().mReply);
  }
}

std::vector<InstanceName>
SlotLeases::RequestRecipients(const std::optional<SlotGrantor>& aGrantor)
{
  const InstanceName& self = mDependencies.mSelf.mName;
  if (aGrantor && aGrantor->mLeader != self) {
    return { aGrantor->mLeader };
  }
  const std::lock_guard<std::mutex> lock(mMutex);
  if (mLastReplyAt && mDependencies.mClock.MonotonicNow() - *mLastReplyAt <
                        kGrantorAnswerTimeout) {
    return { mLastGrantor };
  }
  // The grantor is unknown. Only the grantor answers, so the request can go to
  // all candidates.
  std::vector<InstanceName> recipients;
  std::copy_if(mDependencies.mCandidates.begin(),
               mDependencies.mCandidates.end(),
               std::back_inserter(recipients),
               [&self](const InstanceName& aName) { return aName != self; });
  return recipients;
}

void
SlotLeases::SendRequest()
{
  const std::optional<SlotGrantor> grantor = mDependencies.mFindGrantor();
  const AllocatorPtr allocator = CurrentAllocator(grantor);
  if (allocator) {
    SendReplies(allocator->Handle(mDependencies.mHolder.BuildRequest()));
    return;
  }
  const std::vector<InstanceName> recipients = RequestRecipients(grantor);
  if (recipients.empty()) {
    return;
  }
  SlotLeaseMessage message;
  message.mRequest = mDependencies.mHolder.BuildRequest();
  for (const InstanceName& recipient : recipients) {
    mDependencies.mTransport.Send(recipient, FrameOf(message));
  }
}

void
SlotLeases::SendReplies(const std::vector<SlotReply>& aReplies)
{
  for (const SlotReply& reply : aReplies) {
    if (reply.mInstance == mDependencies.mSelf.mName) {
      ApplyReply(reply);
      continue;
    }
    SlotLeaseMessage message;
    message.mReply = reply;
    mDependencies.mTransport.Send(reply.mInstance, FrameOf(message));
  }
}

void
SlotLeases::ApplyReply(const SlotReply& aReply)
{
  const bool isRequestDue = mDependencies.mHolder.Apply(aReply);
  mDependencies.mOnSlotsChanged();
  if (isRequestDue) {
    SendRequest();
  }
}

}
