#include "Jobs/HomeDataCentres.h"

#include <algorithm>
#include <utility>

#include <xxhash.h>

namespace almondspoke {

HomeDataCentres::HomeDataCentres(DataCentreName aSelf,
                                 std::vector<DataCentreName> aDataCentres)
  : mSelf(std::move(aSelf))
  , mDataCentres(std::move(aDataCentres))
{
  mDataCentres.push_back(mSelf);
  std::sort(mDataCentres.begin(), mDataCentres.end());
  mDataCentres.erase(std::unique(mDataCentres.begin(), mDataCentres.end()),
                     mDataCentres.end());
}

bool
HomeDataCentres::Contains(std::string_view aDataCentre) const
{
  return std::binary_search(
    mDataCentres.begin(), mDataCentres.end(), aDataCentre);
}

const DataCentreName&
HomeDataCentres::HomeOf(std::string_view aKey) const
{
  const DataCentreName* best = &mDataCentres.front();
  std::uint64_t bestWeight = 0;
  for (const DataCentreName& candidate : mDataCentres) {
    const XXH64_hash_t seed = XXH3_64bits(candidate.data(), candidate.size());
    const std::uint64_t weight =
      XXH3_64bits_withSeed(aKey.data(), aKey.size(), seed);
    if (weight > bestWeight) {
      bestWeight = weight;
      best = &candidate;
    }
  }
  return *best;
}

}
