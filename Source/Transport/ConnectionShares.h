#pragma once

#include <array>
#include <cstddef>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace almondspoke::detail {

/** \brief Divides each endpoint's connection limit among the client's shards.
 *
 * Each shard keeps its own idle connections. The limit on open connections is
 * therefore only met if every shard stays within its own share of the limit. */
class ConnectionShares
{
public:
  explicit ConnectionShares(std::size_t aShards);

  /** Reserves a connection in the share of aPreferred, or in that of the next
   * shard that has one left.
   * \return the shard, or nothing if all aLimit connections are in use. */
  std::optional<std::size_t> Acquire(const std::string& aAddress,
                                     std::size_t aPreferred,
                                     std::size_t aLimit);

  void Release(const std::string& aAddress, std::size_t aShard);

  /** Returns the shard that is derived from the address. It is the first to get
   * a connection if the limit is smaller than the number of shards. */
  std::size_t DefaultShard(const std::string& aAddress) const;

private:
  static constexpr std::size_t kStripes = 16;

  /** \brief Connections in use in each shard. */
  struct Usage
  {
    std::vector<std::size_t> mInUse;
    std::size_t mTotal = 0;
  };

  /** \brief The endpoints that are guarded by one mutex. */
  struct Stripe
  {
    std::mutex mMutex;
    std::unordered_map<std::string, Usage> mEndpoints;
  };

  std::size_t ShareOf(std::size_t aShard,
                      std::size_t aDefaultShard,
                      std::size_t aLimit) const;
  Stripe& StripeOf(const std::string& aAddress);

  const std::size_t mShards;
  std::array<Stripe, kStripes> mStripes;
};

}
