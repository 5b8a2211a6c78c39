#include "Routing/SpillPolicy.h"

#include <algorithm>

namespace almondspoke {

namespace {

// Instances count as equally near if their round trip is at most the shortest
// one times this factor, plus this margin. A single measurement is not more
// precise than that.
constexpr int kNearRoundTripFactor = 2;
constexpr std::chrono::microseconds kNearRoundTripMargin{ 1000 };

bool
Contains(const std::vector<InstanceName>& aNames, const InstanceName& aName)
{
  return std::find(aNames.begin(), aNames.end(), aName) != aNames.end();
}

std::optional<std::chrono::microseconds>
ShortestRoundTrip(const std::vector<SpillCandidate>& aCandidates,
                  const std::vector<InstanceName>& aTried)
{
  std::optional<std::chrono::microseconds> shortest;
  for (const SpillCandidate& candidate : aCandidates) {
    if (candidate.mRoom > 0 && !Contains(aTried, candidate.mInstance)) {
      shortest = shortest ? std::min(*shortest, candidate.mRoundTrip)
                          : candidate.mRoundTrip;
    }
  }
  return shortest;
}

}

SpillChoice
SpillPolicy::Choose(const std::vector<SpillCandidate>& aCandidates,
                    std::chrono::microseconds aTimeLeft,
                    const std::vector<InstanceName>& aTried) const
{
  const auto shortest = ShortestRoundTrip(aCandidates, aTried);
  if (!shortest) {
    return { std::nullopt, "no other data centre has room" };
  }
  if (aTimeLeft <= *shortest) {
    return { std::nullopt, "the deadline would pass before the answer" };
  }
  const auto longestRoundTrip = std::min(
    aTimeLeft, *shortest * kNearRoundTripFactor + kNearRoundTripMargin);
  SpillChoice choice;
  choice.mReason = "no local endpoint; most room among the nearest instances";
  for (std::size_t i = 0; i < aCandidates.size(); ++i) {
    const SpillCandidate& candidate = aCandidates[i];
    if (candidate.mRoom == 0 || candidate.mRoundTrip > longestRoundTrip ||
        Contains(aTried, candidate.mInstance)) {
      continue;
    }
    if (!choice.mTarget ||
        candidate.mRoom > aCandidates[*choice.mTarget].mRoom) {
      choice.mTarget = i;
    }
  }
  return choice;
}

std::string
SpillPolicy::Describe(const SpillCandidate& aCandidate)
{
  return aCandidate.mInstance + " (" + aCandidate.mDataCentre + ", " +
         std::to_string(aCandidate.mRoom) + " free, " +
         std::to_string(aCandidate.mRoundTrip.count()) + " us)";
}

}
