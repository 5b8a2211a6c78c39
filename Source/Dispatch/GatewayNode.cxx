#include "Dispatch/GatewayNode.h"

#include <utility>

#include "Dispatch/PeerNames.h"

namespace almondspoke::dispatch {

namespace {

constexpr std::chrono::milliseconds kTickInterval{ 15 };

}

GatewayNode::GatewayNode(const NodeSettings& aSettings,
                         const GatewayNodeParts& aParts)
  : mLog(aParts.mLog)
  , mTimer(aParts.mContext)
  , mFinder(aParts.mClock,
            aParts.mRpc,
            aParts.mLog,
            aSettings.mDataCentre,
            SeedNamesOf(aSettings))
  , mGateway(aParts.mClock, aParts.mRpc, mFinder, aParts.mLog)
{
}

void
GatewayNode::Start()
{
  ScheduleTick();
}

void
GatewayNode::StartDraining()
{
  mDraining = true;
}

void
GatewayNode::AddSeeds(const NodeSettings& aSettings)
{
  mFinder.AddSeeds(SeedNamesOf(aSettings));
}

void
GatewayNode::OnLimits(std::function<void(const CallerLimits&)> aObserver)
{
  mLimitsObserver = std::move(aObserver);
}

void
GatewayNode::ScheduleTick()
{
  mTimer.expires_after(kTickInterval);
  mTimer.async_wait([this](const asio::error_code& aError) {
    if (aError) {
      return;
    }
    mFinder.Tick();
    mGateway.Tick();
    if (mLimitsObserver && !(mFinder.Limits() == mReportedLimits)) {
      mReportedLimits = mFinder.Limits();
      mLimitsObserver(mReportedLimits);
    }
    mLog.Flush();
    ScheduleTick();
  });
}

}
