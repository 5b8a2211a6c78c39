#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include "Base/Clock.h"
#include "Transport/PeerRpc.h"
#include "Transport/PeerTransport.h"

namespace almondspoke {

/** \brief PeerRpc over the Rpc channel of a PeerTransport. */
class PeerRpcService : public PeerRpc
{
public:
  PeerRpcService(asio::io_context& aContext,
                 const Clock& aClock,
                 PeerTransport& aTransport,
                 const InstanceIdentity& aSelf);

  /** Starts the periodic check that ends calls whose timeout has passed or
   * whose connection was closed. */
  void Start();

  /** Ends all open calls with PeerTimeout. */
  void Stop();

  void Call(const InstanceName& aTo,
            const std::string& aMethod,
            std::string aRequest,
            std::chrono::milliseconds aTimeout,
            Done aDone) override;
  void Register(const std::string& aMethod, Handler aHandler) override;

private:
  struct PendingCall
  {
    InstanceName mTo;
    std::string mMethod;
    Clock::Monotonic mDeadline;
    /** Number of the connection that the request was sent on. */
    std::uint64_t mConnection = 0;
    Done mDone;
  };

  void OnFrame(const InstanceName& aFrom, const PeerFrame& aFrame);
  void ScheduleSweep();
  void EndExpiredCalls();

  const Clock& mClock;
  PeerTransport& mTransport;
  InstanceIdentity mSelf;
  asio::steady_timer mTimer;
  std::map<std::string, Handler> mHandlers;

  std::mutex mMutex;
  std::uint64_t mNextId;
  std::unordered_map<std::uint64_t, PendingCall> mPending;
  bool mStopped = false;
};

}
