#include "StandIn/LinkForwarder.h"

#include <array>
#include <cmath>
#include <cstddef>
#include <deque>
#include <string>
#include <utility>

#include <asio/buffer.hpp>
#include <asio/steady_timer.hpp>
#include <asio/strand.hpp>
#include <asio/write.hpp>

namespace almondspoke {

namespace {

constexpr std::size_t kChunkBytes = 64UL * 1024UL;
constexpr std::size_t kMaxBufferedBytes = 4UL * 1024UL * 1024UL;
constexpr std::chrono::milliseconds kPausePollInterval{ 5 };

/** \brief Bytes in transit and the time at which they are delivered. */
struct Chunk
{
  std::chrono::steady_clock::time_point mArrival;
  std::string mBytes;
};

/** \brief One direction of a forwarded connection. */
class OneWayRelay : public std::enable_shared_from_this<OneWayRelay>
{
public:
  OneWayRelay(std::shared_ptr<asio::ip::tcp::socket> aFrom,
              std::shared_ptr<asio::ip::tcp::socket> aTo,
              std::shared_ptr<LinkConditions> aConditions,
              std::atomic<bool> LinkConditions::*aIsDirectionPaused,
              double aSilenceThreshold)
    : mFrom(std::move(aFrom))
    , mTo(std::move(aTo))
    , mConditions(std::move(aConditions))
    , mIsDirectionPaused(aIsDirectionPaused)
    , mOpenedGeneration(mConditions->mSilencedGeneration)
    , mSilenceThreshold(aSilenceThreshold)
    , mReadTimer(mFrom->get_executor())
    , mWriteTimer(mFrom->get_executor())
  {
  }

  void Read()
  {
    if (IsPaused() || mBufferedBytes >= kMaxBufferedBytes) {
      Wait(mReadTimer, kPausePollInterval, &OneWayRelay::Read);
      return;
    }
    mFrom->async_read_some(
      asio::buffer(mBuffer),
      [self = shared_from_this()](asio::error_code aError, std::size_t aSize) {
        self->OnRead(aError, aSize);
      });
  }

private:
  bool IsPaused() const
  {
    const bool isSilenced =
      mConditions->mSilencedGeneration != mOpenedGeneration &&
      mSilenceThreshold < mConditions->mSilencedShare;
    return isSilenced || ((*mConditions).*mIsDirectionPaused).load();
  }

  void Wait(asio::steady_timer& aTimer,
            std::chrono::steady_clock::duration aTime,
            void (OneWayRelay::*aNext)())
  {
    aTimer.expires_after(aTime);
    aTimer.async_wait(
      [self = shared_from_this(), aNext](asio::error_code aError) {
        if (!aError) {
          (self.get()->*aNext)();
        }
      });
  }

  void OnRead(asio::error_code aError, std::size_t aSize)
  {
    if (aError) {
      mEnded = true;
      if (!mWriting) {
        Deliver();
      }
      return;
    }
    const std::chrono::microseconds delay(mConditions->mDelayMicroseconds);
    mChunks.push_back({ std::chrono::steady_clock::now() + delay,
                        std::string(mBuffer.data(), aSize) });
    mBufferedBytes += aSize;
    if (!mWriting) {
      Deliver();
    }
    Read();
  }

  void Deliver()
  {
    mWriting = true;
    if (mChunks.empty()) {
      mWriting = false;
      if (mEnded) {
        asio::error_code ignored;
        mTo->shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
      }
      return;
    }
    if (IsPaused()) {
      Wait(mWriteTimer, kPausePollInterval, &OneWayRelay::Deliver);
      return;
    }
    const auto now = std::chrono::steady_clock::now();
    if (mChunks.front().mArrival > now) {
      Wait(mWriteTimer, mChunks.front().mArrival - now, &OneWayRelay::Deliver);
      return;
    }
    asio::async_write(
      *mTo,
      asio::buffer(mChunks.front().mBytes),
      [self = shared_from_this()](asio::error_code aError, std::size_t) {
        if (aError) {
          asio::error_code ignored;
          self->mFrom->close(ignored);
          return;
        }
        self->mBufferedBytes -= self->mChunks.front().mBytes.size();
        self->mChunks.pop_front();
        self->Deliver();
      });
  }

  std::shared_ptr<asio::ip::tcp::socket> mFrom;
  std::shared_ptr<asio::ip::tcp::socket> mTo;
  std::shared_ptr<LinkConditions> mConditions;
  std::atomic<bool> LinkConditions::*mIsDirectionPaused;
  std::uint64_t mOpenedGeneration;
  /** The connection is silenced if this value, 0 to 1, is below
   * LinkConditions::mSilencedShare. */
  double mSilenceThreshold;
  asio::steady_timer mReadTimer;
  asio::steady_timer mWriteTimer;
  std::array<char, kChunkBytes> mBuffer{};
  std::deque<Chunk> mChunks;
  std::size_t mBufferedBytes = 0;
  bool mWriting = false;
  bool mEnded = false;
};

}

LinkForwarder::LinkForwarder(asio::io_context& aContext,
                             asio::ip::tcp::endpoint aListen,
                             asio::ip::tcp::endpoint aTarget,
                             std::shared_ptr<LinkConditions> aConditions)
  : mContext(aContext)
  , mListen(std::move(aListen))
  , mTarget(std::move(aTarget))
  , mConditions(std::move(aConditions))
  , mAcceptor(aContext)
{
}

Result<void>
LinkForwarder::Start()
{
  asio::error_code error;
  mAcceptor.open(mListen.protocol(), error);
  mAcceptor.set_option(asio::socket_base::reuse_address(true), error);
  mAcceptor.bind(mListen, error);
  if (!error) {
    mAcceptor.listen(asio::socket_base::max_listen_connections, error);
  }
  if (error) {
    return Error(ErrorKind::InvalidSettings,
                 "forward " + mListen.address().to_string() + ":" +
                   std::to_string(mListen.port()) + ": " + error.message());
  }
  Accept();
  return Success();
}

void
LinkForwarder::Stop()
{
  asio::error_code ignored;
  mAcceptor.close(ignored);
}

// The fractional parts of multiples of the golden ratio are evenly distributed
// for any number of connections, so the silenced share is met without random
// numbers.
double
LinkForwarder::NextSilenceThreshold()
{
  constexpr double kGoldenRatio = 0.6180339887498949;
  const double threshold = kGoldenRatio * static_cast<double>(++mConnections);
  return threshold - std::floor(threshold);
}

void
LinkForwarder::Accept()
{
  const auto strand = asio::make_strand(mContext);
  mAcceptor.async_accept(
    strand,
    [this, strand](asio::error_code aError, asio::ip::tcp::socket aSocket) {
      if (!mAcceptor.is_open()) {
        return;
      }
      Accept();
      if (aError) {
        return;
      }
      auto from = std::make_shared<asio::ip::tcp::socket>(std::move(aSocket));
      auto to = std::make_shared<asio::ip::tcp::socket>(strand);
      to->async_connect(
        mTarget,
        [conditions = mConditions,
         from,
         to,
         threshold = NextSilenceThreshold()](asio::error_code aConnectError) {
          if (aConnectError) {
            return;
          }
          asio::error_code ignored;
          from->set_option(asio::ip::tcp::no_delay(true), ignored);
          to->set_option(asio::ip::tcp::no_delay(true), ignored);
          std::make_shared<OneWayRelay>(
            from, to, conditions, &LinkConditions::mCutForward, threshold)
            ->Read();
          std::make_shared<OneWayRelay>(
            to, from, conditions, &LinkConditions::mCutBackward, threshold)
            ->Read();
        });
    });
}

}
