#pragma once

#include <functional>
#include <map>
#include <mutex>
#include <string>

#include "Consensus/Replicator.h"
#include "Transport/PeerTransport.h"

namespace almondspoke {

/** \brief Multiplexes the consensus groups of an instance over the Consensus
 * channel of its transport.
 *
 * Must outlive the groups. */
class ConsensusChannel
{
public:
  using Receiver =
    std::function<void(const InstanceName& aFrom, const std::string& aPayload)>;

  /** Subscribes to the transport, which must not have been started yet. */
  explicit ConsensusChannel(PeerTransport& aTransport);

  /** Sends a message to the same group on another instance. Messages may be
   * lost. */
  void Send(GroupId aGroup,
            const InstanceName& aTo,
            std::string aPayload,
            bool aIsAnswer = false);

  /** Registers the receiver of a group, which is called on transport
   * threads. */
  void Attach(GroupId aGroup, Receiver aReceiver);

  /** Unregisters the receiver of a group, which is not called any more once
   * this function has returned. */
  void Detach(GroupId aGroup);

private:
  void Receive(const InstanceName& aFrom, const PeerFrame& aFrame);

  PeerTransport& mTransport;
  std::mutex mMutex;
  std::map<GroupId, Receiver> mReceivers;
};

}
