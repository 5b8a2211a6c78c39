#include "Transport/PeerSession.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include <asio/post.hpp>
#include <asio/write.hpp>
#include <glog/logging.h>

#include "Transport/AsioPeerTransport.h"

namespace almondspoke {

namespace {

// A larger buffer is freed once its frames were handled.
constexpr std::size_t kMaxRetainedBufferBytes = 16UL * 1024UL;

/** Size of an incomplete frame from which on it is charged. Smaller ones are
 * bounded by the number of sessions. */
constexpr std::size_t kMinChargedBytes = 4096;

/** Maximum size of a hello: nothing is known of its sender yet. */
constexpr std::size_t kMaxHelloBytes = 4096;

/** Time within which the hello has to arrive. The connecting end closes a
 * connection on which it receives nothing earlier than that. */
constexpr std::chrono::seconds kHelloTimeout{ 5 };

/** Least time between two log lines of rejections. */
constexpr double kRejectionLogSeconds = 0.2;

}

PeerSession::PeerSession(asio::ip::tcp::socket aSocket,
                         AsioPeerTransport& aTransport,
                         PeerTraffic& aTraffic,
                         const PeerTimings& aTimings,
                         std::shared_ptr<detail::RequestMemory> aMemory)
  : mSocket(std::move(aSocket))
  , mTransport(aTransport)
  , mTraffic(aTraffic)
  , mTimings(aTimings)
  , mMemory(std::move(aMemory))
  , mTimer(mSocket.get_executor())
{
}

PeerSession::~PeerSession()
{
  mMemory->Remove(*this);
}

void
PeerSession::Displace()
{
  RejectSoon(Error(ErrorKind::QueueFull,
                   "another connection needs the place of this one, which has "
                   "named no instance or was silent for the longest time"));
}

// Called with the account locked, on the thread of any session.
void
PeerSession::Refuse(std::optional<Error> aError)
{
  RejectSoon(std::move(*aError));
}

void
PeerSession::RejectSoon(Error aError)
{
  asio::post(mSocket.get_executor(),
             [weak = weak_from_this(), error = std::move(aError)] {
               const auto self = weak.lock();
               if (self && self->mSocket.is_open()) {
                 self->Reject(error);
               }
             });
}

void
PeerSession::Start()
{
  asio::post(mSocket.get_executor(), [self = shared_from_this()] {
    self->Read();
    self->WaitForHello();
  });
}

void
PeerSession::WaitForHello()
{
  mTimer.expires_after(kHelloTimeout);
  mTimer.async_wait([self = shared_from_this()](asio::error_code aError) {
    if (!aError && self->mFrom.empty()) {
      self->Close();
    }
  });
}

void
PeerSession::Send(std::string aEncoded)
{
  if (mOutbox.Add(std::move(aEncoded))) {
    asio::post(mSocket.get_executor(),
               [self = shared_from_this()] { self->Flush(); });
  }
}

void
PeerSession::Flush()
{
  for (const std::string& frame : mOutbox.TakeAll()) {
    const bool full =
      mQueued.size() + frame.size() > mTransport.mLimits.mMaxQueuedBytes;
    if (!mSocket.is_open() || full) {
      ++mTraffic.mFramesDropped;
      continue;
    }
    mQueued += frame;
    ++mQueuedFrames;
  }
  WriteQueued();
}

void
PeerSession::Read()
{
  mSocket.async_read_some(
    asio::buffer(mRead),
    [self = shared_from_this()](asio::error_code aError, std::size_t aBytes) {
      if (aError) {
        self->Close();
        return;
      }
      self->OnFrameBegins();
      self->mTransport.mSessions.Touch(*self);
      self->mIncoming.append(self->mRead.data(), aBytes);
      if (self->HandleFrames()) {
        self->Read();
      }
    });
}

bool
PeerSession::HandleFrames()
{
  std::size_t offset = 0;
  while (mIncoming.size() - offset >= kPeerLengthBytes) {
    const Result<std::size_t> length = FrameLength(offset);
    if (length.has_error()) {
      Reject(length.error());
      return false;
    }
    const std::size_t frameBytes = kPeerLengthBytes + length.value();
    if (mIncoming.size() - offset < frameBytes) {
      break;
    }
    const std::string_view body(mIncoming.data() + offset + kPeerLengthBytes,
                                length.value());
    offset += frameBytes;
    const bool handled = mFrom.empty() ? HandleHello(body) : HandleFrame(body);
    if (!handled) {
      return false;
    }
  }
  mIncoming.erase(0, offset);
  mInsideFrame = !mIncoming.empty();
  if (!mInsideFrame && mIncoming.capacity() > kMaxRetainedBufferBytes) {
    mIncoming = std::string();
  }
  ChargeIncomplete();
  return true;
}

Result<std::size_t>
PeerSession::FrameLength(std::size_t aOffset) const
{
  std::array<char, kPeerLengthBytes> bytes{};
  std::copy_n(mIncoming.data() + aOffset, kPeerLengthBytes, bytes.begin());
  BOOST_OUTCOME_TRY(length, DecodePeerLength(bytes));
  if (mFrom.empty() && length > kMaxHelloBytes) {
    return Error(ErrorKind::BodyTooLarge,
                 "hello of " + std::to_string(length) +
                   " bytes (allowed: at most " +
                   std::to_string(kMaxHelloBytes) + ")");
  }
  return length;
}

void
PeerSession::ChargeIncomplete()
{
  if (mIncoming.size() >= kMinChargedBytes) {
    mIsCharged = true;
    mMemory->Update(
      *this, mIncoming.size(), detail::RequestMemory::Time::max());
  } else if (std::exchange(mIsCharged, false)) {
    mMemory->Remove(*this);
  }
}

bool
PeerSession::HandleHello(std::string_view aBody)
{
  const Result<PeerHello> hello = DecodePeerHello(aBody);
  if (hello.has_error()) {
    Reject(hello.error());
    return false;
  }
  const InstanceName& name = hello.value().mIdentity.mName;
  if (!mTransport.IsPeer(name)) {
    Reject(Error(ErrorKind::AddressNotAllowed,
                 "instance '" + name + "' is not in the settings"));
    return false;
  }
  mFrom = name;
  mAcceptsAnswers = hello.value().mAcceptsAnswers;
  mSupportsIdleInterval = hello.value().mSupportsIdleInterval;
  mTransport.mSessions.Name(shared_from_this(), mFrom, mAcceptsAnswers);
  // Liveness bytes must not be sent before the hello, which tells whether the
  // other end reads frames. If it does, a single byte would misalign all frames
  // that follow.
  ScheduleLiveness();
  return true;
}

bool
PeerSession::HandleFrame(std::string_view aBody)
{
  const Result<PeerFrame> frame = DecodePeerFrame(aBody);
  if (frame.has_error()) {
    Reject(frame.error());
    return false;
  }
  ++mTraffic.mFramesReceived;
  mTraffic.mBytesReceived += aBody.size() + kPeerLengthBytes;
  mTransport.Deliver(mFrom, frame.value());
  return true;
}

void
PeerSession::Reject(const Error& aError)
{
  LOG_EVERY_T(WARNING, kRejectionLogSeconds)
    << "event=peer-rejected peer=" << mFrom << " reason=\"" << aError.Message()
    << '"';
  Close();
}

void
PeerSession::Close()
{
  mTransport.mSessions.Remove(*this);
  mMemory->Remove(*this);
  mIncoming = std::string();
  mTraffic.mFramesDropped += std::exchange(mQueuedFrames, 0);
  mQueued.clear();
  mTimer.cancel();
  asio::error_code ignored;
  mSocket.close(ignored);
}

void
PeerSession::WriteQueued()
{
  if (!mWriting.empty() || mQueued.empty()) {
    return;
  }
  mIsLivenessDue = mInsideFrame;
  mWriting.swap(mQueued);
  mWritingFrames = std::exchange(mQueuedFrames, 0);
  asio::async_write(
    mSocket,
    asio::buffer(mWriting),
    [self = shared_from_this()](asio::error_code aError, std::size_t aBytes) {
      self->mWriting = std::string();
      if (aError) {
        self->Close();
        return;
      }
      self->mTraffic.mFramesSent += self->mWritingFrames;
      self->mTraffic.mBytesSent += aBytes;
      self->ScheduleLiveness();
      self->WriteQueued();
    });
}

void
PeerSession::OnFrameBegins()
{
  mInsideFrame = true;
  if (std::exchange(mIsLivenessDue, true) || !mSupportsIdleInterval) {
    return;
  }
  ScheduleLiveness();
}

void
PeerSession::ScheduleLiveness()
{
  // Cancels the wait that is in progress, if any.
  mTimer.expires_after(mIsLivenessDue || !mSupportsIdleInterval
                         ? mTimings.mLivenessPeriod
                         : mTimings.mIdleLivenessPeriod);
  mTimer.async_wait([self = shared_from_this()](asio::error_code aError) {
    if (aError || !self->mSocket.is_open() || !self->mWriting.empty()) {
      return;
    }
    self->mIsLivenessDue = self->mInsideFrame;
    self->mWriting.assign(PeerLivenessBytes(self->mAcceptsAnswers), '\0');
    asio::async_write(self->mSocket,
                      asio::buffer(self->mWriting),
                      [self](asio::error_code aWriteError, std::size_t) {
                        self->mWriting.clear();
                        if (aWriteError) {
                          self->Close();
                          return;
                        }
                        self->ScheduleLiveness();
                        self->WriteQueued();
                      });
  });
}

}
