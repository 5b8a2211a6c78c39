#include <map>
#include <memory>
#include <optional>
#include <random>

#include <catch2/catch.hpp>

#include "Routing/SlotAllocator.h"
#include "Routing/SlotHolder.h"
#include "Routing/SlotMessages.h"
#include "Support/ManualClock.h"

using namespace almondspoke;
using namespace std::chrono_literals;
using almondspoke::testing::ManualClock;

namespace {

const PoolId kEndpointPool{ PoolType::EndpointSlots, "e1" };
constexpr std::uint32_t kSlots = 8;
constexpr auto kStep = 5ms;

/** \brief Faults injected into one run. Probabilities are per message or per
 * step. */
struct FaultRow
{
  const char* mName;
  double mLossProbability;
  double mDuplicateProbability;
  std::chrono::milliseconds mMaxDelay;
  double mLongDelayProbability;
  double mPauseProbability;
  double mNewGrantorProbability;
  double mRestartProbability;
  /** Largest relative difference between the clock rates of a holder and the
   * grantor. */
  double mMaxClockDrift;
};

struct Message
{
  std::optional<SlotRequest> mRequest;
  std::optional<SlotReply> mReply;
};

struct HolderProcess
{
  ManualClock mClock;
  double mClockRate = 1;
  std::uint64_t mIncarnation = 1;
  std::unique_ptr<SlotHolder> mHolder;
  std::shared_ptr<SlotPool> mPool;
  std::chrono::milliseconds mPausedUntil{ 0 };
  std::int32_t mWanted = 0;
};

/** \brief Simulates a grantor and its holders with the faults of one row and
 * one seed. */
class FaultRun
{
public:
  FaultRun(const FaultRow& aRow, unsigned aSeed)
    : mRow(aRow)
    , mRandom(aSeed)
    , mHolders(3)
  {
    for (HolderProcess& process : mHolders) {
      process.mClockRate = 1 + mRow.mMaxClockDrift * (2 * RandomFraction() - 1);
      Start(process);
    }
    ReplaceGrantor();
  }

  void Run(std::chrono::milliseconds aLength)
  {
    const auto end = mNow + aLength;
    while (mNow < end) {
      Step();
    }
  }

  /** Ends all faults except the clock drift. */
  void StopFaults()
  {
    mRow = { "no more faults", 0, 0, 1ms, 0, 0, 0, 0, mRow.mMaxClockDrift };
  }

  std::uint32_t UsableSlots() const
  {
    std::uint32_t usable = 0;
    for (const HolderProcess& process : mHolders) {
      usable += process.mHolder->IsLeaseValid() ? process.mPool->Granted() : 0;
    }
    return usable;
  }

  std::uint32_t mMaxUsableSlots = 0;
  std::uint64_t mStarts = 0;

private:
  double RandomFraction()
  {
    return std::uniform_real_distribution<double>(0, 1)(mRandom);
  }

  void Start(HolderProcess& aProcess)
  {
    aProcess.mHolder = std::make_unique<SlotHolder>(
      aProcess.mClock,
      InstanceIdentity{ "i" + std::to_string(&aProcess - mHolders.data()),
                        "dc1",
                        aProcess.mIncarnation },
      SlotHolder::Mode::Leased);
    aProcess.mPool = aProcess.mHolder->Pool(kEndpointPool);
    aProcess.mWanted = 0;
  }

  void ReplaceGrantor()
  {
    mGrantor =
      std::make_unique<SlotAllocator>(mClock, ++mTerm, SlotAllocatorSettings{});
    mGrantor->SetCapacity(kEndpointPool, kSlots);
  }

  void Send(const Message& aMessage)
  {
    const int copies = RandomFraction() < mRow.mDuplicateProbability ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
      if (RandomFraction() < mRow.mLossProbability) {
        continue;
      }
      auto delay = std::chrono::duration_cast<std::chrono::milliseconds>(
        RandomFraction() * mRow.mMaxDelay);
      if (RandomFraction() < mRow.mLongDelayProbability) {
        delay += 6s;
      }
      mNetwork.emplace(mNow + delay, aMessage);
    }
  }

  void SendReplies(const std::vector<SlotReply>& aReplies)
  {
    for (const SlotReply& reply : aReplies) {
      Send({ std::nullopt, reply });
    }
  }

  void Receive(const Message& aMessage)
  {
    if (aMessage.mRequest) {
      SendReplies(mGrantor->Handle(*aMessage.mRequest));
      return;
    }
    for (HolderProcess& process : mHolders) {
      if (mNow < process.mPausedUntil) {
        continue;
      }
      if (process.mHolder->Apply(*aMessage.mReply)) {
        Send({ process.mHolder->BuildRequest(), std::nullopt });
      }
    }
  }

