// Less capacity than work, with tasks of about half a worker: what callers get
// under both admission policies.
#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "Dispatch/SimulatedInstallation.h"

using namespace almondspoke;
using almondspoke::dispatch::AdmissionPolicy;
using almondspoke::testing::InstallationModel;
using almondspoke::testing::JobFate;
using almondspoke::testing::OfferedJob;
using almondspoke::testing::SimulatedInstallation;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::uint64_t kSeed = 1;

/** By how much a queue's share of jobs in time may fall. */
constexpr double kTolerance = 0.01;

/** A load that the workers bear. The test case also offers 2.3 times as much.
 */
constexpr double kUsualLoad = 0.6;
constexpr seconds kBurstTime{ 4 };
constexpr seconds kTimeAfterBurst{ 4 };

InstallationModel
ModelOf(AdmissionPolicy aPolicy)
{
  InstallationModel model;
  model.mWorkersOfDataCentre = 58;
  model.mMilliCoresOfWorker = 16'000;
  model.mMilliCoresOfTask = 8000;
  model.mTaskSpread = 0.2;
  model.mDurationSpread = 0.55;
  model.mEstimateError = 1.4;
  model.mExchangeCost = std::chrono::microseconds(100);
  model.mAdmission = aPolicy;
  model.mQueues = {
    { "short", 0, milliseconds(60), 8, 3 },
    { "long", 2, milliseconds(900), 4, 1 },
    { "medium", 1, milliseconds(200), 2, 6 },
  };
  // Fills all cores at load 1: 348 workers of two tasks, mean duration 216 ms.
  model.mTasksPerSecond = 3200;
  return model;
}

struct Fates
{
  double mOnTime = 0;
  double mLate = 0;
  double mRefusedWithRoom = 0;
  double mJobs = 0;

  void Add(const OfferedJob& aJob)
  {
    mJobs += 1;
    mOnTime += aJob.mFate == JobFate::OnTime ? 1 : 0;
    mLate += aJob.mFate == JobFate::Late ? 1 : 0;
    mRefusedWithRoom += aJob.mFate == JobFate::RefusedWithRoom ? 1 : 0;
  }
  double OnTimeShare() const { return mOnTime / mJobs; }
};

struct Outcome
{
  std::map<std::string, Fates> mQueues;
  /** The jobs of a queue with the largest tasks, a tenth, and the fifth below
   * them. */
  std::map<std::string, Fates> mLargest;
  std::map<std::string, Fates> mLarge;
  std::size_t mErrors = 0;
};

void
AddSizes(Outcome& aOutcome,
         const std::string& aQueue,
         std::vector<OfferedJob> aJobs)
{
  std::sort(
    aJobs.begin(), aJobs.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.mMilliCores > aRight.mMilliCores;
    });
  const std::size_t tenth = aJobs.size() / 10;
  for (std::size_t i = 0; i < tenth * 3; ++i) {
    (i < tenth ? aOutcome.mLargest : aOutcome.mLarge)[aQueue].Add(aJobs[i]);
  }
}

Outcome
OutcomeOf(SimulatedInstallation& aInstallation)
{
  Outcome outcome;
  std::map<std::string, std::vector<OfferedJob>> jobs;
  for (const OfferedJob& job : aInstallation.TakeOffered()) {
    outcome.mQueues[job.mQueue].Add(job);
    jobs[job.mQueue].push_back(job);
  }
  for (const auto& [queue, ofQueue] : jobs) {
    AddSizes(outcome, queue, ofQueue);
  }
  outcome.mErrors = aInstallation.Errors().size();
  return outcome;
}

Outcome
PlayBurst(AdmissionPolicy aPolicy, double aLoad)
{
  SimulatedInstallation installation(kSeed, ModelOf(aPolicy));
  installation.Offer(kUsualLoad, seconds(2));
  installation.TakeOffered();
  installation.Offer(aLoad, kBurstTime);
  installation.Offer(kUsualLoad, kTimeAfterBurst);
  installation.Offer(0, seconds(2));
  return OutcomeOf(installation);
}

