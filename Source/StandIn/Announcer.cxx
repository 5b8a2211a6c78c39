#include "StandIn/Announcer.h"

#include <chrono>
#include <utility>

#include <glog/logging.h>
#include <nlohmann/json.hpp>

namespace almondspoke {

namespace {

constexpr int kRenewalsPerTimeToLive = 3;
constexpr std::chrono::seconds kRequestTimeout{ 1 };

std::uint64_t
NewIncarnation()
{
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(
    std::chrono::duration_cast<std::chrono::microseconds>(now).count());
}

std::int64_t
WallMilliseconds()
{
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

}

Announcer::Announcer(asio::io_context& aContext,
                     HttpClient& aClient,
                     const StandInOptions& aOptions,
                     UsageSource aUsage)
  : mTimer(aContext)
  , mUsageTimer(aContext)
  , mClient(aClient)
  , mOptions(aOptions)
  , mUsage(std::move(aUsage))
  , mIncarnation(NewIncarnation())
{
}

void
Announcer::Start(const std::string& aAddress)
{
  nlohmann::json body = {
    { "service", mOptions.mService },
    { "address", aAddress },
    { "slots", mOptions.mSlots },
    { "connections", mOptions.mConnections },
    { "cores", mOptions.mCores },
    { "memoryBytes", mOptions.mMemoryBytes },
    { "accelerators", mOptions.mAccelerators },
    { "ttlMs", mOptions.mTimeToLive.count() },
    { "incarnation", mIncarnation },
  };
  if (!mOptions.mRack.empty()) {
    body["rack"] = mOptions.mRack;
  }
  mBody = std::make_shared<const std::string>(body.dump());
  Renew();
  ReportUsage();
}

void
Announcer::Leave()
{
  mTimer.cancel();
  mUsageTimer.cancel();
  mBody = nullptr;
  for (const std::string& instance : mOptions.mInstances) {
    Send(instance,
         "DELETE",
         "/v1/endpoints/" + mOptions.mName +
           "?incarnation=" + std::to_string(mIncarnation),
         nullptr);
  }
}

void
Announcer::Renew()
{
  if (!mBody) {
    return;
  }
  for (const std::string& instance : mOptions.mInstances) {
    Send(instance, "PUT", "/v1/endpoints/" + mOptions.mName, mBody);
  }
  mTimer.expires_after(mOptions.mTimeToLive / kRenewalsPerTimeToLive);
  mTimer.async_wait([this](const asio::error_code& aError) {
    if (!aError) {
      Renew();
    }
  });
}

void
Announcer::ReportUsage()
{
  if (!mBody || mOptions.mUsagePeriod.count() <= 0) {
    return;
  }
  const Resources usage = mUsage();
  const nlohmann::json report = {
    { "coresUsed", usage.mCores },
    { "memoryUsedBytes", usage.mMemoryBytes },
    { "measuredAtMs", WallMilliseconds() },
  };
  const Body body = std::make_shared<const std::string>(report.dump());
  for (const std::string& instance : mOptions.mInstances) {
    Send(instance, "PUT", "/v1/endpoints/" + mOptions.mName + "/usage", body);
  }
  mUsageTimer.expires_after(mOptions.mUsagePeriod);
  mUsageTimer.async_wait([this](const asio::error_code& aError) {
    if (!aError) {
      ReportUsage();
    }
  });
}

void
Announcer::Send(const std::string& aInstance,
                const std::string& aMethod,
                const std::string& aTarget,
                Body aBody)
{
  HttpAttempt attempt;
  attempt.mAddress = aInstance;
  attempt.mMethod = aMethod;
  attempt.mTarget = aTarget;
  attempt.mFields = { { "Content-Type", "application/json" } };
  attempt.mBody = std::move(aBody);
  attempt.mDeadline = std::chrono::steady_clock::now() + kRequestTimeout;
  mClient.Start(std::move(attempt), [aInstance](const AttemptResult& aResult) {
    const bool accepted = aResult.mOutcome == TransferOutcome::Answered &&
                          aResult.mResponse.mStatus == 200;
    LOG_IF(WARNING, !accepted)
      << "request to register or report usage at instance " << aInstance
      << " failed: " << aResult.mMessage << aResult.mResponse.mBody;
  });
}

}
