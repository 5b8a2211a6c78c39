#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "Base/InstanceIdentity.h"
#include "Base/Result.h"

namespace almondspoke {

/** \brief The component of an instance that a frame is addressed to. */
enum class PeerChannel : std::uint8_t
{
  Rpc = 0,
  Consensus = 1,
  Membership = 2,
  Endpoints = 3,
  SlotLeases = 4
};

/** The channel with the highest number. */
constexpr PeerChannel kLastPeerChannel = PeerChannel::SlotLeases;

/** \brief One message between two instances. */
struct PeerFrame
{
  PeerChannel mChannel = PeerChannel::Rpc;
  /** Consensus group; zero on channels without groups. */
  std::uint32_t mGroup = 0;
  /** MessagePack payload, defined by the channel's component. */
  std::string mPayload;
  /** True for an answer that may be reordered with the sender's other frames.
   * It is sent on the connection that the request arrived on, where it also
   * serves as a sign of liveness. This flag itself is not transmitted. */
  bool mIsAnswer = false;
};

/** \brief Sends frames to other instances.
 *
 * Delivery is best effort: frames can be lost. Frames of one sender, except for
 * answers, arrive in order as long as its connection stays open. Send() never
 * blocks; it drops the frame if the queue is full. */
class PeerTransport
{
public:
  using Handler =
    std::function<void(const InstanceName& aFrom, const PeerFrame& aFrame)>;

  virtual ~PeerTransport() = default;

  virtual void Send(const InstanceName& aTo, PeerFrame aFrame) = 0;

  /** True while a connection to the instance is open. Without one, Send()
   * drops the frame. */
  virtual bool IsConnected(const InstanceName& /*aTo*/) const { return true; }

  /** Returns a number that is different for each connection to the instance;
   * zero if no connection is open. */
  virtual std::uint64_t ConnectionNumber(const InstanceName& aTo) const
  {
    return IsConnected(aTo) ? 1 : 0;
  }

  /** Registers the handler of a channel. Must be called at most once per
   * channel, before Start(). Handlers run on transport threads and must not
   * block. */
  virtual void Subscribe(PeerChannel aChannel, Handler aHandler) = 0;
};

}
