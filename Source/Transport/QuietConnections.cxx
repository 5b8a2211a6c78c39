#include "Transport/QuietConnections.h"

#include <algorithm>
#include <utility>

namespace almondspoke::detail {

namespace {

/** Part of the connections that is kept free for new ones. */
constexpr std::size_t kFreeShare = 16;

/** Time for a new connection to send its request, and for a kept one to send
 * its next. */
constexpr std::chrono::milliseconds kMinQuietTime{ 1000 };

}

QuietConnections::QuietConnections(std::size_t aMaxConnections)
  : mMaxKept(aMaxConnections -
             std::max<std::size_t>(1, aMaxConnections / kFreeShare))
{
}

void
QuietConnections::Add(std::uint64_t aConnection,
                      std::weak_ptr<ArrivingRequest> aRequest,
                      Time aNow)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  Connection& connection = mConnections[aConnection];
  connection.mRequest = std::move(aRequest);
  Append(aConnection, connection, aNow);
}

void
QuietConnections::Remove(std::uint64_t aConnection)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  const auto found = mConnections.find(aConnection);
  if (found != mConnections.end()) {
    Unlist(found->second);
    mConnections.erase(found);
  }
}

void
QuietConnections::BeginRequest(std::uint64_t aConnection)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  const auto found = mConnections.find(aConnection);
  if (found == mConnections.end()) {
    return;
  }
  Unlist(found->second);
  ++found->second.mUnanswered;
}

void
QuietConnections::EndRequest(std::uint64_t aConnection, Time aNow)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  const auto found = mConnections.find(aConnection);
  if (found != mConnections.end() && --found->second.mUnanswered == 0) {
    Append(aConnection, found->second, aNow);
  }
}

// The account of the connection is locked by Displace(), so this is done
// without the lock.
void
QuietConnections::MakePlaces(Time aNow)
{
  for (const auto& request : TakeQuietest(aNow)) {
    request->Displace();
  }
}

std::vector<std::shared_ptr<ArrivingRequest>>
QuietConnections::TakeQuietest(Time aNow)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  std::vector<std::shared_ptr<ArrivingRequest>> quietest;
  while (mConnections.size() > mMaxKept + mDisplacing && !mOrder.empty()) {
    Connection& connection = mConnections.at(mOrder.front());
    if (aNow - connection.mQuietSince < kMinQuietTime) {
      break;
    }
    mOrder.pop_front();
    connection.mIsDisplaced = true;
    ++mDisplacing;
    ++mDisplaced;
    if (auto request = connection.mRequest.lock()) {
      quietest.push_back(std::move(request));
    }
  }
  return quietest;
}

std::uint64_t
QuietConnections::Displaced() const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  return mDisplaced;
}

void
QuietConnections::Append(std::uint64_t aId, Connection& aConnection, Time aNow)
{
  aConnection.mQuietSince = aNow;
  aConnection.mPosition = mOrder.insert(mOrder.end(), aId);
}

// A request that arrives while its connection is being closed keeps it open.
void
QuietConnections::Unlist(Connection& aConnection)
{
  if (std::exchange(aConnection.mIsDisplaced, false)) {
    --mDisplacing;
  } else if (aConnection.mUnanswered == 0) {
    mOrder.erase(aConnection.mPosition);
  }
}

}
