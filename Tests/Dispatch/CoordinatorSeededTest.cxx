#include <array>
#include <functional>

#include <catch2/catch.hpp>

#include "Dispatch/DispatchFixture.h"
#include "Support/RandomDraws.h"

using namespace almondspoke;
using namespace almondspoke::dispatch;
using almondspoke::testing::DispatchFixture;
using almondspoke::testing::RandomDraws;
using std::chrono::milliseconds;

namespace {

constexpr int kSeeds = 400;
constexpr int kWorkers = 5;
constexpr int kRounds = 60;

/** \brief A random run: stored and best-effort jobs while workers fail and
 * leaders change. */
class RandomFaultRun : private RandomDraws
{
public:
  explicit RandomFaultRun(std::uint64_t aSeed,
                          AdmissionPolicy aAdmission = AdmissionPolicy::Fixed)
    : RandomDraws(aSeed * 7919 + 1)
    , mFixture(aSeed)
  {
    mFixture.mOptions.mAdmission = aAdmission;
    mFixture.AddWorkers(kWorkers, 30'000);
    mFixture.StartLeader();
    mFixture.Run(milliseconds(100));
  }

  /** Returns the first violated invariant or unfinished stored job; empty if
   * there is none. */
  std::string RunRounds()
  {
    for (int round = 0; round < kRounds; ++round) {
      SubmitRandomJob();
      if (Chance(0.25)) {
        InjectFault();
      }
      if (Chance(0.2)) {
        ClearFault();
      }
      mFixture.Run(milliseconds(Between(10, 150)));
      if (!mFixture.mFleet.Errors().empty()) {
        return mFixture.mFleet.Errors().front();
      }
    }
    ClearAllFaults();
    mFixture.Run(milliseconds(25'000));
    if (!mFixture.mFleet.Errors().empty()) {
      return mFixture.mFleet.Errors().front();
    }
    return FindUnfinishedJob();
  }

private:
  std::string AnyWorker()
  {
    return "w" + std::to_string(Between(0, kWorkers - 1));
  }

  void SubmitRandomJob()
  {
    const bool stored = Chance(0.4);
    // Long enough for heap allocation, like the ids of real callers.
    const std::string id = "5c0e7a21d94b36f8-" + std::to_string(mJobs.size());
    // Drawn one by one: the order in which arguments are evaluated differs
    // between compilers and machines.
    const std::string queue = Chance(0.5) ? "urgent" : "patient";
    const int tasks = Between(1, 6);
    const int cores = Between(4, 15);
    JobCall call = mFixture.CallOf(queue,
                                   id,
                                   static_cast<std::uint32_t>(tasks),
                                   static_cast<std::uint32_t>(cores * 1000),
                                   stored);
    call.mJob.mSteps.front().mEstimateMs = 80;
    mJobs.push_back(call);
    mFixture.Submit(call, milliseconds(Between(20, 400)));
    if (Chance(0.1)) {
      JobCall again = mJobs[Between(0, static_cast<int>(mJobs.size()) - 1)];
      again.mEarlierSends = Chance(0.5) ? 1 : 0;
      mFixture.Call(again);
    }
  }

  void InjectFault()
  {
    using Fault = void (RandomFaultRun::*)();
    static constexpr std::array<Fault, 8> kFaults = {
      &RandomFaultRun::DisconnectWorker, &RandomFaultRun::LoseAnswers,
      &RandomFaultRun::DelayStarts,      &RandomFaultRun::CrashWorker,
      &RandomFaultRun::FailRuns,         &RandomFaultRun::HangRuns,
      &RandomFaultRun::ChangeLeader,     &RandomFaultRun::LoseStoreOutcomes
    };
    (this->*kFaults[static_cast<std::size_t>(Between(0, 7))])();
  }

  void DisconnectWorker()
  {
    mFixture.mFleet.NetworkFaultsOf(AnyWorker()).mUnreachable = true;
  }
  void LoseAnswers()
  {
    mFixture.mFleet.NetworkFaultsOf(AnyWorker()).mAnswersLost = true;
  }
  void DelayStarts()
  {
    mFixture.mFleet.NetworkFaultsOf(AnyWorker()).mLateStartFraction = 0.3;
  }
  void FailRuns() { mFixture.mFleet.RunBehaviorOf(AnyWorker()).mFails = true; }
  void HangRuns() { mFixture.mFleet.RunBehaviorOf(AnyWorker()).mHangs = true; }
  void LoseStoreOutcomes() { mFixture.mGroup.mUnknownOutcomeFraction = 0.5; }
  void CrashWorker()
  {
    const int worker = Between(0, kWorkers - 1);
    mFixture.mReports[worker] =
      mFixture.mFleet.Restart("w" + std::to_string(worker));
    if (Chance(0.5)) {
      mFixture.CurrentCoordinator().OnReport(mFixture.mReports[worker]);
    }
  }
  void ChangeLeader()
  {
    mFixture.CurrentLeader().mTransport.mDelay = milliseconds(Between(0, 1500));
    mFixture.Run(milliseconds(Between(0, 20)));
    mFixture.StartLeader();
  }

  void ClearFault()
  {
    const std::string worker = AnyWorker();
    mFixture.mFleet.NetworkFaultsOf(worker) = {};
    mFixture.mFleet.RunBehaviorOf(worker) = {};
    mFixture.mGroup.mUnknownOutcomeFraction = 0;
  }
  void ClearAllFaults()
  {
    for (int i = 0; i < kWorkers; ++i) {
      const std::string worker = "w" + std::to_string(i);
      mFixture.mFleet.NetworkFaultsOf(worker) = {};
      mFixture.mFleet.RunBehaviorOf(worker) = {};
    }
    mFixture.mGroup.mUnknownOutcomeFraction = 0;
  }

  std::string FindUnfinishedJob()
  {
    for (const auto& [id, job] : mFixture.mGroup.mState.mJobs) {
      const bool ended =
        job.mState == JobState::Completed || job.mState == JobState::Failed;
      if (!ended) {
        return "stored job has not ended: " + id;
      }
    }
    return {};
  }

  DispatchFixture mFixture;
  std::vector<JobCall> mJobs;
};

}

TEST_CASE("Dispatch: invariants hold under random combinations of faults")
{
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    INFO("seed " << seed);
    const std::string error = RandomFaultRun(seed).RunRounds();
    INFO(error);
    CHECK(error.empty());
  }
}

TEST_CASE("Dispatch: invariants hold under random combinations of faults with "
          "admission by the expected end")
{
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    INFO("seed " << seed);
    const std::string error =
      RandomFaultRun(seed, AdmissionPolicy::ExpectedEnd).RunRounds();
    INFO(error);
    CHECK(error.empty());
  }
}
