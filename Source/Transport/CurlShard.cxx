#include "Transport/CurlShard.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <utility>

#include <asio/bind_executor.hpp>
#include <asio/dispatch.hpp>
#include <asio/post.hpp>

#include "Transport/CurlTransfer.h"

namespace almondspoke::detail {

namespace {

constexpr long kMaxIdleConnections = 4096;
constexpr std::size_t kMaxIdleHandles = 256;
constexpr int kKeepAliveProbes = 3;
constexpr int kKeepAliveIntervalSeconds = 2;

void
SetOption(int aSocket, int aLevel, int aName, int aValue)
{
  ::setsockopt(aSocket, aLevel, aName, &aValue, sizeof aValue);
}

// Makes the kernel close a connection whose peer no longer responds: the user
// timeout covers unacknowledged data, keepalive probes cover idle connections.
void
SetLivenessOptions(int aSocket, const HttpClientOptions& aOptions)
{
  SetOption(aSocket,
            IPPROTO_TCP,
            TCP_USER_TIMEOUT,
            static_cast<int>(aOptions.mUserTimeout.count()));
  SetOption(aSocket, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetOption(aSocket,
            IPPROTO_TCP,
            TCP_KEEPIDLE,
            static_cast<int>(aOptions.mKeepAliveIdle.count()));
  SetOption(aSocket, IPPROTO_TCP, TCP_KEEPINTVL, kKeepAliveIntervalSeconds);
  SetOption(aSocket, IPPROTO_TCP, TCP_KEEPCNT, kKeepAliveProbes);
}

}

CurlShard::CurlShard(asio::io_context& aContext,
                     std::size_t aIndex,
                     std::shared_ptr<ConnectionShares> aShares,
                     const HttpClientOptions& aOptions)
  : mContext(aContext)
  , mIndex(aIndex)
  , mShares(std::move(aShares))
  , mStrand(asio::make_strand(aContext))
  , mTimer(aContext)
  , mOptions(aOptions)
  , mMulti(curl_multi_init())
{
  curl_multi_setopt(mMulti, CURLMOPT_SOCKETFUNCTION, &OnSocket);
  curl_multi_setopt(mMulti, CURLMOPT_SOCKETDATA, this);
  curl_multi_setopt(mMulti, CURLMOPT_TIMERFUNCTION, &OnTimer);
  curl_multi_setopt(mMulti, CURLMOPT_TIMERDATA, this);
  curl_multi_setopt(mMulti, CURLMOPT_MAXCONNECTS, kMaxIdleConnections);
  curl_multi_setopt(mMulti, CURLMOPT_PIPELINING, CURLPIPE_NOTHING);
}

CurlShard::~CurlShard()
{
  for (const auto& [id, transfer] : mTransfers) {
    curl_multi_remove_handle(mMulti, transfer->Easy());
    curl_easy_cleanup(transfer->Easy());
  }
  for (CURL* easy : mIdleHandles) {
    curl_easy_cleanup(easy);
  }
  curl_multi_cleanup(mMulti);
}

void
CurlShard::Start(HttpClient::AttemptId aId,
                 HttpAttempt aAttempt,
                 HttpClient::Done aDone)
{
  asio::post(mStrand,
             [self = shared_from_this(),
              aId,
              attempt = std::move(aAttempt),
              done = std::move(aDone)]() mutable {
               self->StartOnStrand(aId, std::move(attempt), std::move(done));
             });
}

void
CurlShard::Refuse(HttpClient::Done aDone)
{
  asio::post(mStrand, [done = std::move(aDone)] {
    AttemptResult refused;
    refused.mErrorKind = ErrorKind::EndpointUnreachable;
    refused.mMessage = "all connections of the endpoint are in use";
    done(std::move(refused));
  });
}

void
CurlShard::Cancel(HttpClient::AttemptId aId)
{
  asio::post(mStrand,
             [self = shared_from_this(), aId] { self->CancelOnStrand(aId); });
}

void
CurlShard::StartOnStrand(HttpClient::AttemptId aId,
                         HttpAttempt aAttempt,
                         HttpClient::Done aDone)
{
  const auto timeLeft = std::chrono::duration_cast<std::chrono::milliseconds>(
    aAttempt.mDeadline - std::chrono::steady_clock::now());
  if (timeLeft.count() <= 0) {
    mShares->Release(aAttempt.mAddress, mIndex);
    AttemptResult refused;
    refused.mErrorKind = ErrorKind::DeadlineExpiredInQueue;
    refused.mMessage = "the deadline passed before the request was sent";
    aDone(std::move(refused));
    return;
  }
  CURL* easy = nullptr;
  if (mIdleHandles.empty()) {
    easy = curl_easy_init();
  } else {
    easy = mIdleHandles.back();
    mIdleHandles.pop_back();
  }
  auto transfer = std::make_unique<CurlTransfer>(
    aId, std::move(aAttempt), std::move(aDone), easy);
  transfer->Prepare(mOptions, timeLeft);
  curl_easy_setopt(easy, CURLOPT_OPENSOCKETFUNCTION, &OnOpenSocket);
  curl_easy_setopt(easy, CURLOPT_OPENSOCKETDATA, this);
  curl_easy_setopt(easy, CURLOPT_CLOSESOCKETFUNCTION, &OnCloseSocket);
  curl_easy_setopt(easy, CURLOPT_CLOSESOCKETDATA, this);
  mTransfers.emplace(aId, std::move(transfer));
  // Starts the transfer now instead of on the timer that libcurl requests here.
  mIsStarting = true;
  curl_multi_add_handle(mMulti, easy);
  mIsStarting = false;
  RunSocketAction(CURL_SOCKET_TIMEOUT, 0);
  ArmTimer();
}

void
CurlShard::CancelOnStrand(HttpClient::AttemptId aId)
{
  const auto found = mTransfers.find(aId);
  if (found != mTransfers.end()) {
    Finish(found->second->Easy(), CURLE_ABORTED_BY_CALLBACK);
  }
}

void
CurlShard::RunSocketAction(curl_socket_t aSocket, int aEvents)
{
  int running = 0;
  curl_multi_socket_action(mMulti, aSocket, aEvents, &running);
  CollectFinished();
}

void
CurlShard::CollectFinished()
{
  int remaining = 0;
  while (CURLMsg* message = curl_multi_info_read(mMulti, &remaining)) {
    if (message->msg == CURLMSG_DONE) {
      Finish(message->easy_handle, message->data.result);
    }
  }
}

void
CurlShard::Finish(CURL* aEasy, CURLcode aCode)
{
  CurlTransfer* finished = nullptr;
  curl_easy_getinfo(aEasy, CURLINFO_PRIVATE, &finished);
  const auto found = mTransfers.find(finished->Id());
  const std::unique_ptr<CurlTransfer> transfer = std::move(found->second);
  mTransfers.erase(found);
  AttemptResult result = transfer->TakeResult(aCode);
  curl_multi_remove_handle(mMulti, aEasy);
  if (mIdleHandles.size() < kMaxIdleHandles) {
    curl_easy_reset(aEasy);
    mIdleHandles.push_back(aEasy);
  } else {
    curl_easy_cleanup(aEasy);
  }
  mShares->Release(transfer->Attempt().mAddress, mIndex);
  transfer->DoneCallback()(std::move(result));
}

void
CurlShard::Watch(const WatchedSocketPtr& aSocket)
{
  if (aSocket->mWantsRead && !aSocket->mIsReadPending) {
    WaitRead(aSocket);
  }
  if (aSocket->mWantsWrite && !aSocket->mIsWritePending) {
    WaitWrite(aSocket);
  }
}

void
CurlShard::WaitRead(const WatchedSocketPtr& aSocket)
{
  aSocket->mIsReadPending = true;
  aSocket->mSocket.async_wait(
    asio::ip::tcp::socket::wait_read,
    asio::bind_executor(
      mStrand,
      [weak = weak_from_this(),
       aSocket,
       handle = aSocket->mSocket.native_handle()](const asio::error_code&) {
        aSocket->mIsReadPending = false;
        const auto self = weak.lock();
        if (!self || !self->IsCurrent(aSocket, handle) ||
            !aSocket->mWantsRead) {
          return;
        }
        self->RunSocketAction(handle, CURL_CSELECT_IN);
        if (self->IsCurrent(aSocket, handle)) {
          self->Watch(aSocket);
        }
      }));
}

void
CurlShard::WaitWrite(const WatchedSocketPtr& aSocket)
{
  aSocket->mIsWritePending = true;
  aSocket->mSocket.async_wait(
    asio::ip::tcp::socket::wait_write,
    asio::bind_executor(
      mStrand,
      [weak = weak_from_this(),
       aSocket,
       handle = aSocket->mSocket.native_handle()](const asio::error_code&) {
        aSocket->mIsWritePending = false;
        const auto self = weak.lock();
        if (!self || !self->IsCurrent(aSocket, handle) ||
            !aSocket->mWantsWrite) {
          return;
        }
        self->RunSocketAction(handle, CURL_CSELECT_OUT);
        if (self->IsCurrent(aSocket, handle)) {
          self->Watch(aSocket);
        }
      }));
}

bool
CurlShard::IsCurrent(const WatchedSocketPtr& aSocket,
                     curl_socket_t aHandle) const
{
  const auto found = mSockets.find(aHandle);
  return found != mSockets.end() && found->second == aSocket;
}

int
CurlShard::OnSocket(CURL*,
                    curl_socket_t aSocket,
                    int aWhat,
                    void* aShard,
                    void*)
{
  auto& shard = *static_cast<CurlShard*>(aShard);
  const auto found = shard.mSockets.find(aSocket);
  if (found == shard.mSockets.end()) {
    return 0;
  }
  const WatchedSocketPtr socket = found->second;
  socket->mWantsRead = aWhat == CURL_POLL_IN || aWhat == CURL_POLL_INOUT;
  socket->mWantsWrite = aWhat == CURL_POLL_OUT || aWhat == CURL_POLL_INOUT;
  shard.Watch(socket);
  return 0;
}

int
CurlShard::OnTimer(CURLM*, long aMilliseconds, void* aShard)
{
  auto& shard = *static_cast<CurlShard*>(aShard);
  if (aMilliseconds < 0) {
    shard.mTimerDue.reset();
    return 0;
  }
  shard.mTimerDue = asio::steady_timer::clock_type::now() +
                    std::chrono::milliseconds(aMilliseconds);
  shard.ArmTimer();
  return 0;
}

// libcurl changes its timer with each transfer, usually to a later time.
// Setting the Asio timer each time would cost a system call and wake up another
// thread. A timer that is already set to an earlier time is therefore left to
// expire.
void
CurlShard::ArmTimer()
{
  if (mIsStarting || !mTimerDue ||
      (mTimerArmedFor && *mTimerArmedFor <= *mTimerDue)) {
    return;
  }
  mTimerArmedFor = mTimerDue;
  mTimer.expires_at(*mTimerDue);
  mTimer.async_wait(asio::bind_executor(
    mStrand, [weak = weak_from_this()](const asio::error_code& aError) {
      const auto self = weak.lock();
      if (self && !aError) {
        self->OnTimerExpired();
      }
    }));
}

void
CurlShard::OnTimerExpired()
{
  mTimerArmedFor.reset();
  if (mTimerDue && *mTimerDue <= asio::steady_timer::clock_type::now()) {
    mTimerDue.reset();
    RunSocketAction(CURL_SOCKET_TIMEOUT, 0);
  }
  ArmTimer();
}

curl_socket_t
CurlShard::OnOpenSocket(void* aShard, curlsocktype, curl_sockaddr* aAddress)
{
  return static_cast<CurlShard*>(aShard)->OpenSocket(*aAddress);
}

curl_socket_t
CurlShard::OpenSocket(const curl_sockaddr& aAddress)
{
  asio::ip::tcp::socket socket(mContext);
  asio::error_code error;
  const auto protocol =
    aAddress.family == AF_INET6 ? asio::ip::tcp::v6() : asio::ip::tcp::v4();
  socket.open(protocol, error);
  if (error) {
    return CURL_SOCKET_BAD;
  }
  const curl_socket_t handle = socket.native_handle();
  SetLivenessOptions(handle, mOptions);
  mSockets[handle] = std::make_shared<WatchedSocket>(std::move(socket));
  return handle;
}

int
CurlShard::OnCloseSocket(void* aShard, curl_socket_t aSocket)
{
  auto& shard = *static_cast<CurlShard*>(aShard);
  const auto found = shard.mSockets.find(aSocket);
  if (found == shard.mSockets.end()) {
    return 1;
  }
  const WatchedSocketPtr socket = found->second;
  shard.mSockets.erase(found);
  asio::error_code ignored;
  socket->mSocket.close(ignored);
  return 0;
}

}
