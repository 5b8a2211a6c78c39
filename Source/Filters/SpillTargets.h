#pragma once

#include <functional>
#include <vector>

#include "Membership/Endpoint.h"
#include "Routing/SpillPolicy.h"

namespace almondspoke {

/** \brief Tracks which instances of other data centres have capacity for
 * requests of this one; thread-safe. */
class SpillTargets
{
public:
  using Done = std::function<void(std::vector<SpillCandidate>)>;

  virtual ~SpillTargets() = default;

  /** Gets the known instances with their reported capacity, possibly none.
   * aDone is called without locks held, possibly before Find() returns. */
  virtual void Find(const ServiceName& aService, Done aDone) = 0;

  /** Reserves capacity for one request; returns false if there is none left. */
  virtual bool TryReserve(const ServiceName& aService,
                          const InstanceName& aInstance) = 0;

  /** Releases the reservation at the end of the request.
   * \param aHasCapacity false if the instance had no capacity or was
   * unreachable */
  virtual void ReleaseReservation(const ServiceName& aService,
                                  const InstanceName& aInstance,
                                  bool aHasCapacity) = 0;
};

}
