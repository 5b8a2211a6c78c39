#pragma once

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <thread>
#include <utility>

#include "Transport/PeerTransport.h"

namespace almondspoke::testing {

/** \brief An in-process network that delivers frames between instances in
 * order, on its own thread, after a fixed delay. Each direction of a link can
 * be cut separately. */
class FakePeerNetwork
{
public:
  /** \brief The transport of one instance. */
  class Transport : public PeerTransport
  {
  public:
    Transport(FakePeerNetwork& aNetwork, InstanceName aName)
      : mNetwork(aNetwork)
      , mName(std::move(aName))
    {
    }

    void Send(const InstanceName& aTo, PeerFrame aFrame) override
    {
      mNetwork.Enqueue(mName, aTo, std::move(aFrame));
    }

    void Subscribe(PeerChannel aChannel, Handler aHandler) override
    {
      const std::lock_guard<std::mutex> lock(mMutex);
      mHandlers[aChannel] = std::move(aHandler);
    }

    void Deliver(const InstanceName& aFrom, const PeerFrame& aFrame)
    {
      const std::lock_guard<std::mutex> lock(mMutex);
      const auto handler = mHandlers.find(aFrame.mChannel);
      if (handler != mHandlers.end()) {
        handler->second(aFrom, aFrame);
      }
    }

    /** Removes all handlers. When it returns, none of them is running. */
    void Unsubscribe()
    {
      const std::lock_guard<std::mutex> lock(mMutex);
      mHandlers.clear();
    }

  private:
    FakePeerNetwork& mNetwork;
    InstanceName mName;
    std::mutex mMutex;
    std::map<PeerChannel, Handler> mHandlers;
  };

  explicit FakePeerNetwork(
    std::chrono::microseconds aDelay = std::chrono::microseconds(0))
    : mDelay(aDelay)
    , mThread([this] { Run(); })
  {
  }

  ~FakePeerNetwork()
  {
    {
      const std::lock_guard<std::mutex> lock(mMutex);
      mStopping = true;
    }
    mReady.notify_all();
    mThread.join();
  }

  FakePeerNetwork(const FakePeerNetwork&) = delete;
  FakePeerNetwork& operator=(const FakePeerNetwork&) = delete;

  /** Returns the transport of an instance; creates it on first use. */
  Transport& Of(const InstanceName& aName)
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    std::unique_ptr<Transport>& transport = mTransports[aName];
    if (!transport) {
      transport = std::make_unique<Transport>(*this, aName);
    }
    return *transport;
  }

  /** Drops all further frames from one instance to another. */
  void Cut(const InstanceName& aFrom, const InstanceName& aTo)
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    mCuts.emplace(aFrom, aTo);
  }

  /** Drops all further frames from and to an instance. */
  void Isolate(const InstanceName& aName)
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    mIsolated.insert(aName);
  }

  /** Undoes all calls of Cut() and Isolate(). */
  void Mend()
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    mCuts.clear();
    mIsolated.clear();
  }

  /** Returns the payload bytes that an instance has sent, dropped frames
   * included. */
  std::uint64_t SentBytes(const InstanceName& aName)
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    return mSentBytes[aName];
  }

  /** Returns the number of frames that an instance has sent, dropped frames
   * included. */
  std::uint64_t SentFrames(const InstanceName& aName)
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    return mSentFrames[aName];
  }

private:
  using TimePoint = std::chrono::steady_clock::time_point;

  struct Queued
  {
    TimePoint mDue;
    InstanceName mFrom;
    Transport* mTo;
    PeerFrame mFrame;
  };

  void Enqueue(const InstanceName& aFrom,
               const InstanceName& aTo,
               PeerFrame aFrame)
  {
    {
      const std::lock_guard<std::mutex> lock(mMutex);
      mSentBytes[aFrom] += aFrame.mPayload.size();
      ++mSentFrames[aFrom];
      const auto to = mTransports.find(aTo);
      const bool cut = mCuts.count({ aFrom, aTo }) != 0 ||
                       mIsolated.count(aFrom) != 0 || mIsolated.count(aTo) != 0;
      if (to == mTransports.end() || cut) {
        return;
      }
      mQueue.push_back({ std::chrono::steady_clock::now() + mDelay,
                         aFrom,
                         to->second.get(),
                         std::move(aFrame) });
    }
    mReady.notify_one();
  }

  void Run()
  {
    std::unique_lock<std::mutex> lock(mMutex);
    while (!mStopping) {
      if (mQueue.empty()) {
        mReady.wait(lock);
        continue;
      }
      const TimePoint due = mQueue.front().mDue;
      if (std::chrono::steady_clock::now() < due) {
        mReady.wait_until(lock, due);
        continue;
      }
      Queued queued = std::move(mQueue.front());
      mQueue.pop_front();
      lock.unlock();
      queued.mTo->Deliver(queued.mFrom, queued.mFrame);
      lock.lock();
    }
  }

  std::chrono::microseconds mDelay;
  std::mutex mMutex;
  std::condition_variable mReady;
  bool mStopping = false;
  std::deque<Queued> mQueue;
  std::map<InstanceName, std::unique_ptr<Transport>> mTransports;
  std::set<std::pair<InstanceName, InstanceName>> mCuts;
  std::set<InstanceName> mIsolated;
  std::map<InstanceName, std::uint64_t> mSentBytes;
  std::map<InstanceName, std::uint64_t> mSentFrames;
  std::thread mThread;
};

}
