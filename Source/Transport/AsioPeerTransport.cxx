#include "Transport/AsioPeerTransport.h"

#include <algorithm>
#include <utility>

#include <asio/post.hpp>
#include <asio/strand.hpp>

#include "Transport/PeerFrameCodec.h"
#include "Transport/PeerSession.h"
#include "Transport/SocketOptions.h"

namespace almondspoke {

namespace {

/** Limit on the number of links. Keeps a peer that sends made-up instance names
 * from exhausting the file descriptors. */
constexpr std::size_t kMaxLinks = 512;

constexpr std::chrono::milliseconds kAcceptRetry{ 100 };

}

AsioPeerTransport::AsioPeerTransport(asio::io_context& aContext,
                                     InstanceIdentity aSelf,
                                     asio::ip::tcp::endpoint aListen,
                                     const std::vector<PeerAddress>& aPeers,
                                     const PeerTimings& aTimings,
                                     const PeerLimits& aLimits)
  : mContext(aContext)
  , mSelf(std::move(aSelf))
  , mListen(std::move(aListen))
  , mAcceptor(aContext)
  , mAcceptTimer(aContext)
  , mTimings(aTimings)
  , mLimits(aLimits)
  , mHello(
      EncodePeerHello(PeerHello{ kPeerProtocolVersion, mSelf, true, true }))
  , mSessions(aLimits.mMaxSessions)
  , mFrameMemory(
      std::make_shared<detail::RequestMemory>(aLimits.mMaxFrameBytes))
{
  for (const PeerAddress& peer : aPeers) {
    if (peer.mName == mSelf.mName) {
      continue;
    }
    mLinks.emplace(peer.mName, MakeLink(peer));
  }
}

AsioPeerTransport::~AsioPeerTransport() = default;

std::shared_ptr<PeerLink>
AsioPeerTransport::MakeLink(const PeerAddress& aPeer) const
{
  return std::make_shared<PeerLink>(
    mContext,
    aPeer.mName,
    aPeer.mAddress,
    mHello,
    mTraffic,
    [this, name = aPeer.mName](const PeerFrame& aFrame) {
      Deliver(name, aFrame);
    },
    mTimings,
    mLimits.mMaxQueuedBytes);
}

void
AsioPeerTransport::AllowUnlistedPeers(PeerResolver aResolver)
{
  mResolver = std::move(aResolver);
}

std::shared_ptr<PeerLink>
AsioPeerTransport::ExistingLink(const InstanceName& aName) const
{
  const std::lock_guard<std::mutex> lock(mLinksMutex);
  const auto link = mLinks.find(aName);
  return link == mLinks.end() ? nullptr : link->second;
}

std::shared_ptr<PeerLink>
AsioPeerTransport::LinkTo(const InstanceName& aName) const
{
  const std::lock_guard<std::mutex> lock(mLinksMutex);
  const auto link = mLinks.find(aName);
  if (link != mLinks.end()) {
    return link->second;
  }
  if (!mResolver) {
    return nullptr;
  }
  const auto address = mResolver(aName);
  if (!address || (mLinks.size() >= kMaxLinks && !RemoveLostLink())) {
    return nullptr;
  }
  auto opened = MakeLink({ aName, *address });
  mLinks.emplace(aName, opened);
  opened->Start();
  return opened;
}

// Links to made-up names are never connected. One to an instance that is away
// is opened again on its next use.
bool
AsioPeerTransport::RemoveLostLink() const
{
  const auto lost =
    std::find_if(mLinks.begin(), mLinks.end(), [](const auto& aLink) {
      return !aLink.second->IsConnected();
    });
  if (lost == mLinks.end()) {
    return false;
  }
  lost->second->Stop();
  mLinks.erase(lost);
  return true;
}

Result<void>
AsioPeerTransport::Listen()
{
  asio::error_code error;
  mAcceptor.open(mListen.protocol(), error);
  if (!error) {
    mAcceptor.set_option(asio::socket_base::reuse_address(true), error);
  }
  if (!error) {
    mAcceptor.bind(mListen, error);
  }
  if (!error) {
    LimitReceiveBuffers(mAcceptor, mLimits.mReceiveBufferBytes);
    mAcceptor.listen(ListenQueueLength(mLimits.mListenQueue), error);
  }
  if (error) {
    return Error(ErrorKind::InvalidSettings,
                 "[listen] peers = " + mListen.address().to_string() + ":" +
                   std::to_string(mListen.port()) + ": " + error.message());
  }
  return Success();
}

void
AsioPeerTransport::Start()
{
  Accept();
  const std::lock_guard<std::mutex> lock(mLinksMutex);
  for (const auto& [name, link] : mLinks) {
    link->Start();
  }
}

void
AsioPeerTransport::Stop()
{
  asio::post(mContext, [this] {
    asio::error_code ignored;
    mAcceptor.close(ignored);
    mAcceptTimer.cancel();
  });
  const std::lock_guard<std::mutex> lock(mLinksMutex);
  for (const auto& [name, link] : mLinks) {
    link->Stop();
  }
}

void
AsioPeerTransport::Send(const InstanceName& aTo, PeerFrame aFrame)
{
  if (aTo == mSelf.mName) {
    asio::post(mContext, [this, frame = std::move(aFrame)] {
      Deliver(mSelf.mName, frame);
    });
    return;
  }
  const std::shared_ptr<PeerSession> session =
    aFrame.mIsAnswer ? mSessions.AnswersTo(aTo) : nullptr;
  if (session) {
    session->Send(EncodePeerFrame(aFrame));
    return;
  }
  const std::shared_ptr<PeerLink> link = LinkTo(aTo);
  if (!link) {
    ++mTraffic.mFramesDropped;
    return;
  }
  link->Send(EncodePeerFrame(aFrame));
}

bool
AsioPeerTransport::IsConnected(const InstanceName& aTo) const
{
  if (aTo == mSelf.mName) {
    return true;
  }
  const std::shared_ptr<PeerLink> link = LinkTo(aTo);
  return link && link->IsConnected();
}

std::uint64_t
AsioPeerTransport::ConnectionNumber(const InstanceName& aTo) const
{
  if (aTo == mSelf.mName) {
    return 1;
  }
  const std::shared_ptr<PeerLink> link = LinkTo(aTo);
  return link ? link->ConnectionNumber() : 0;
}

void
AsioPeerTransport::Subscribe(PeerChannel aChannel, Handler aHandler)
{
  mHandlers[static_cast<std::size_t>(aChannel)] = std::move(aHandler);
}

std::uint16_t
AsioPeerTransport::ListenPort() const
{
  return mAcceptor.local_endpoint().port();
}

void
AsioPeerTransport::Accept()
{
  mAcceptor.async_accept(
    asio::make_strand(mContext),
    [this](asio::error_code aError, asio::ip::tcp::socket aSocket) {
      if (aError == asio::error::operation_aborted || !mAcceptor.is_open()) {
        return;
      }
      if (!aError) {
        AcceptSession(std::move(aSocket));
        Accept();
        return;
      }
      // Without descriptors, for example, the next call fails at once.
      mAcceptTimer.expires_after(kAcceptRetry);
      mAcceptTimer.async_wait([this](asio::error_code aTimerError) {
        if (!aTimerError && mAcceptor.is_open()) {
          Accept();
        }
      });
    });
}

void
AsioPeerTransport::AcceptSession(asio::ip::tcp::socket aSocket)
{
  ApplySocketOptions(aSocket, mTimings.mUserTimeout);
  const auto session = std::make_shared<PeerSession>(
    std::move(aSocket), *this, mTraffic, mTimings, mFrameMemory);
  const std::shared_ptr<PeerSession> displaced = mSessions.Add(session);
  if (displaced) {
    displaced->Displace();
  }
  session->Start();
}

void
AsioPeerTransport::Deliver(const InstanceName& aFrom,
                           const PeerFrame& aFrame) const
{
  const Handler& handler = mHandlers[static_cast<std::size_t>(aFrame.mChannel)];
  if (handler) {
    handler(aFrom, aFrame);
  }
}

bool
AsioPeerTransport::IsPeer(const InstanceName& aName) const
{
  if (mResolver) {
    return mResolver(aName).has_value();
  }
  return ExistingLink(aName) != nullptr;
}

}
