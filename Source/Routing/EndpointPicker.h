#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <random>
#include <string_view>
#include <vector>

#include "Base/EnumNames.h"
#include "Membership/Endpoint.h"
#include "Routing/RequestQueue.h"

namespace almondspoke {

/** \brief An endpoint that is eligible for an attempt. */
struct PickCandidate
{
  const EndpointName* mName = nullptr;
  std::uint32_t mSlots = 0;
  std::uint32_t mInUse = 0;
  /** Run time relative to the rest of the fleet; 1 means equally fast. */
  double mSlowness = 1;
};

/** \brief Chooses the endpoint of an attempt from the candidates. Not
 * thread-safe. */
class EndpointPicker
{
public:
  using Random = std::mt19937_64;

  virtual ~EndpointPicker() = default;

  /** Returns the index of the chosen candidate. aCandidates must not be empty.
   */
  virtual std::size_t Pick(const std::vector<PickCandidate>& aCandidates,
                           Random& aRandom) = 0;

  /** Returns the reason that is written to the decision log. */
  virtual std::string_view Reason() const = 0;
};

/** \brief A routing strategy, selected by name in the settings. */
enum class RoutingStrategy
{
  LeastLoaded,
  Fifo,
  RoundRobin,
  Random,
  PowerOfTwo
};

/** \brief Properties of a routing strategy. */
struct StrategyTraits
{
  RoutingStrategy mStrategy;
  std::string_view mName;
  QueueOrder mOrder;
  /** False for strategies that dispatch immediately even if no slot is free. */
  bool mRespectsSlots;
  std::unique_ptr<EndpointPicker> (*mMakePicker)();
};

const StrategyTraits&
StrategyTraitsOf(RoutingStrategy aStrategy);

/** Returns the traits of all strategies, in the order of RoutingStrategy. */
const std::array<StrategyTraits, 5>&
AllStrategies();

/** Names of the strategies for settings and error messages. */
extern const std::array<EnumName<RoutingStrategy>, 5> kRoutingStrategyNames;

}