  void SimulateWork(HolderProcess& aProcess)
  {
    const auto now = aProcess.mClock.MonotonicNow();
    if (RandomFraction() < 0.05) {
      const auto wanted = static_cast<std::int32_t>(RandomFraction() * kSlots);
      aProcess.mHolder->AddWanted(kEndpointPool, wanted - aProcess.mWanted);
      aProcess.mWanted = wanted;
    }
    if (RandomFraction() < 0.3 && aProcess.mPool->TryAcquire(now)) {
      ++mStarts;
    }
    if (RandomFraction() < 0.3 && aProcess.mPool->InUse() > 0 &&
        aProcess.mPool->Release()) {
      aProcess.mHolder->RecordReturnedSlot(kEndpointPool);
    }
    if (aProcess.mHolder->IsRequestDue()) {
      Send({ aProcess.mHolder->BuildRequest(), std::nullopt });
    }
  }

  void Step()
  {
    mNow += kStep;
    mClock.Advance(kStep);
    for (HolderProcess& process : mHolders) {
      process.mClock.Advance(
        std::chrono::duration_cast<std::chrono::nanoseconds>(
          kStep * process.mClockRate));
    }
    if (RandomFraction() < mRow.mNewGrantorProbability) {
      ReplaceGrantor();
    }
    while (!mNetwork.empty() && mNetwork.begin()->first <= mNow) {
      const Message message = mNetwork.begin()->second;
      mNetwork.erase(mNetwork.begin());
      Receive(message);
      mMaxUsableSlots = std::max(mMaxUsableSlots, UsableSlots());
    }
    SendReplies(mGrantor->Tick());
    for (HolderProcess& process : mHolders) {
      if (RandomFraction() < mRow.mRestartProbability) {
        ++process.mIncarnation;
        Start(process);
      }
      if (RandomFraction() < mRow.mPauseProbability) {
        process.mPausedUntil = mNow + 4s;
      }
      if (mNow >= process.mPausedUntil) {
        SimulateWork(process);
      }
    }
    mMaxUsableSlots = std::max(mMaxUsableSlots, UsableSlots());
  }

  FaultRow mRow;
  std::mt19937 mRandom;
  ManualClock mClock;
  std::chrono::milliseconds mNow{ 0 };
  Term mTerm = 0;
  std::unique_ptr<SlotAllocator> mGrantor;
  std::vector<HolderProcess> mHolders;
  std::multimap<std::chrono::milliseconds, Message> mNetwork;
};

const std::vector<FaultRow> kFaultRows = {
  { "no fault", 0, 0, 1ms, 0, 0, 0, 0, 0 },
  { "loss", 0.3, 0, 5ms, 0, 0, 0, 0, 0 },
  { "duplicates", 0, 0.5, 20ms, 0, 0, 0, 0, 0 },
  { "reordering", 0, 0.2, 300ms, 0, 0, 0, 0, 0 },
  { "messages delayed beyond a lease", 0.1, 0.3, 50ms, 0.1, 0, 0, 0, 0 },
  { "paused processes", 0.05, 0.1, 20ms, 0, 0.002, 0, 0, 0 },
  { "new grantors", 0.05, 0.1, 50ms, 0.02, 0, 0.001, 0, 0 },
  { "restarts", 0.05, 0.1, 50ms, 0.02, 0, 0, 0.002, 0 },
  { "clock drift", 0.1, 0.1, 50ms, 0.02, 0.001, 0, 0, 0.04 },
  { "all faults", 0.2, 0.3, 300ms, 0.05, 0.001, 0.0005, 0.001, 0.04 },
};

}

TEST_CASE("Slots under faults: capacity is never exceeded and recovers "
          "afterwards")
{
  const std::size_t index =
    GENERATE(range(std::size_t{ 0 }, kFaultRows.size()));
  const FaultRow& row = kFaultRows[index];
  constexpr unsigned kSeeds = 20;
  for (unsigned seed = 1; seed <= kSeeds; ++seed) {
    FaultRun run(row, seed);
    run.Run(30s);
    CAPTURE(row.mName, seed);
    REQUIRE(run.mMaxUsableSlots <= kSlots);
    run.StopFaults();
    run.Run(12s);
    REQUIRE(run.mMaxUsableSlots <= kSlots);
    REQUIRE(run.mStarts > 0);
    REQUIRE(run.UsableSlots() >= kSlots - 1);
  }
}
