#include "Transport/PeerLink.h"

#include <algorithm>

#include <asio/buffer.hpp>
#include <asio/post.hpp>
#include <asio/read.hpp>
#include <asio/write.hpp>
#include <glog/logging.h>

#include "Transport/PeerFrameCodec.h"
#include "Transport/SocketOptions.h"

namespace almondspoke {

namespace {

constexpr std::size_t kMaxFramesPerWrite = 64;
constexpr std::chrono::milliseconds kInitialBackoff{ 20 };
constexpr unsigned kMaxBackoffDoublings = 5;

}

PeerLink::PeerLink(asio::io_context& aContext,
                   InstanceName aPeer,
                   asio::ip::tcp::endpoint aAddress,
                   std::string aHello,
                   PeerTraffic& aTraffic,
                   AnswerHandler aOnAnswer,
                   const PeerTimings& aTimings,
                   std::size_t aMaxQueuedBytes)
  : mStrand(asio::make_strand(aContext))
  , mPeer(std::move(aPeer))
  , mAddress(std::move(aAddress))
  , mHello(std::move(aHello))
  , mTraffic(aTraffic)
  , mTimings(aTimings)
  , mMaxQueuedBytes(aMaxQueuedBytes)
  , mSocket(mStrand)
  , mTimer(mStrand)
  , mRandom(std::random_device{}())
  , mOnAnswer(std::move(aOnAnswer))
{
}

void
PeerLink::Start()
{
  asio::post(mStrand, [self = shared_from_this()] { self->Connect(); });
}

void
PeerLink::Stop()
{
  asio::post(mStrand, [self = shared_from_this()] {
    self->mStopped = true;
    self->mConnected = false;
    self->mTimer.cancel();
    asio::error_code ignored;
    self->mSocket.close(ignored);
  });
}

void
PeerLink::Send(std::string aEncoded)
{
  if (!mConnected) {
    ++mTraffic.mFramesDropped;
    return;
  }
  if (mOutbox.Add(std::move(aEncoded))) {
    asio::post(mStrand, [self = shared_from_this()] { self->Flush(); });
  }
}

void
PeerLink::Flush()
{
  for (std::string& frame : mOutbox.TakeAll()) {
    const bool full = mQueuedBytes + frame.size() > mMaxQueuedBytes;
    if (!mConnected || full) {
      ++mTraffic.mFramesDropped;
      continue;
    }
    mQueuedBytes += frame.size();
    mQueue.push_back(std::move(frame));
  }
  if (mWriting.empty() && !mQueue.empty()) {
    WriteQueued();
  }
}

void
PeerLink::Connect()
{
  if (mStopped) {
    return;
  }
  if (!mWriting.empty()) {
    // The aborted write on the previous connection has not completed yet.
    ScheduleReconnect();
    return;
  }
  mSocket = asio::ip::tcp::socket(mStrand);
  mTimer.expires_after(mTimings.mConnectTimeout);
  mTimer.async_wait([self = shared_from_this()](asio::error_code aError) {
    if (!aError && !self->mConnected) {
      asio::error_code ignored;
      self->mSocket.close(ignored);
    }
  });
  mSocket.async_connect(mAddress,
                        [self = shared_from_this()](asio::error_code aError) {
                          if (self->mStopped) {
                            return;
                          }
                          if (aError) {
                            self->ScheduleReconnect();
                            return;
                          }
                          self->OnConnected();
                        });
}

void
PeerLink::OnConnected()
{
  mTimer.cancel();
  ApplySocketOptions(mSocket, mTimings.mUserTimeout);
  mFailures = 0;
  mQueue.clear();
  mQueue.push_back(mHello);
  mQueuedBytes = mHello.size();
  ++mConnections;
  mConnected = true;
  LOG(INFO) << "event=peer-connected peer=" << mPeer;
  mLastReceived = std::chrono::steady_clock::now();
  mUnansweredSince.reset();
  mIncoming.clear();
  ReadAnswers();
  ScheduleLivenessCheck();
  WriteQueued();
}

void
PeerLink::OnConnectionLost(const std::string& aReason)
{
  if (!mConnected) {
    return;
  }
  mConnected = false;
  mTraffic.mFramesDropped += mQueue.size();
  mQueue.clear();
  mQueuedBytes = 0;
  asio::error_code ignored;
  mSocket.close(ignored);
  if (mStopped) {
    return;
  }
  LOG(WARNING) << "event=peer-connection-lost peer=" << mPeer << " reason=\""
               << aReason << '"';
  ++mTraffic.mReconnects;
  ScheduleReconnect();
}

void
PeerLink::ScheduleReconnect()
{
  const unsigned doublings = std::min(mFailures, kMaxBackoffDoublings);
  ++mFailures;
  const std::chrono::milliseconds maxDelay =
    std::min(mTimings.mMaxReconnectDelay, kInitialBackoff * (1U << doublings));
  std::uniform_int_distribution<std::int64_t> jitter(maxDelay.count() / 2,
                                                     maxDelay.count());
  mTimer.expires_after(std::chrono::milliseconds(jitter(mRandom)));
  mTimer.async_wait([self = shared_from_this()](asio::error_code aError) {
    if (!aError) {
      self->Connect();
    }
  });
}

void
PeerLink::WriteQueued()
{
  const std::size_t count = std::min(mQueue.size(), kMaxFramesPerWrite);
  std::vector<asio::const_buffer> buffers;
  buffers.reserve(count);
  for (std::size_t i = 0; i < count; ++i) {
    mWriting.push_back(std::move(mQueue.front()));
    mQueue.pop_front();
  }
  if (!mUnansweredSince) {
    mUnansweredSince = std::chrono::steady_clock::now();
  }
  std::size_t bytes = 0;
  for (const std::string& frame : mWriting) {
    buffers.emplace_back(frame.data(), frame.size());
    bytes += frame.size();
  }
  asio::async_write(
    mSocket,
    buffers,
    [self = shared_from_this(), bytes](asio::error_code aError, std::size_t) {
      const std::size_t frames = self->mWriting.size();
      self->mWriting.clear();
      if (aError) {
        self->OnConnectionLost(aError.message());
        return;
      }
      self->mQueuedBytes -= std::min(self->mQueuedBytes, bytes);
      self->mTraffic.mFramesSent += frames;
      self->mTraffic.mBytesSent += bytes;
      if (!self->mQueue.empty()) {
        self->WriteQueued();
      }
    });
}

void
PeerLink::ReadAnswers()
{
  mSocket.async_read_some(
    asio::buffer(mRead),
    [self = shared_from_this()](asio::error_code aError, std::size_t aBytes) {
      if (aError == asio::error::operation_aborted) {
        return;
      }
      if (aError) {
        self->OnConnectionLost(aError.message());
        return;
      }
      if (!self->mConnected) {
        return;
      }
      self->mLastReceived = std::chrono::steady_clock::now();
      self->mUnansweredSince.reset();
      self->mIncoming.append(self->mRead.data(), aBytes);
      if (self->HandleAnswers()) {
        self->ReadAnswers();
      }
    });
}

bool
PeerLink::HandleAnswers()
{
  std::size_t offset = 0;
  while (mIncoming.size() - offset >= kPeerLengthBytes) {
    std::array<char, kPeerLengthBytes> bytes{};
    std::copy_n(mIncoming.data() + offset, kPeerLengthBytes, bytes.begin());
    const Result<std::size_t> length = DecodePeerLength(bytes);
    if (length.has_error()) {
      OnConnectionLost(length.error().Message());
      return false;
    }
    const std::size_t frameBytes = kPeerLengthBytes + length.value();
    if (mIncoming.size() - offset < frameBytes) {
      break;
    }
    const std::string_view body(mIncoming.data() + offset + kPeerLengthBytes,
                                length.value());
    offset += frameBytes;
    if (body.empty()) {
      continue;
    }
    const Result<PeerFrame> frame = DecodePeerFrame(body);
    if (frame.has_error()) {
      OnConnectionLost(frame.error().Message());
      return false;
    }
    ++mTraffic.mFramesReceived;
    mTraffic.mBytesReceived += frameBytes;
    mOnAnswer(frame.value());
  }
  mIncoming.erase(0, offset);
  return true;
}

void
PeerLink::ScheduleLivenessCheck()
{
  mTimer.expires_after(mTimings.mLivenessPeriod);
  mTimer.async_wait([self = shared_from_this()](asio::error_code aError) {
    if (aError || !self->mConnected) {
      return;
    }
    if (self->IsTimedOut()) {
      self->OnConnectionLost("silent");
      return;
    }
    self->ScheduleLivenessCheck();
  });
}

bool
PeerLink::IsTimedOut() const
{
  const auto now = std::chrono::steady_clock::now();
  return (mUnansweredSince &&
          now - *mUnansweredSince >= mTimings.mSilenceTimeout) ||
         now - mLastReceived >= mTimings.mIdleSilenceTimeout;
}

}
