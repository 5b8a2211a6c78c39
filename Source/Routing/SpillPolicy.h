#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "Base/InstanceIdentity.h"

namespace almondspoke {

/** \brief An instance of another data centre that may accept a request. */
struct SpillCandidate
{
  InstanceName mInstance;
  DataCentreName mDataCentre;
  /** IP address and port for callers. */
  std::string mAddress;
  /** Network round trip to the instance and back. */
  std::chrono::microseconds mRoundTrip{ 0 };
  /** Number of requests that it currently accepts from other data centres. */
  std::uint32_t mRoom = 0;
};

/** \brief Destination of a request, with the reason. */
struct SpillChoice
{
  /** Index of the chosen candidate; not set if the request stays here. */
  std::optional<std::size_t> mTarget;
  std::string mReason;
};

/** \brief Chooses the instance of another data centre for a request that has no
 * endpoint in its own one: the instance with the most room among the nearest
 * ones. No instance is chosen if the answer would arrive after the deadline. */
class SpillPolicy
{
public:
  /** \param aTimeLeft time until the deadline of the request.
   * \param aTried instances that must not be chosen again. */
  SpillChoice Choose(const std::vector<SpillCandidate>& aCandidates,
                     std::chrono::microseconds aTimeLeft,
                     const std::vector<InstanceName>& aTried) const;

  /** Returns the description of a candidate for the decision log. */
  static std::string Describe(const SpillCandidate& aCandidate);
};

}
