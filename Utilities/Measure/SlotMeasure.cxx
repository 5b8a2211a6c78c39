// Measures what the slot leases cost: time and bytes of one exchange between a
// holder and the grantor, by endpoints, teams, holders and changes.
// Usage: measure_slots [series]
// "series" prints the rows of Utilities/measure capacity only.
#include <chrono>
#include <cstdio>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "LinearFit.h"
#include "Routing/SlotAllocator.h"
#include "Routing/SlotHolder.h"
#include "Routing/SlotMessages.h"
#include "Support/ManualClock.h"

using namespace almondspoke;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t kSlotsOfEndpoint = 8;

double
Microseconds(std::chrono::steady_clock::time_point aStart)
{
  const std::chrono::duration<double, std::micro> elapsed =
    std::chrono::steady_clock::now() - aStart;
  return elapsed.count();
}

std::size_t
EncodedSize(const SlotRequest& aRequest)
{
  msgpack::sbuffer buffer;
  msgpack::pack(buffer, aRequest);
  return buffer.size();
}

std::size_t
EncodedSize(const std::vector<SlotReply>& aReplies)
{
  msgpack::sbuffer buffer;
  for (const SlotReply& reply : aReplies) {
    msgpack::pack(buffer, reply);
  }
  return buffer.size();
}

/** \brief What one exchange of a holder with the grantor costs. */
struct ExchangeCost
{
  double mMicroseconds = 0;
  double mBytes = 0;
};

/** \brief One grantor, and holders that are asked in turn. */
class SlotLeaseBench
{
public:
  SlotLeaseBench(int aEndpoints, int aHolders, int aTeams = 0)
    : mEndpoints(aEndpoints)
    , mGrantor(mClock, 1, {})
  {
    for (int i = 0; i < aEndpoints; ++i) {
      mGrantor.SetCapacity(Pool(i), kSlotsOfEndpoint);
    }
    for (int i = 0; i < aTeams; ++i) {
      mGrantor.SetCapacity({ PoolType::TeamSlots, "team-" + std::to_string(i) },
                           kSlotsOfEndpoint);
    }
    mClock.Advance(3s);
    for (int i = 0; i < aHolders; ++i) {
      mHolders.push_back(std::make_unique<SlotHolder>(
        mClock,
        InstanceIdentity{ "i" + std::to_string(i), "dc1", 1 },
        SlotHolder::Mode::Leased));
      for (int round = 0; round < 3; ++round) {
        (void)Exchange(*mHolders.back());
      }
    }
  }

  ExchangeCost Measure(int aChanges)
  {
    constexpr int kRounds = 100;
    std::size_t bytes = 0;
    const auto start = std::chrono::steady_clock::now();
    for (int round = 0; round < kRounds; ++round) {
      for (const auto& holder : mHolders) {
        for (int i = 0; i < aChanges; ++i) {
          const int pool = (round * aChanges + i) % mEndpoints;
          holder->AddWanted(Pool(pool), round % 2 == 0 ? 1 : -1);
        }
        bytes += Exchange(*holder);
      }
    }
    const int exchanges = kRounds * static_cast<int>(mHolders.size());
    return { Microseconds(start) / exchanges,
             static_cast<double>(bytes) / exchanges };
  }

private:
  static PoolId Pool(int aIndex)
  {
    return { PoolType::EndpointSlots, "runner-" + std::to_string(aIndex) };
  }

  std::size_t Exchange(SlotHolder& aHolder)
  {
    const SlotRequest request = aHolder.BuildRequest();
    const std::vector<SlotReply> replies = mGrantor.Handle(request);
    for (const SlotReply& reply : replies) {
      for (const auto& holder : mHolders) {
        holder->Apply(reply);
      }
    }
    return EncodedSize(request) + EncodedSize(replies);
  }

  int mEndpoints;
  testing::ManualClock mClock;
  SlotAllocator mGrantor;
  std::vector<std::unique_ptr<SlotHolder>> mHolders;
};

void
MeasureSlots()
{
  for (const int endpoints : { 50, 1600 }) {
    for (const int holders : { 2, 4, 16 }) {
      SlotLeaseBench bench(endpoints, holders);
      for (const int changes : { 0, 10, 50 }) {
        const ExchangeCost cost = bench.Measure(changes);
        std::printf("%4d endpoints, %2d holders, %4d changes: %8.1f us, "
                    "%6.0f bytes for each exchange\n",
                    endpoints,
                    holders,
                    changes,
                    cost.mMicroseconds,
                    cost.mBytes);
      }
    }
  }
}

/** \brief Points of the costs by one quantity. */
struct ExchangeSeries
{
  void Add(int aQuantity, const ExchangeCost& aCost)
  {
    mMicroseconds.push_back({ double(aQuantity), aCost.mMicroseconds });
    mBytes.push_back({ double(aQuantity), aCost.mBytes });
  }

  void Print(const std::string& aName, const std::string& aBy) const
  {
    measure::PrintSeries(aName + ", processor", aBy, "us", mMicroseconds);
    measure::PrintSeries(aName + ", sent", aBy, "B", mBytes);
  }

  std::vector<measure::Point> mMicroseconds;
  std::vector<measure::Point> mBytes;
};

void
PrintSlotSeries()
{
  constexpr int kHolders = 4;
  constexpr int kEndpoints = 1600;
  ExchangeSeries endpoints;
  for (const int count : { 10, 100, 400, 1600, 6400, 20000 }) {
    endpoints.Add(count, SlotLeaseBench(count, kHolders).Measure(0));
  }
  endpoints.Print("slot exchange at rest", "endpoints");
  ExchangeSeries teams;
  for (const int count : { 10, 100, 400, 1200 }) {
    teams.Add(count, SlotLeaseBench(1, kHolders, count).Measure(0));
  }
  teams.Print("slot exchange at rest, one endpoint", "teams");
  ExchangeSeries holders;
  for (const int count : { 2, 4, 8 }) {
    holders.Add(count, SlotLeaseBench(kEndpoints, count).Measure(0));
  }
  holders.Print("slot exchange at rest, 1,600 endpoints", "holders");
  ExchangeSeries changes;
  for (const int count : { 1, 10, 50, 200 }) {
    changes.Add(count, SlotLeaseBench(kEndpoints, kHolders).Measure(count));
  }
  changes.Print("slot exchange, 1,600 endpoints", "changes of demand");
}

}

int
main(int aCount, char** aArguments)
{
  if (aCount > 1 && std::string_view(aArguments[1]) == "series") {
    PrintSlotSeries();
    return 0;
  }
  if (aCount > 1) {
    std::fprintf(stderr,
                 "measure_slots: unknown argument '%s' (allowed: series)\n",
                 aArguments[1]);
    return 2;
  }
  MeasureSlots();
  return 0;
}
