#pragma once

#include <functional>

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include "Base/Clock.h"
#include "Base/EventLog.h"
#include "Dispatch/Gateway.h"
#include "Dispatch/LeaderFinder.h"
#include "Dispatch/NodeSettings.h"
#include "Transport/PeerRpc.h"

namespace almondspoke::dispatch {

/** \brief Objects that a GatewayNode uses; they must outlive it. */
struct GatewayNodeParts
{
  asio::io_context& mContext;
  const Clock& mClock;
  EventLog& mLog;
  PeerRpc& mRpc;
};

/** \brief An instance in the gateway role: a Gateway and its timer. */
class GatewayNode
{
public:
  GatewayNode(const NodeSettings& aSettings, const GatewayNodeParts& aParts);

  void Start();
  /** Reports the instance as not ready from now on; still serves requests. */
  void StartDraining();

  /** Gives up all open calls; each gets a reply. */
  void GiveUpAll() { mGateway.GiveUpAll(); }

  /** Adds coordinators to query, for example after a change of settings. */
  void AddSeeds(const NodeSettings& aSettings);

  /** Sets a function that is called with the limits of the manifest in force
   * once they are known, and whenever they change. */
  void OnLimits(std::function<void(const CallerLimits&)> aObserver);

  JobService& Jobs() { return mGateway; }
  const Gateway& GetGateway() const { return mGateway; }
  bool IsReady() const { return !mDraining && mGateway.IsReady(); }
  std::size_t OpenCalls() const { return mGateway.OpenCalls(); }

private:
  void ScheduleTick();

  EventLog& mLog;
  asio::steady_timer mTimer;
  LeaderFinder mFinder;
  Gateway mGateway;
  std::function<void(const CallerLimits&)> mLimitsObserver;
  CallerLimits mReportedLimits;
  bool mDraining = false;
};

}
