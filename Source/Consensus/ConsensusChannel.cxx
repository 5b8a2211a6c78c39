#include "Consensus/ConsensusChannel.h"

#include <utility>

namespace almondspoke {

ConsensusChannel::ConsensusChannel(PeerTransport& aTransport)
  : mTransport(aTransport)
{
  mTransport.Subscribe(
    PeerChannel::Consensus,
    [this](const InstanceName& aFrom, const PeerFrame& aFrame) {
      Receive(aFrom, aFrame);
    });
}

void
ConsensusChannel::Send(GroupId aGroup,
                       const InstanceName& aTo,
                       std::string aPayload,
                       bool aIsAnswer)
{
  mTransport.Send(
    aTo, { PeerChannel::Consensus, aGroup, std::move(aPayload), aIsAnswer });
}

void
ConsensusChannel::Attach(GroupId aGroup, Receiver aReceiver)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  mReceivers[aGroup] = std::move(aReceiver);
}

void
ConsensusChannel::Detach(GroupId aGroup)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  mReceivers.erase(aGroup);
}

void
ConsensusChannel::Receive(const InstanceName& aFrom, const PeerFrame& aFrame)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  const auto receiver = mReceivers.find(aFrame.mGroup);
  if (receiver != mReceivers.end()) {
    receiver->second(aFrom, aFrame.mPayload);
  }
}

}
