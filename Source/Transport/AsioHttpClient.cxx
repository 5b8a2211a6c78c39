#include "Transport/AsioHttpClient.h"

#include <algorithm>
#include <utility>

#include <asio/post.hpp>

#include "Transport/ClientConnection.h"

namespace almondspoke {

namespace {

/** Interval at which deadlines and idle connections are checked; an attempt
 * ends at most this long after its deadline. */
constexpr std::chrono::milliseconds kSweepInterval{ 10 };
constexpr std::chrono::milliseconds kIdleSweepInterval{ 1000 };

}

AsioHttpClient::AsioHttpClient(asio::io_context& aContext,
                               const HttpClientOptions& aOptions)
  : mContext(aContext)
  , mOptions(aOptions)
  , mTimer(aContext)
{
}

AsioHttpClient::~AsioHttpClient() = default;

HttpClient::AttemptId
AsioHttpClient::Start(HttpAttempt aAttempt, Done aDone)
{
  const AttemptId id = mNextAttempt++;
  if (aAttempt.mDeadline <= std::chrono::steady_clock::now()) {
    Refuse(std::move(aDone), "the deadline passed before the request was sent");
    return id;
  }
  ConnectionPtr connection =
    aAttempt.mUseNewConnection ? nullptr : TakeIdle(aAttempt.mAddress);
  Pool& pool = mPools[aAttempt.mAddress];
  if (!connection && pool.mOpen >= aAttempt.mMaxConnections) {
    Refuse(std::move(aDone), "all connections to the endpoint are in use");
    return id;
  }
  if (!connection) {
    ++pool.mOpen;
    connection =
      std::make_shared<detail::ClientConnection>(mContext,
                                                 *this,
                                                 aAttempt.mAddress,
                                                 mOptions.mMaxResponseBytes,
                                                 mOptions.mUserTimeout);
  }
  mBusy.emplace(id, connection);
  ScheduleSweep();
  connection->Begin(
    id, std::move(aAttempt), std::move(aDone), mOptions.mConnectTimeout);
  return id;
}

void
AsioHttpClient::Refuse(Done aDone, std::string aWhy)
{
  asio::post(mContext, [done = std::move(aDone), why = std::move(aWhy)] {
    AttemptResult result;
    result.mOutcome = TransferOutcome::NotSent;
    result.mErrorKind = ErrorKind::EndpointUnreachable;
    result.mMessage = why;
    done(std::move(result));
  });
}

// The pool ends with its last connection.
AsioHttpClient::ConnectionPtr
AsioHttpClient::TakeIdle(const std::string& aAddress)
{
  const auto now = std::chrono::steady_clock::now();
  for (auto pool = mPools.find(aAddress);
       pool != mPools.end() && !pool->second.mIdle.empty();
       pool = mPools.find(aAddress)) {
    ConnectionPtr connection = std::move(pool->second.mIdle.back());
    pool->second.mIdle.pop_back();
    if (now - connection->IdleSince() < mOptions.mMaxIdle) {
      return connection;
    }
    connection->Close();
  }
  return nullptr;
}

void
AsioHttpClient::Cancel(AttemptId aAttempt)
{
  const auto busy = mBusy.find(aAttempt);
  if (busy != mBusy.end()) {
    const ConnectionPtr connection = busy->second;
    asio::post(mContext, [connection, aAttempt] {
      if (connection->Attempt() == aAttempt) {
        connection->Fail(ErrorKind::ConnectionLost,
                         "the attempt was cancelled");
      }
    });
  }
}

void
AsioHttpClient::OnIdle(const ConnectionPtr& aConnection)
{
  mPools[aConnection->Address()].mIdle.push_back(aConnection);
}

void
AsioHttpClient::OnClosed(const detail::ClientConnection& aConnection)
{
  const auto pool = mPools.find(aConnection.Address());
  if (pool == mPools.end()) {
    return;
  }
  auto& idle = pool->second.mIdle;
  idle.erase(std::remove_if(idle.begin(),
                            idle.end(),
                            [&](const ConnectionPtr& aIdle) {
                              return aIdle.get() == &aConnection;
                            }),
             idle.end());
  if (--pool->second.mOpen == 0) {
    mPools.erase(pool);
  }
}

void
AsioHttpClient::OnAttemptEnded(AttemptId aAttempt)
{
  mBusy.erase(aAttempt);
}

std::size_t
AsioHttpClient::Connections() const
{
  std::size_t open = 0;
  for (const auto& [address, pool] : mPools) {
    open += pool.mOpen;
  }
  return open;
}

void
AsioHttpClient::ScheduleSweep()
{
  if (mSweepScheduled) {
    return;
  }
  mSweepScheduled = true;
  mTimer.expires_after(mBusy.empty() ? kIdleSweepInterval : kSweepInterval);
  mTimer.async_wait([this](const asio::error_code& aError) {
    if (aError) {
      return;
    }
    mSweepScheduled = false;
    Sweep();
    if (!mPools.empty()) {
      ScheduleSweep();
    }
  });
}

void
AsioHttpClient::Sweep()
{
  // A late sweep judges as of the time at which it was due: answers that have
  // arrived since may wait behind it.
  const auto now = mTimer.expiry();
  std::vector<ConnectionPtr> due;
  for (const auto& [id, connection] : mBusy) {
    if (now >= connection->Deadline()) {
      due.push_back(connection);
    }
  }
  for (const ConnectionPtr& connection : due) {
    connection->Fail(ErrorKind::EndpointTimeout,
                     "no response before the deadline");
  }
  if (now >= mNextIdleSweep) {
    mNextIdleSweep = now + kIdleSweepInterval;
    CloseIdle(now);
  }
}

void
AsioHttpClient::CloseIdle(std::chrono::steady_clock::time_point aNow)
{
  std::vector<ConnectionPtr> idle;
  for (const auto& [address, pool] : mPools) {
    for (const ConnectionPtr& connection : pool.mIdle) {
      if (aNow - connection->IdleSince() >= mOptions.mMaxIdle) {
        idle.push_back(connection);
      }
    }
  }
  for (const ConnectionPtr& connection : idle) {
    connection->Close();
  }
}

}
