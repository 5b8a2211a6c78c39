#pragma once

#include <array>
#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <asio/strand.hpp>

#include "Base/InstanceIdentity.h"
#include "Transport/PeerOutbox.h"
#include "Transport/PeerTransport.h"

namespace almondspoke {

/** \brief Traffic counters of all peer connections. */
struct PeerTraffic
{
  std::atomic<std::uint64_t> mFramesSent{ 0 };
  std::atomic<std::uint64_t> mBytesSent{ 0 };
  std::atomic<std::uint64_t> mFramesReceived{ 0 };
  std::atomic<std::uint64_t> mBytesReceived{ 0 };
  std::atomic<std::uint64_t> mFramesDropped{ 0 };
  std::atomic<std::uint64_t> mReconnects{ 0 };
};

/** Time within which the receiving end of a connection writes something back
 * after a frame, so that the sending end knows that it is still alive. */
constexpr std::chrono::milliseconds kPeerLivenessPeriod{ 1000 };

/** The same for an idle connection, if the sending end supports it. */
constexpr std::chrono::milliseconds kPeerIdleLivenessPeriod{ 10'000 };

/** \brief Timeouts and keepalive intervals of connections between instances.
 * Both ends of a connection must use the same values. */
struct PeerTimings
{
  std::chrono::milliseconds mConnectTimeout{ 1000 };
  /** Maximum delay between two attempts to connect. */
  std::chrono::milliseconds mMaxReconnectDelay{ 400 };
  /** Time after which unacknowledged data closes a connection. */
  std::chrono::milliseconds mUserTimeout{ 1500 };
  /** Time after a write within which the receiving end must send a byte, or
   * else the connection is closed. Detects a device between the two ends that
   * acknowledges data and then loses it. */
  std::chrono::milliseconds mSilenceTimeout{ 2500 };
  /** The same for a connection without writes. */
  std::chrono::milliseconds mIdleSilenceTimeout{ 12'500 };
  /** Time within which the receiving end writes something back after a frame.
   */
  std::chrono::milliseconds mLivenessPeriod{ kPeerLivenessPeriod };
  /** The same for a connection without frames. */
  std::chrono::milliseconds mIdleLivenessPeriod{ kPeerIdleLivenessPeriod };
};

/** \brief Limits on what connections between instances take. */
struct PeerLimits
{
  /** Maximum number of incoming connections. One more closes the least useful.
   */
  std::size_t mMaxSessions = 512;
  /** Maximum memory of incomplete frames on all incoming connections. */
  std::size_t mMaxFrameBytes = 128UL * 1024UL * 1024UL;
  /** Maximum size of a connection's write queue; further frames are dropped. */
  std::size_t mMaxQueuedBytes = 96UL * 1024UL * 1024UL;
  /** Length of the listen queue, and receive buffer of each incoming
   * connection; zero for the system's. */
  std::size_t mListenQueue = 0;
  std::size_t mReceiveBufferBytes = 0;
};

/** \brief The outgoing connection to one other instance.
 *
 * Connects on Start(), reconnects with jittered backoff, writes queued frames
 * in batches and receives the answers to them. If data stays unacknowledged for
 * the user timeout, the kernel closes the connection and it is opened again. */
class PeerLink : public std::enable_shared_from_this<PeerLink>
{
public:
  /** Called for each answer that is received on the connection. */
  using AnswerHandler = std::function<void(const PeerFrame& aFrame)>;

  PeerLink(asio::io_context& aContext,
           InstanceName aPeer,
           asio::ip::tcp::endpoint aAddress,
           std::string aHello,
           PeerTraffic& aTraffic,
           AnswerHandler aOnAnswer,
           const PeerTimings& aTimings = {},
           std::size_t aMaxQueuedBytes = PeerLimits{}.mMaxQueuedBytes);

  void Start();
  void Stop();

  /** Queues an encoded frame; drops it if no connection is open or the queue
   * is full. Thread-safe. */
  void Send(std::string aEncoded);

  bool IsConnected() const { return mConnected.load(); }

  /** Returns the sequence number of the open connection, or zero. */
  std::uint64_t ConnectionNumber() const
  {
    return mConnected ? mConnections.load() : 0;
  }

private:
  void Connect();
  void OnConnected();
  void OnConnectionLost(const std::string& aReason);
  void ScheduleReconnect();
  /** Queues the frames of the outbox and begins to write them. */
  void Flush();
  void WriteQueued();
  void ReadAnswers();
  /** Handles all answers that have been read completely. Returns false if the
   * connection was closed because of an error. */
  bool HandleAnswers();
  void ScheduleLivenessCheck();
  bool IsTimedOut() const;

  static constexpr std::size_t kReadBytes = 16UL * 1024UL;

  asio::strand<asio::io_context::executor_type> mStrand;
  InstanceName mPeer;
  asio::ip::tcp::endpoint mAddress;
  std::string mHello;
  PeerTraffic& mTraffic;
  const PeerTimings mTimings;
  const std::size_t mMaxQueuedBytes;

  asio::ip::tcp::socket mSocket;
  asio::steady_timer mTimer;
  std::minstd_rand mRandom;
  PeerOutbox mOutbox;
  std::deque<std::string> mQueue;
  std::vector<std::string> mWriting;
  std::size_t mQueuedBytes = 0;
  std::array<char, kReadBytes> mRead{};
  std::string mIncoming;
  AnswerHandler mOnAnswer;
  std::chrono::steady_clock::time_point mLastReceived{};
  /** Time of the first write since a byte was last received. */
  std::optional<std::chrono::steady_clock::time_point> mUnansweredSince;
  unsigned mFailures = 0;
  bool mStopped = false;
  std::atomic<bool> mConnected{ false };
  std::atomic<std::uint64_t> mConnections{ 0 };
};

}
