#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include "Base/Clock.h"
#include "Base/EventLog.h"
#include "Dispatch/Gateway.h"
#include "Dispatch/LeaderFinder.h"
#include "Dispatch/NodeSettings.h"
#include "Transport/PeerRpc.h"

namespace almondspoke::dispatch {

/** \brief What a GatewayNode is built on; all outlive it. */
struct GatewayNodeParts
{
  asio::io_context& mContext;
  const Clock& mClock;
  EventLog& mLog;
  PeerRpc& mRpc;
};

/** \brief One instance that takes callers' requests. */
class GatewayNode
{
public:
  GatewayNode(const NodeSettings& aSettings, const GatewayNodeParts& aParts);

  void Start();
  /** From now on not ready; requests are still served. */
  void StartDraining();

  /** Answers all open calls as of unknown outcome. */
  void AnswerAll() { mGateway.AnswerAll(); }

  void AddSeeds(const NodeSettings& aSettings);

  JobService& Jobs() { return mGateway; }
  const Gateway& Calls() const { return mGateway; }
  bool IsReady() const { return !mDraining && mGateway.IsReady(); }
  std::size_t OpenCalls() const { return mGateway.OpenCalls(); }

private:
  void ScheduleTick();

  EventLog& mLog;
  asio::steady_timer mTimer;
  LeaderFinder mFinder;
  Gateway mGateway;
  bool mDraining = false;
};

}
