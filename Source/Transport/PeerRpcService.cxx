#include "Transport/PeerRpcService.h"

#include <utility>

#include <glog/logging.h>

#include "Base/MessagePack.h"

namespace almondspoke {

namespace {

constexpr std::chrono::milliseconds kSweepPeriod{ 20 };

/** \brief A request, or the response to one, on the wire. */
struct RpcMessage
{
  std::uint64_t mId = 0;
  /** Incarnation of the caller. Responses to an earlier incarnation are
   * dropped.
   */
  std::uint64_t mIncarnation = 0;
  bool mIsResponse = false;
  /** Method of a request; name of the error kind of a failed response. */
  std::string mName;
  /** Request, response, or the message of the error. */
  std::string mBody;
  /** Delay after which to retry, or -1 for none. */
  std::int64_t mRetryAfterMilliseconds = -1;
  MSGPACK_DEFINE(mId,
                 mIncarnation,
                 mIsResponse,
                 mName,
                 mBody,
                 mRetryAfterMilliseconds)
};

RpcMessage
ToResponse(std::uint64_t aId,
           std::uint64_t aIncarnation,
           const Result<std::string>& aResult)
{
  if (aResult.has_value()) {
    return { aId, aIncarnation, true, "", aResult.value(), -1 };
  }
  const Error& error = aResult.error();
  const std::int64_t retryAfter =
    error.RetryAfter() ? error.RetryAfter()->count() : -1;
  return { aId,
           aIncarnation,
           true,
           std::string(error.Traits().mName),
           error.Message(),
           retryAfter };
}

Result<std::string>
FromResponse(RpcMessage aMessage)
{
  if (aMessage.mName.empty()) {
    return std::move(aMessage.mBody);
  }
  const ErrorKind kind =
    ErrorKindOf(aMessage.mName).value_or(ErrorKind::Internal);
  if (aMessage.mRetryAfterMilliseconds < 0) {
    return Error(kind, std::move(aMessage.mBody));
  }
  return Error(kind,
               std::move(aMessage.mBody),
               std::chrono::milliseconds(aMessage.mRetryAfterMilliseconds));
}

}

PeerRpcService::PeerRpcService(asio::io_context& aContext,
                               const Clock& aClock,
                               PeerTransport& aTransport,
                               const InstanceIdentity& aSelf)
  : mClock(aClock)
  , mTransport(aTransport)
  , mSelf(aSelf)
  , mTimer(aContext)
  , mNextId(1)
{
  mTransport.Subscribe(
    PeerChannel::Rpc,
    [this](const InstanceName& aFrom, const PeerFrame& aFrame) {
      OnFrame(aFrom, aFrame);
    });
}

void
PeerRpcService::Start()
{
  ScheduleSweep();
}

void
PeerRpcService::Stop()
{
  std::unordered_map<std::uint64_t, PendingCall> pending;
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    mStopped = true;
    pending.swap(mPending);
  }
  mTimer.cancel();
  for (auto& [id, call] : pending) {
    call.mDone(Error(ErrorKind::PeerTimeout,
                     "call of " + call.mMethod + " at instance '" + call.mTo +
                       "' was ended by the shutdown"));
  }
}

void
PeerRpcService::Call(const InstanceName& aTo,
                     const std::string& aMethod,
                     std::string aRequest,
                     std::chrono::milliseconds aTimeout,
                     Done aDone)
{
  const std::uint64_t connection = mTransport.ConnectionNumber(aTo);
  if (connection == 0) {
    aDone(Error(ErrorKind::PeerUnreachable,
                "no connection to instance '" + aTo + "'"));
    return;
  }
  std::uint64_t id = 0;
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    id = mNextId++;
    mPending.emplace(id,
                     PendingCall{ aTo,
                                  aMethod,
                                  mClock.MonotonicNow() + aTimeout,
                                  connection,
                                  std::move(aDone) });
  }
  const RpcMessage message{ id,      mSelf.mIncarnation,  false,
                            aMethod, std::move(aRequest), -1 };
  mTransport.Send(aTo, { PeerChannel::Rpc, 0, PackMessage(message) });
}

void
PeerRpcService::Register(const std::string& aMethod, Handler aHandler)
{
  mHandlers[aMethod] = std::move(aHandler);
}

void
PeerRpcService::OnFrame(const InstanceName& aFrom, const PeerFrame& aFrame)
{
  Result<RpcMessage> decoded = UnpackMessage<RpcMessage>(aFrame.mPayload);
  if (decoded.has_error()) {
    LOG(WARNING) << "event=rpc-malformed peer=" << aFrom;
    return;
  }
  RpcMessage& message = decoded.value();
  if (!message.mIsResponse) {
    const auto respond =
      [this, aFrom, id = message.mId, incarnation = message.mIncarnation](
        const Result<std::string>& aResult) {
        mTransport.Send(aFrom,
                        { PeerChannel::Rpc,
                          0,
                          PackMessage(ToResponse(id, incarnation, aResult)),
                          true });
      };
    const auto handler = mHandlers.find(message.mName);
    if (handler == mHandlers.end()) {
      respond(Error(ErrorKind::NotFound,
                    "unknown peer method '" + message.mName + "'"));
      return;
    }
    handler->second(aFrom, message.mBody, respond);
    return;
  }
  if (message.mIncarnation != mSelf.mIncarnation) {
    return;
  }
  Done done;
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    const auto call = mPending.find(message.mId);
    if (call == mPending.end() || call->second.mTo != aFrom) {
      return;
    }
    done = std::move(call->second.mDone);
    mPending.erase(call);
  }
  done(FromResponse(std::move(message)));
}

void
PeerRpcService::ScheduleSweep()
{
  mTimer.expires_after(kSweepPeriod);
  mTimer.async_wait([this](asio::error_code aError) {
    if (aError) {
      return;
    }
    EndExpiredCalls();
    ScheduleSweep();
  });
}

void
PeerRpcService::EndExpiredCalls()
{
  std::vector<PendingCall> expired;
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    if (mStopped) {
      return;
    }
    // A late sweep judges as of the time at which it was due: answers that have
    // arrived since may wait behind it.
    const auto lateness = std::chrono::steady_clock::now() - mTimer.expiry();
    const Clock::Monotonic now = mClock.MonotonicNow() - lateness;
    // Most calls are to a few peers.
    std::unordered_map<InstanceName, std::uint64_t> connections;
    const auto connectionTo = [&](const InstanceName& aPeer) {
      const auto [entry, isNew] = connections.try_emplace(aPeer, 0);
      if (isNew) {
        entry->second = mTransport.ConnectionNumber(aPeer);
      }
      return entry->second;
    };
    for (auto call = mPending.begin(); call != mPending.end();) {
      const bool connected =
        connectionTo(call->second.mTo) == call->second.mConnection;
      if (connected && call->second.mDeadline > now) {
        ++call;
        continue;
      }
      expired.push_back(std::move(call->second));
      call = mPending.erase(call);
    }
  }
  for (const PendingCall& call : expired) {
    call.mDone(Error(ErrorKind::PeerTimeout,
                     "no response to " + call.mMethod + " from instance '" +
                       call.mTo + "'"));
  }
}

}
