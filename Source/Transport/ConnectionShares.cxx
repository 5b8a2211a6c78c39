#include "Transport/ConnectionShares.h"

#include <functional>

namespace almondspoke::detail {

ConnectionShares::ConnectionShares(std::size_t aShards)
  : mShards(aShards)
{
}

std::optional<std::size_t>
ConnectionShares::Acquire(const std::string& aAddress,
                          std::size_t aPreferred,
                          std::size_t aLimit)
{
  const std::size_t defaultShard = DefaultShard(aAddress);
  Stripe& stripe = StripeOf(aAddress);
  const std::lock_guard<std::mutex> lock(stripe.mMutex);
  Usage& usage = stripe.mEndpoints[aAddress];
  usage.mInUse.resize(mShards);
  for (std::size_t i = 0; i < mShards; ++i) {
    const std::size_t shard = (aPreferred + i) % mShards;
    if (usage.mInUse[shard] < ShareOf(shard, defaultShard, aLimit)) {
      ++usage.mInUse[shard];
      ++usage.mTotal;
      return shard;
    }
  }
  if (usage.mTotal == 0) {
    stripe.mEndpoints.erase(aAddress);
  }
  return std::nullopt;
}

void
ConnectionShares::Release(const std::string& aAddress, std::size_t aShard)
{
  Stripe& stripe = StripeOf(aAddress);
  const std::lock_guard<std::mutex> lock(stripe.mMutex);
  const auto found = stripe.mEndpoints.find(aAddress);
  --found->second.mInUse[aShard];
  if (--found->second.mTotal == 0) {
    stripe.mEndpoints.erase(found);
  }
}

std::size_t
ConnectionShares::DefaultShard(const std::string& aAddress) const
{
  return std::hash<std::string>{}(aAddress) % mShards;
}

// The remainder of the division goes to the default shard and those after it.
std::size_t
ConnectionShares::ShareOf(std::size_t aShard,
                          std::size_t aDefaultShard,
                          std::size_t aLimit) const
{
  const std::size_t distance = (aShard + mShards - aDefaultShard) % mShards;
  return aLimit / mShards + (distance < aLimit % mShards ? 1 : 0);
}

ConnectionShares::Stripe&
ConnectionShares::StripeOf(const std::string& aAddress)
{
  return mStripes[std::hash<std::string>{}(aAddress) % kStripes];
}

}
