#include "Bench/TargetPool.h"

#include <chrono>
#include <utility>

namespace almondspoke::bench {

namespace {

constexpr std::chrono::milliseconds kProbeInterval{ 250 };
constexpr std::chrono::milliseconds kProbeTimeout{ 1000 };
constexpr int kOk = 200;

}

TargetPool::TargetPool(asio::io_context& aContext,
                       HttpClient& aClient,
                       const Clock& aClock,
                       const std::vector<std::string>& aTargets)
  : mTimer(aContext)
  , mClient(aClient)
  , mClock(aClock)
{
  for (const std::string& address : aTargets) {
    mTargets.push_back(std::make_unique<Target>());
    mTargets.back()->mAddress = address;
  }
}

void
TargetPool::Start()
{
  ProbeAll();
}

void
TargetPool::Stop()
{
  mIsStopped = true;
}

const std::string&
TargetPool::Next()
{
  const std::size_t first = mNext.fetch_add(1);
  for (std::size_t i = 0; i < mTargets.size(); ++i) {
    const Target& target = *mTargets[(first + i) % mTargets.size()];
    if (target.mIsReady) {
      return target.mAddress;
    }
  }
  return mTargets[first % mTargets.size()]->mAddress;
}

void
TargetPool::MarkUnready(const std::string& aTarget)
{
  for (const auto& target : mTargets) {
    if (target->mAddress == aTarget) {
      target->mIsReady = false;
    }
  }
}

void
TargetPool::ProbeAll()
{
  for (const auto& target : mTargets) {
    if (!target->mIsProbed.exchange(true)) {
      Probe(*target);
    }
  }
  mTimer.expires_after(kProbeInterval);
  mTimer.async_wait([this](const asio::error_code& aError) {
    if (!aError && !mIsStopped) {
      ProbeAll();
    }
  });
}

void
TargetPool::Probe(Target& aTarget)
{
  HttpAttempt attempt;
  attempt.mAddress = aTarget.mAddress;
  attempt.mMethod = "GET";
  attempt.mTarget = "/readyz";
  attempt.mDeadline = mClock.MonotonicNow() + kProbeTimeout;
  attempt.mUseNewConnection = true;
  attempt.mMaxConnections = SIZE_MAX;
  mClient.Start(std::move(attempt), [&aTarget](const AttemptResult& aResult) {
    aTarget.mIsReady = aResult.mOutcome == TransferOutcome::Answered &&
                       aResult.mResponse.mStatus == kOk;
    aTarget.mIsProbed = false;
  });
}

}
