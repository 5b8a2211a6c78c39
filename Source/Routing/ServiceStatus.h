#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "Routing/EndpointHealth.h"
#include "Routing/Work.h"

namespace almondspoke {

/** \brief Statistics of one kind of work of one service. The counters never
 * decrease. */
struct KindStatus
{
  KindName mKind;
  std::size_t mWaiting = 0;
  std::uint32_t mInUse = 0;
  std::uint64_t mDispatched = 0;
  std::uint64_t mRefused = 0;
  std::uint64_t mExpired = 0;
  std::uint64_t mCancelled = 0;
  std::chrono::microseconds mMedianRunTime{ 0 };
};

/** \brief Statistics of one endpoint. */
struct EndpointStatus
{
  EndpointName mName;
  HealthState mHealth = HealthState::Healthy;
  std::uint32_t mGranted = 0;
  std::uint32_t mInUse = 0;
  double mErrorRatio = 0;
  double mSlowness = 1;
};

/** \brief Statistics of one service on this instance. */
struct ServiceStatus
{
  ServiceName mService;
  std::size_t mWaiting = 0;
  std::uint32_t mTotalSlots = 0;
  std::uint32_t mInUse = 0;
  std::uint64_t mRetries = 0;
  std::uint64_t mRetriesDenied = 0;
  std::uint64_t mStoppedAttempts = 0;
  std::size_t mEjectedEndpoints = 0;
  std::vector<KindStatus> mKinds;
  std::vector<EndpointStatus> mEndpoints;
};

}
