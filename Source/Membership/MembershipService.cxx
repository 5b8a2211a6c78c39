#include "Membership/MembershipService.h"

#include <random>

#include <glog/logging.h>

namespace almondspoke {

namespace {

constexpr std::chrono::milliseconds kTickPeriod{ 50 };

}

MembershipService::MembershipService(
  asio::io_context& aContext,
  const Clock& aClock,
  PeerTransport& aTransport,
  MembershipOptions aOptions,
  const InstanceIdentity& aSelf,
  const std::vector<InstanceIdentity>& aSeeds)
  : mClock(aClock)
  , mTransport(aTransport)
  , mIdentity(aSelf)
  , mTimer(aContext)
  , mCore(aOptions, aSelf, aSeeds, std::random_device{}())
{
  mTransport.Subscribe(
    PeerChannel::Membership,
    [this](const InstanceName& aFrom, const PeerFrame& aFrame) {
      OnFrame(aFrom, aFrame);
    });
}

void
MembershipService::Start()
{
  ScheduleTick();
}

void
MembershipService::Stop()
{
  mTimer.cancel();
}

void
MembershipService::SetDraining(bool aDraining)
{
  UpdateCore(
    [aDraining](MembershipCore& aCore) { aCore.SetDraining(aDraining); });
}

void
MembershipService::SetRulesVersion(std::uint64_t aVersion)
{
  UpdateCore(
    [aVersion](MembershipCore& aCore) { aCore.SetRulesVersion(aVersion); });
}

void
MembershipService::Leave()
{
  UpdateCore([](MembershipCore& aCore) { aCore.Leave(); });
}

void
MembershipService::Observe(Observer aObserver)
{
  mObservers.push_back(std::move(aObserver));
}

InstanceIdentity
MembershipService::Self() const
{
  return mIdentity;
}

std::vector<InstanceStatus>
MembershipService::Instances() const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  return mCore.Instances();
}

std::vector<InstanceName>
MembershipService::LiveInstances(const DataCentreName& aDataCentre) const
{
  std::vector<InstanceName> names;
  for (const InstanceStatus& instance : Instances()) {
    if (IsLive(instance.mHealth) &&
        instance.mIdentity.mDataCentre == aDataCentre) {
      names.push_back(instance.mIdentity.mName);
    }
  }
  return names;
}

void
MembershipService::ScheduleTick()
{
  mTimer.expires_after(kTickPeriod);
  mTimer.async_wait([this](asio::error_code aError) {
    if (aError) {
      return;
    }
    UpdateCore(
      [this](MembershipCore& aCore) { aCore.Tick(mClock.MonotonicNow()); });
    ScheduleTick();
  });
}

void
MembershipService::OnFrame(const InstanceName& aFrom, const PeerFrame& aFrame)
{
  const Result<MembershipMessage> message =
    DecodeMembershipMessage(aFrame.mPayload);
  if (message.has_error()) {
    LOG(WARNING) << "event=membership-malformed peer=" << aFrom;
    return;
  }
  UpdateCore([this, &aFrom, &message](MembershipCore& aCore) {
    aCore.OnMessage(aFrom, message.value(), mClock.MonotonicNow());
  });
}

void
MembershipService::UpdateCore(
  const std::function<void(MembershipCore&)>& aUpdate)
{
  std::vector<OutgoingMembershipMessage> outgoing;
  bool changed = false;
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    aUpdate(mCore);
    outgoing = mCore.TakeOutgoing();
    changed = mCore.TakeChanged();
  }
  for (const OutgoingMembershipMessage& message : outgoing) {
    const bool isAnswer =
      message.mMessage.mKind == MembershipMessageKind::Acknowledgement;
    mTransport.Send(message.mTo,
                    { PeerChannel::Membership,
                      0,
                      EncodeMembershipMessage(message.mMessage),
                      isAnswer });
  }
  if (!changed) {
    return;
  }
  // Read the state under the delivery lock, so that the last notification
  // carries the latest state.
  const std::lock_guard<std::mutex> delivery(mDeliveryMutex);
  const std::vector<InstanceStatus> instances = Instances();
  for (const Observer& observer : mObservers) {
    observer(instances);
  }
}

}
