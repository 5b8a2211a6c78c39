#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

#include "Base/InstanceIdentity.h"

namespace almondspoke {

/** \brief The data centres that can be the home of an idempotency key.
 *
 * The submission group of the home stores the claim on the key. Every instance
 * must be configured with the same list, so that all instances choose the same
 * home for a key that names none. */
class HomeDataCentres
{
public:
  /** \param aSelf data centre of this instance
   * \param aDataCentres all data centres, in any order; aSelf is added if it
   * is missing */
  HomeDataCentres(DataCentreName aSelf,
                  std::vector<DataCentreName> aDataCentres);

  const DataCentreName& Self() const { return mSelf; }

  /** All data centres, sorted by name. */
  const std::vector<DataCentreName>& All() const { return mDataCentres; }

  bool Contains(std::string_view aDataCentre) const;

  /** Returns the home of a key that names none, by rendezvous hashing. */
  const DataCentreName& HomeOf(std::string_view aKey) const;

private:
  DataCentreName mSelf;
  std::vector<DataCentreName> mDataCentres;
};

}
