#include "Routing/EndpointPicker.h"

#include <algorithm>

namespace almondspoke {

namespace {

// Cost added for a fully loaded endpoint, relative to an idle one of the same
// speed.
constexpr double kLoadWeight = 0.5;

double
CostOf(const PickCandidate& aCandidate)
{
  const double slots = std::max<std::uint32_t>(aCandidate.mSlots, 1);
  const double load = aCandidate.mInUse / slots;
  return aCandidate.mSlowness * (1 + kLoadWeight * load);
}

/** \brief Chooses the endpoint with the lowest expected run time, computed from
 * load and slowness. Ties are broken at random. */
class LeastLoadedPicker : public EndpointPicker
{
public:
  std::size_t Pick(const std::vector<PickCandidate>& aCandidates,
                   Random& aRandom) override
  {
    const std::size_t count = aCandidates.size();
    const std::size_t first = aRandom() % count;
    std::size_t best = first;
    double bestCost = CostOf(aCandidates[first]);
    for (std::size_t step = 1; step < count; ++step) {
      const std::size_t index = (first + step) % count;
      const double cost = CostOf(aCandidates[index]);
      if (cost < bestCost) {
        best = index;
        bestCost = cost;
      }
    }
    return best;
  }

  std::string_view Reason() const override
  {
    return "lowest expected time by load and speed";
  }
};

/** \brief Chooses the candidates in turn. */
class RoundRobinPicker : public EndpointPicker
{
public:
  std::size_t Pick(const std::vector<PickCandidate>& aCandidates,
                   Random&) override
  {
    return mNext++ % aCandidates.size();
  }

  std::string_view Reason() const override { return "next in turn"; }

private:
  std::size_t mNext = 0;
};

/** \brief Chooses a random candidate. */
class RandomPicker : public EndpointPicker
{
public:
  std::size_t Pick(const std::vector<PickCandidate>& aCandidates,
                   Random& aRandom) override
  {
    return aRandom() % aCandidates.size();
  }

  std::string_view Reason() const override { return "random"; }
};

/** \brief Chooses the less loaded of two random candidates. */
class PowerOfTwoPicker : public EndpointPicker
{
public:
  std::size_t Pick(const std::vector<PickCandidate>& aCandidates,
                   Random& aRandom) override
  {
    const std::size_t left = aRandom() % aCandidates.size();
    const std::size_t right = aRandom() % aCandidates.size();
    return aCandidates[left].mInUse <= aCandidates[right].mInUse ? left : right;
  }

  std::string_view Reason() const override
  {
    return "less loaded of two random endpoints";
  }
};

template<typename Picker>
std::unique_ptr<EndpointPicker>
Make()
{
  return std::make_unique<Picker>();
}

constexpr std::array<StrategyTraits, 5> kStrategies = { {
  { RoutingStrategy::LeastLoaded,
    "least-loaded",
    QueueOrder::Shares,
    true,
    &Make<LeastLoadedPicker> },
  { RoutingStrategy::Fifo,
    "fifo",
    QueueOrder::Arrival,
    true,
    &Make<LeastLoadedPicker> },
  { RoutingStrategy::RoundRobin,
    "round-robin",
    QueueOrder::Arrival,
    false,
    &Make<RoundRobinPicker> },
  { RoutingStrategy::Random,
    "random",
    QueueOrder::Arrival,
    false,
    &Make<RandomPicker> },
  { RoutingStrategy::PowerOfTwo,
    "power-of-two",
    QueueOrder::Arrival,
    false,
    &Make<PowerOfTwoPicker> },
} };

}

const std::array<EnumName<RoutingStrategy>, 5> kRoutingStrategyNames = { {
  { RoutingStrategy::LeastLoaded, "least-loaded" },
  { RoutingStrategy::Fifo, "fifo" },
  { RoutingStrategy::RoundRobin, "round-robin" },
  { RoutingStrategy::Random, "random" },
  { RoutingStrategy::PowerOfTwo, "power-of-two" },
} };

const StrategyTraits&
StrategyTraitsOf(RoutingStrategy aStrategy)
{
  return kStrategies[static_cast<std::size_t>(aStrategy)];
}

const std::array<StrategyTraits, 5>&
AllStrategies()
{
  return kStrategies;
}

}
