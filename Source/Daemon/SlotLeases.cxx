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
constexpr std::chrono::milliseconds kGrantorSilence{ 1500 };

// Time without a lease after which an instance falls back to its share of each
// capacity. A grantor that it cannot reach has ended its lease by then, too.
constexpr std::chrono::milliseconds kFallbackDelay{ 4000 };
constexpr std::chrono::milliseconds kFallbackCheckInterval{ 100 };
// Validity of a fallback share; it is extended at each check.
constexpr std::chrono::milliseconds kFallbackTime{ 1000 };

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

SlotLeases::SlotLeases(SlotLeasesParts aParts, SlotAllocatorSettings aSettings)
  : mParts(std::move(aParts))
  , mSettings(aSettings)
  , mLeasedAt(mParts.mClock.MonotonicNow())
  , mNextFallbackCheck(mLeasedAt)
{
  mParts.mTransport.Subscribe(
    PeerChannel::SlotLeases,
    [this](const InstanceName& aFrom, const PeerFrame& aFrame) {
      OnFrame(aFrom, aFrame.mPayload);
    });
  mParts.mEndpoints.Observe(
    [this](const EndpointChange& aChange) { OnEndpoint(aChange); });
}

SlotAllocatorSettings
SlotLeases::DefaultSettings()
{
  SlotAllocatorSettings settings;
  settings.mInFlightGrace = kInFlightGrace;
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
  const auto former = std::exchange(mTeamSlots, aRules.mTeamSlots);
  if (!mAllocator) {
    return;
  }
  for (const auto& [team, slots] : former) {
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
  const std::optional<SlotGrantor> grantor = mParts.mGrantor();
  const AllocatorPtr allocator = CurrentAllocator(grantor);
  if (allocator) {
    Deliver(allocator->Tick());
  }
  if (mParts.mHolder.IsRequestDue()) {
    SendRequest();
  }
  UpdateFallback(grantor.has_value());
}

void
SlotLeases::UpdateFallback(bool aHasGrantor)
{
  SlotHolder& holder = mParts.mHolder;
  const Clock::Monotonic now = mParts.mClock.MonotonicNow();
  const bool wasFallback = holder.IsFallback();
  const bool isLeased = holder.IsLeaseValid() && !wasFallback;
  if (isLeased) {
    mLeasedAt = now;
  }
  if (now < mNextFallbackCheck || (isLeased && aHasGrantor)) {
    return;
  }
  mNextFallbackCheck = now + kFallbackCheckInterval;
  // A single instance need not wait for a grantor.
  const std::uint32_t sharers = mParts.mSharers();
  if (sharers > 1 && now < mLeasedAt + kFallbackDelay) {
    return;
  }
  holder.GrantFallback(sharers, now + kFallbackTime);
  if (!wasFallback && holder.IsFallback()) {
    LOG(WARNING)
      << "slots: no grantor reachable, using each capacity divided by "
      << sharers;
    mParts.mOnSlotsChanged();
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
    mAllocator =
      std::make_shared<SlotAllocator>(mParts.mClock, mAllocatorTerm, mSettings);
    Fill(*mAllocator);
  }
  return mAllocator;
}

void
SlotLeases::Fill(SlotAllocator& aAllocator) const
{
  for (const Endpoint& endpoint : mParts.mEndpoints.AllEndpoints()) {
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
    const AllocatorPtr allocator = CurrentAllocator(mParts.mGrantor());
    if (allocator) {
      Deliver(allocator->Handle(*request));
    }
  }
  if (message.value().mReply) {
    {
      const std::lock_guard<std::mutex> lock(mMutex);
      mLastGrantor = aFrom;
      mLastReplyAt = mParts.mClock.MonotonicNow();
    }
    ApplyReply(*message.value().mReply);
  }
}

std::vector<InstanceName>
SlotLeases::Recipients(const std::optional<SlotGrantor>& aGrantor)
{
  const InstanceName& self = mParts.mSelf.mName;
  if (aGrantor && aGrantor->mLeader != self) {
    return { aGrantor->mLeader };
  }
  const std::lock_guard<std::mutex> lock(mMutex);
  if (mLastReplyAt &&
      mParts.mClock.MonotonicNow() - *mLastReplyAt < kGrantorSilence) {
    return { mLastGrantor };
  }
  // The grantor is unknown. Only the grantor answers, so the request can go to
  // all candidates.
  std::vector<InstanceName> recipients;
  std::copy_if(mParts.mCandidates.begin(),
               mParts.mCandidates.end(),
               std::back_inserter(recipients),
               [&self](const InstanceName& aName) { return aName != self; });
  return recipients;
}

void
SlotLeases::SendRequest()
{
  const std::optional<SlotGrantor> grantor = mParts.mGrantor();
  const AllocatorPtr allocator = CurrentAllocator(grantor);
  if (allocator) {
    Deliver(allocator->Handle(mParts.mHolder.BuildRequest()));
    return;
  }
  const std::vector<InstanceName> recipients = Recipients(grantor);
  if (recipients.empty()) {
    return;
  }
  SlotLeaseMessage message;
  message.mRequest = mParts.mHolder.BuildRequest();
  for (const InstanceName& recipient : recipients) {
    mParts.mTransport.Send(recipient, FrameOf(message));
  }
}

void
SlotLeases::Deliver(const std::vector<SlotReply>& aReplies)
{
  for (const SlotReply& reply : aReplies) {
    if (reply.mInstance == mParts.mSelf.mName) {
      ApplyReply(reply);
      continue;
    }
    SlotLeaseMessage message;
    message.mReply = reply;
    mParts.mTransport.Send(reply.mInstance, FrameOf(message));
  }
}

void
SlotLeases::ApplyReply(const SlotReply& aReply)
{
  const bool isRequestDue = mParts.mHolder.Apply(aReply);
  mParts.mOnSlotsChanged();
  if (isRequestDue) {
    SendRequest();
  }
}

}
