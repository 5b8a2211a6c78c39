#include "Membership/EndpointReplication.h"

#include <utility>

#include <glog/logging.h>

namespace almondspoke {

namespace {

constexpr std::chrono::milliseconds kTickPeriod{ 50 };

}

EndpointReplication::EndpointReplication(asio::io_context& aContext,
                                         PeerTransport& aTransport,
                                         MembershipService& aMembership,
                                         EndpointTable& aTable)
  : mTransport(aTransport)
  , mMembership(aMembership)
  , mTable(aTable)
  , mSelf(aMembership.Self())
  , mTimer(aContext)
{
  mTransport.Subscribe(
    PeerChannel::Endpoints,
    [this](const InstanceName& aFrom, const PeerFrame& aFrame) {
      OnFrame(aFrom, aFrame);
    });
  mMembership.Observe([this](const std::vector<InstanceStatus>& aInstances) {
    OnInstances(aInstances);
  });
}

void
EndpointReplication::Start()
{
  ScheduleTick();
}

void
EndpointReplication::Stop()
{
  mTimer.cancel();
}

void
EndpointReplication::ScheduleTick()
{
  mTimer.expires_after(kTickPeriod);
  mTimer.async_wait([this](asio::error_code aError) {
    if (aError) {
      return;
    }
    SendChanges();
    ScheduleTick();
  });
}

void
EndpointReplication::SendChanges()
{
  const std::vector<EndpointMessage> messages = mTable.Tick();
  if (messages.empty()) {
    return;
  }
  for (const InstanceName& name :
       mMembership.LiveInstances(mSelf.mDataCentre)) {
    if (name == mSelf.mName) {
      continue;
    }
    for (const EndpointMessage& message : messages) {
      Send(name, message);
    }
  }
}

void
EndpointReplication::OnFrame(const InstanceName& aFrom, const PeerFrame& aFrame)
{
  const Result<EndpointMessage> message =
    DecodeEndpointMessage(aFrame.mPayload);
  if (message.has_error()) {
    LOG(WARNING) << "event=endpoints-malformed peer=" << aFrom;
    return;
  }
  const std::optional<EndpointMessage> answer =
    mTable.OnMessage(aFrom, message.value());
  if (answer) {
    Send(aFrom, *answer);
  }
}

void
EndpointReplication::OnInstances(const std::vector<InstanceStatus>& aInstances)
{
  std::set<InstanceName> live;
  for (const InstanceStatus& instance : aInstances) {
    const InstanceIdentity& identity = instance.mIdentity;
    if (IsLive(instance.mHealth) && identity.mDataCentre == mSelf.mDataCentre &&
        identity.mName != mSelf.mName) {
      live.insert(identity.mName);
    }
  }
  for (const InstanceName& name : live) {
    if (mLivePeers.count(name) == 0) {
      Send(name, mTable.SyncRequest());
    }
  }
  mLivePeers = std::move(live);
}

void
EndpointReplication::Send(const InstanceName& aTo,
                          const EndpointMessage& aMessage)
{
  mTransport.Send(
    aTo, { PeerChannel::Endpoints, 0, EncodeEndpointMessage(aMessage) });
}

}
