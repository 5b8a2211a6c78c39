#pragma once

#include <array>
#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include "Base/Error.h"
#include "Base/InstanceIdentity.h"
#include "Transport/PeerFrameCodec.h"
#include "Transport/PeerLink.h"
#include "Transport/PeerOutbox.h"
#include "Transport/RequestMemory.h"

namespace almondspoke {

class AsioPeerTransport;

/** \brief One incoming connection from another instance.
 *
 * Reads the hello and then frames, and writes answers. To show that it is
 * alive, it writes something within mLivenessPeriod after the first byte of a
 * frame and otherwise at least every mIdleLivenessPeriod. Closes itself if no
 * hello arrives. The memory of an incomplete frame is charged to the account of
 * all sessions; if that is exhausted, the session with the largest frame is
 * closed. */
class PeerSession
  : public detail::RequestMemory::Request
  , public std::enable_shared_from_this<PeerSession>
{
public:
  PeerSession(asio::ip::tcp::socket aSocket,
              AsioPeerTransport& aTransport,
              PeerTraffic& aTraffic,
              const PeerTimings& aTimings,
              std::shared_ptr<detail::RequestMemory> aMemory);
  ~PeerSession() override;
  PeerSession(const PeerSession&) = delete;
  PeerSession& operator=(const PeerSession&) = delete;

  void Start();

  /** Closes the connection, since another one needs its place. Thread-safe. */
  void Displace();

  /** Queues an encoded answer; drops it if the connection is closed or the
   * queue is full. Thread-safe. */
  void Send(std::string aEncoded);

  bool MayBeRefused() const override { return true; }
  void Refuse(std::optional<Error> aError) override;

private:
  static constexpr std::size_t kReadBytes = 16UL * 1024UL;

  void WaitForHello();
  void Read();
  /** Handles the complete frames that were read. Returns whether the connection
   * is still open. */
  bool HandleFrames();
  /** Charges the incomplete frame that is left. */
  void ChargeIncomplete();
  Result<std::size_t> FrameLength(std::size_t aOffset) const;
  void RejectSoon(Error aError);
  bool HandleHello(std::string_view aBody);
  bool HandleFrame(std::string_view aBody);
  void Reject(const Error& aError);
  void Close();
  /** Queues the answers of the outbox and begins to write them. */
  void Flush();
  void WriteQueued();
  void OnFrameBegins();
  void ScheduleLiveness();

  asio::ip::tcp::socket mSocket;
  AsioPeerTransport& mTransport;
  PeerTraffic& mTraffic;
  const PeerTimings mTimings;
  const std::shared_ptr<detail::RequestMemory> mMemory;
  bool mIsCharged = false;
  std::array<char, kReadBytes> mRead{};
  /** Bytes that were read and do not yet hold a complete frame. */
  std::string mIncoming;
  InstanceName mFrom;
  bool mAcceptsAnswers = false;
  bool mSupportsIdleInterval = false;
  bool mInsideFrame = false;
  /** Whether part of a frame was received since the last write began. */
  bool mIsLivenessDue = true;
  /** Timeout of the hello first, then the time of the next liveness write. */
  asio::steady_timer mTimer;
  PeerOutbox mOutbox;
  std::string mQueued;
  std::size_t mQueuedFrames = 0;
  std::string mWriting;
  std::size_t mWritingFrames = 0;
};

}