/** Plays a change of the leader whose recovery takes as long as a lease. */
Outcome
PlayChangeOfLeader(AdmissionPolicy aPolicy)
{
  SimulatedInstallation installation(kSeed, ModelOf(aPolicy));
  installation.Offer(kUsualLoad, seconds(2));
  installation.TakeOffered();
  installation.ChangeLeader("w0");
  installation.Offer(kUsualLoad, seconds(3));
  installation.Offer(0, seconds(2));
  return OutcomeOf(installation);
}

}

TEST_CASE("Admission simulation: a burst over the capacity of the workers is "
          "served no worse in any queue, and better in all")
{
  const double load = GENERATE(0.8, 0.9, 1.1, 1.38);
  const Outcome before = PlayBurst(AdmissionPolicy::Fixed, load);
  const Outcome after = PlayBurst(AdmissionPolicy::ExpectedEnd, load);
  CHECK(before.mErrors == 0);
  CHECK(after.mErrors == 0);
  double gained = 0;
  for (const auto& [queue, fates] : after.mQueues) {
    const Fates& old = before.mQueues.at(queue);
    INFO("load " << load << ", queue " << queue << ", in time "
                 << old.OnTimeShare() << " before, " << fates.OnTimeShare()
                 << " after; late " << old.mLate << ", " << fates.mLate);
    CHECK(fates.OnTimeShare() >= old.OnTimeShare() - kTolerance);
    CHECK(fates.mRefusedWithRoom == 0);
    // No size starves.
    CHECK(after.mLargest.at(queue).OnTimeShare() >= fates.OnTimeShare() / 2);
    CHECK(after.mLarge.at(queue).OnTimeShare() >= fates.OnTimeShare() / 2);
    gained += fates.mOnTime - old.mOnTime;
  }
  CHECK(gained >= 0);
}

TEST_CASE("Admission simulation: while a new leader recovers, jobs that can "
          "still be answered wait for it")
{
  const Outcome before = PlayChangeOfLeader(AdmissionPolicy::Fixed);
  const Outcome after = PlayChangeOfLeader(AdmissionPolicy::ExpectedEnd);
  CHECK(before.mErrors == 0);
  CHECK(after.mErrors == 0);
  double refusedBefore = 0;
  double refusedAfter = 0;
  for (const auto& [queue, fates] : after.mQueues) {
    const Fates& old = before.mQueues.at(queue);
    INFO(queue << ": in time " << old.OnTimeShare() << " before, "
               << fates.OnTimeShare() << " after; late " << old.mLate << ", "
               << fates.mLate << "; refused with room " << old.mRefusedWithRoom
               << ", " << fates.mRefusedWithRoom << " of " << fates.mJobs);
    CHECK(fates.OnTimeShare() >= old.OnTimeShare() - kTolerance);
    refusedBefore += old.mRefusedWithRoom;
    refusedAfter += fates.mRefusedWithRoom;
  }
  CHECK(refusedAfter <= refusedBefore / 2);
}

TEST_CASE("Admission simulation: where starts are scarce, wide urgent jobs do "
          "not lose to narrow ones of a lower priority")
{
  const auto play = [](AdmissionPolicy aPolicy) {
    InstallationModel model;
    model.mAdmission = aPolicy;
    model.mQueues = {
      { "wide", 0, milliseconds(60), 16, 1 },
      { "narrow", 2, milliseconds(60), 1, 9 },
    };
    SimulatedInstallation installation(kSeed, model);
    constexpr double kTooManyStarts = 1.5;
    installation.Offer(kTooManyStarts, seconds(4));
    installation.Offer(0, seconds(2));
    return OutcomeOf(installation);
  };
  Outcome before = play(AdmissionPolicy::Fixed);
  Outcome after = play(AdmissionPolicy::ExpectedEnd);
  for (const char* queue : { "wide", "narrow" }) {
    INFO(queue << ": in time " << before.mQueues[queue].OnTimeShare()
               << " before, " << after.mQueues[queue].OnTimeShare()
               << " after");
    CHECK(after.mQueues[queue].OnTimeShare() >=
          before.mQueues[queue].OnTimeShare() - kTolerance);
  }
  for (Outcome* outcome : { &before, &after }) {
    CHECK(outcome->mQueues["wide"].OnTimeShare() >=
          outcome->mQueues["narrow"].OnTimeShare());
    CHECK(outcome->mErrors == 0);
  }
}
