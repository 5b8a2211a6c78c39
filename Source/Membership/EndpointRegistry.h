#pragma once

#include <cstdint>

#include "Base/Result.h"
#include "Membership/Endpoint.h"

namespace almondspoke {

/** \brief Registers endpoints and their usage reports; thread-safe. */
class EndpointRegistry
{
public:
  virtual ~EndpointRegistry() = default;

  /** Adds an endpoint or renews its lease. Errors: StaleIncarnation if a newer
   * incarnation of the endpoint is known, or the same one at another address;
   * TooManyEndpoints if the table is full. */
  virtual Result<void> Announce(const EndpointAnnouncement& aAnnouncement) = 0;

  /** Marks an endpoint as leaving, so that it gets no new work. Errors:
   * NotFound, StaleIncarnation.
   * \param aIncarnation incarnation that leaves; zero for any */
  virtual Result<void> Leave(const EndpointName& aName,
                             std::uint64_t aIncarnation) = 0;

  /** Stores a usage report unless a newer one is known. Errors: NotFound. */
  virtual Result<void> ReportUsage(const EndpointName& aName,
                                   const UsageReport& aReport) = 0;
};

}
