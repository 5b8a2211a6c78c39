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
#include "Transport/PeerTransport.h"

namespace almondspoke {

/** \brief Counters of the frames that went over all links. */
struct PeerTraffic
{
  std::atomic<std::uint64_t> mFramesSent{ 0 };
  std::atomic<std::uint64_t> mBytesSent{ 0 };
  std::atomic<std::uint64_t> mFramesReceived{ 0 };
  std::atomic<std::uint64_t> mBytesReceived{ 0 };
  std::atomic<std::uint64_t> mFramesDropped{ 0 };
  std::atomic<std::uint64_t> mReconnects{ 0 };
};

/** Time after a frame within which the receiving end of a connection writes
 * something back, so that the sending end knows that it is still there. */
constexpr std::chrono::milliseconds kPeerLivenessPeriod{ 1000 };

/** The same on a connection without frames, to a sending end that allows it. */
constexpr std::chrono::milliseconds kPeerIdleLivenessPeriod{ 10'000 };

/** \brief Times after which a connection between instances is given up, and
 * the intervals of the signs of life that keep it; the same on both ends. */
struct PeerTimings
{
  std::chrono::milliseconds mConnectTimeout{ 1000 };
  /** Longest pause between two attempts to connect. */
  std::chrono::milliseconds mLongestBackoff{ 400 };
  /** Time after which unacknowledged data ends a connection. */
  std::chrono::milliseconds mUserTimeout{ 1500 };
  /** Time after a write without a byte from the receiving end that ends a
   * connection, for where something between the two ends acknowledges what it
   * loses. */
  std::chrono::milliseconds mSilenceTimeout{ 2500 };
  /** The same on a connection without writes. */
  std::chrono::milliseconds mIdleSilenceTimeout{ 12'500 };
  /** Time after a frame within which the receiving end writes something back.
   */
  std::chrono::milliseconds mLivenessPeriod{ kPeerLivenessPeriod };
  /** The same on a connection without frames. */
  std::chrono::milliseconds mIdleLivenessPeriod{ kPeerIdleLivenessPeriod };
};

/** Bytes that may wait to be written on a connection; more is dropped. */
constexpr std::size_t kMaxQueuedPeerBytes = 96UL * 1024UL * 1024UL;

/** \brief The outgoing connection to one other instance.
 *
 * Connects on Start(), reconnects with jittered backoff, and writes queued
 * frames in batches. Answers to them come back on it. A connection whose data
 * stays unacknowledged for the user timeout is dropped by the kernel and opened
 * anew. */
class PeerLink : public std::enable_shared_from_this<PeerLink>
{
public:
  /** Receives the answers that come back on the connection. */
  using AnswerHandler = std::function<void(const PeerFrame& aFrame)>;

  PeerLink(asio::io_context& aContext,
           InstanceName aPeer,
           asio::ip::tcp::endpoint aAddress,
           std::string aHello,
           PeerTraffic& aTraffic,
           AnswerHandler aOnAnswer,
           const PeerTimings& aTimings = {});

  void Start();
  void Stop();

  /** Queues an encoded frame; drops it if no connection is open or the queue
   * is full. Thread-safe. */
  void Send(std::string aEncoded);

  bool IsConnected() const { return mConnected.load(); }

  /** Number of the open connection, or zero. */
  std::uint64_t ConnectionNumber() const
  {
    return mConnected ? mConnections.load() : 0;
  }

private:
  void Connect();
  void OnConnected();
  void OnConnectionLost(const std::string& aReason);
  void ScheduleReconnect();
  void WriteQueued();
  void ReadAnswers();
  /** Handles the whole answers that have been read; false if the connection
   * has been ended for a fault. */
  bool HandleAnswers();
  void WatchForSilence();
  bool IsSilent() const;

  static constexpr std::size_t kReadBytes = 4096;

  asio::strand<asio::io_context::executor_type> mStrand;
  InstanceName mPeer;
  asio::ip::tcp::endpoint mAddress;
  std::string mHello;
  PeerTraffic& mTraffic;
  const PeerTimings mTimings;

  asio::ip::tcp::socket mSocket;
  asio::steady_timer mTimer;
  std::minstd_rand mRandom;
  std::deque<std::string> mQueue;
  std::vector<std::string> mWriting;
  std::size_t mQueuedBytes = 0;
  std::array<char, kReadBytes> mRead{};
  std::string mIncoming;
  AnswerHandler mOnAnswer;
  std::chrono::steady_clock::time_point mLastHeard{};
  /** Time of the first write since the last byte was heard. */
  std::optional<std::chrono::steady_clock::time_point> mAwaitingSince;
  unsigned mFailures = 0;
  bool mStopped = false;
  std::atomic<bool> mConnected{ false };
  std::atomic<std::uint64_t> mConnections{ 0 };
};

}
