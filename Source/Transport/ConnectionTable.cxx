#include "Transport/ConnectionTable.h"

#include <utility>

namespace almondspoke::detail {

bool
ConnectionState::BeginRequest()
{
  const std::lock_guard<std::mutex> lock(mMutex);
  if (mLastAnswerGiven || mClosed) {
    return false;
  }
  ++mOutstanding;
  ++mUnanswered;
  mIdleObserver = nullptr;
  return true;
}

bool
ConnectionState::EndRequest()
{
  Observer idleObserver;
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    if (mClosed || mOutstanding == 0) {
      return false;
    }
    --mOutstanding;
    if (mOutstanding == 0) {
      idleObserver.swap(mIdleObserver);
    }
  }
  if (idleObserver) {
    idleObserver();
  }
  return true;
}

void
ConnectionState::CallWhenIdle(Observer aObserver)
{
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    if (mClosed || mOutstanding > 0 || !aObserver) {
      mIdleObserver = mClosed ? nullptr : std::move(aObserver);
      return;
    }
  }
  aObserver();
}

bool
ConnectionState::TryMarkLastAnswer(bool aWantsClose)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  if (!aWantsClose || mOutstanding > 1) {
    return false;
  }
  mLastAnswerGiven = true;
  return true;
}

void
ConnectionState::AddObserver(std::uint64_t aRequest, Observer aObserver)
{
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    if (!mClosed) {
      mObservers[aRequest] = std::move(aObserver);
      return;
    }
  }
  aObserver();
}

void
ConnectionState::RemoveObserver(std::uint64_t aRequest)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  mObservers.erase(aRequest);
}

std::size_t
ConnectionState::Close()
{
  std::unordered_map<std::uint64_t, Observer> observers;
  std::size_t outstanding = 0;
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    mClosed = true;
    mIdleObserver = nullptr;
    outstanding = std::exchange(mOutstanding, 0);
    observers.swap(mObservers);
  }
  for (const auto& [request, observer] : observers) {
    observer();
  }
  return outstanding;
}

std::size_t
ConnectionState::Outstanding() const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  return mOutstanding;
}

void
ConnectionState::MarkAnswered()
{
  const std::lock_guard<std::mutex> lock(mMutex);
  --mUnanswered;
}

bool
ConnectionState::HasUnanswered() const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  return mUnanswered > 0;
}

std::shared_ptr<ConnectionState>
ConnectionTable::Add(std::uint64_t aConnection)
{
  Shard& shard = mShards[aConnection % kShards];
  auto state = std::make_shared<ConnectionState>();
  const std::lock_guard<std::mutex> lock(shard.mMutex);
  shard.mConnections[aConnection] = state;
  return state;
}

std::shared_ptr<ConnectionState>
ConnectionTable::Find(std::uint64_t aConnection) const
{
  const Shard& shard = mShards[aConnection % kShards];
  const std::lock_guard<std::mutex> lock(shard.mMutex);
  const auto found = shard.mConnections.find(aConnection);
  return found == shard.mConnections.end() ? nullptr : found->second;
}

std::shared_ptr<ConnectionState>
ConnectionTable::Remove(std::uint64_t aConnection)
{
  Shard& shard = mShards[aConnection % kShards];
  const std::lock_guard<std::mutex> lock(shard.mMutex);
  const auto found = shard.mConnections.find(aConnection);
  if (found == shard.mConnections.end()) {
    return nullptr;
  }
  auto state = std::move(found->second);
  shard.mConnections.erase(found);
  return state;
}

}
