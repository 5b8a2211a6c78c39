// Pure decisions about new and waiting jobs, on both sides of each bound.
#include <catch2/catch.hpp>

#include "Dispatch/AdmissionStrategy.h"
#include "Dispatch/RoomEstimator.h"
#include "Dispatch/SchedulingPass.h"

using namespace almondspoke;
using namespace almondspoke::dispatch;
using std::chrono::milliseconds;

namespace {

const Clock::Monotonic kStart{ std::chrono::hours(1) };

DispatchJob
MakeJob(int aExpectedMs, std::uint32_t aMilliCores = 8000)
{
  DispatchJob job;
  StepSpec step;
  step.mCount = 1;
  step.mNeeds = { aMilliCores, 64, 0 };
  step.mEstimateMs = static_cast<std::uint32_t>(aExpectedMs);
  job.mSubmission.mSteps.push_back(step);
  job.mSteps.emplace_back(1);
  job.mReadyTaskCount = 1;
  job.mQueue.mSlackFactor = 1.6;
  job.mQueue.mLatencyTargetMs = 60;
  job.mQueue.mPool = "pool";
  job.mExpectedDuration = milliseconds(aExpectedMs);
  job.mArrivedAt = kStart;
  job.mDueAt = kStart + milliseconds(aExpectedMs * 16 / 10 + 60);
  return job;
}

/** Inputs with a queue time of so many milliseconds, for all waiting work and
 * for that ahead of the job. */
AdmissionInputs
InputsOf(double aAheadMs, double aWaitingMs)
{
  AdmissionInputs inputs;
  inputs.mNow = kStart;
  inputs.mBacklog = { aAheadMs * 80, aWaitingMs * 80, 100 };
  return inputs;
}

}

TEST_CASE("Admission: the latest starts allow for wrong estimates and for the "
          "way of orders")
{
  struct Row
  {
    int mExpectedMs;
    int mInTimeMs;
    int mUsefulMs;
  };
  // Slack of the shortest likely run (declared / 1.4), less 20 ms.
  const std::vector<Row> rows = {
    { 60, 65, 322 }, { 200, 125, 702 }, { 900, 425, 2602 }, { 0, 40, 160 }
  };
  for (const Row& row : rows) {
    INFO(row.mExpectedMs);
    DispatchJob job = MakeJob(row.mExpectedMs);
    CHECK(ExpectedEndAdmission::LatestStartInTime(job) ==
          kStart + milliseconds(row.mInTimeMs));
    CHECK(ExpectedEndAdmission::LatestUsefulStart(job) ==
          kStart + milliseconds(row.mUsefulMs));
    // A caller that waits for a shorter time gets no answer after that.
    job.mAnswerBy = kStart + job.mExpectedDuration + milliseconds(30);
    CHECK(ExpectedEndAdmission::LatestUsefulStart(job) ==
          kStart + milliseconds(10));
  }
}

TEST_CASE("Admission: the expected end decides on arrival")
{
  struct Row
  {
    const char* mName;
    AdmissionInputs mInputs;
    AdmissionVerdict mVerdict;
  };
  AdmissionInputs withRoom = InputsOf(9000, 9000);
  withRoom.mHasRoom = true;
  AdmissionInputs observed = InputsOf(100, 100);
  observed.mObservedCores = 40;
  AdmissionInputs noCores = InputsOf(0, 0);
  noCores.mBacklog.mUsableCores = 0;
  const auto recovering = [](int aMs) {
    AdmissionInputs inputs;
    inputs.mNow = kStart;
    inputs.mRecoveryEndsBy = kStart + milliseconds(aMs);
    return inputs;
  };
  const std::vector<Row> rows = {
    { "in time", InputsOf(125, 125), AdmissionVerdict::Accept },
    { "late, useful", InputsOf(126, 126), AdmissionVerdict::AcceptLate },
    { "late at its last use",
      InputsOf(126, 702),
      AdmissionVerdict::AcceptLate },
    { "of no use", InputsOf(126, 703), AdmissionVerdict::Refuse },
    { "in time, much late work",
      InputsOf(125, 9000),
      AdmissionVerdict::Accept },
    { "room now", withRoom, AdmissionVerdict::Accept },
    { "less room than cores", observed, AdmissionVerdict::AcceptLate },
    { "no workers", noCores, AdmissionVerdict::Refuse },
    { "recovery in time", recovering(125), AdmissionVerdict::Accept },
    { "recovery of use", recovering(126), AdmissionVerdict::AcceptLate },
    { "recovery too long", recovering(703), AdmissionVerdict::Refuse },
    { "recovery about over", recovering(-5), AdmissionVerdict::Refuse },
  };
  const ExpectedEndAdmission admission;
  for (const Row& row : rows) {
    INFO(row.mName);
    CHECK(NameOf(kAdmissionVerdictNames,
                 admission.Decide(MakeJob(200), row.mInputs).mVerdict) ==
          NameOf(kAdmissionVerdictNames, row.mVerdict));
  }
  // A refusal during recovery names its end.
  CHECK(admission.Decide(MakeJob(200), recovering(900)).mRetryDelay ==
        milliseconds(900));
  // A stored job would wait without a limit.
  DispatchJob stored = MakeJob(200);
  stored.mIsStored = true;
  CHECK(admission.Decide(stored, InputsOf(126, 126)).mVerdict ==
        AdmissionVerdict::Refuse);
  // A job that may have run is never refused, since that would be untrue.
  DispatchJob known = MakeJob(200);
  known.mMayHaveRun = true;
  CHECK(admission.Decide(known, InputsOf(9000, 9000)).mVerdict ==
        AdmissionVerdict::Accept);
}

TEST_CASE("Admission: the margin for orders follows their answers and the "
          "width of the job")
{
  const ExpectedEndAdmission admission;
  DispatchJob job = MakeJob(200);
  job.mSubmission.mSteps.front().mCount = 10;
  AdmissionInputs inputs = InputsOf(0, 0);
  inputs.mAnswerTime = milliseconds(10);
  CHECK(admission.OrderTime(job, inputs) == milliseconds(20));
  inputs.mAnswerTime = milliseconds(11);
  CHECK(admission.OrderTime(job, inputs) == milliseconds(22));
  inputs.mObservedCores = 160;
  CHECK(admission.OrderTime(job, inputs) == milliseconds(122));
  job.mOrderTime = milliseconds(122);
  CHECK(admission.WaitLimit(job) == kStart + milliseconds(23));
}

TEST_CASE("Admission: a job that waits is deferred, then refused or given up")
{
  const ExpectedEndAdmission admission;
  DispatchJob job = MakeJob(200);
  CHECK(admission.WaitLimit(job) == kStart + milliseconds(125));
  CHECK(admission.OnWaitLimit(job, kStart + milliseconds(126)) ==
        AdmissionVerdict::AcceptLate);
  CHECK(admission.OnWaitLimit(job, kStart + milliseconds(703)) ==
        AdmissionVerdict::Refuse);
  job.mIsLate = true;
  CHECK(admission.WaitLimit(job) == kStart + milliseconds(702));
  CHECK(admission.OnWaitLimit(job, kStart + milliseconds(703)) ==
        AdmissionVerdict::Refuse);
  job.mIsLate = false;
  job.mStarted = true;
  CHECK(admission.WaitLimit(job) == kStart + milliseconds(180));
  CHECK(admission.OnWaitLimit(job, kStart + milliseconds(181)) ==
        AdmissionVerdict::AcceptLate);
  job.mIsLate = true;
  CHECK(admission.WaitLimit(job) == kStart + milliseconds(3 * 380));
  CHECK(admission.OnWaitLimit(job, kStart + milliseconds(1141)) ==
        AdmissionVerdict::GiveUp);
}

TEST_CASE("Admission: the fixed policy decides as before")
{
  const FixedAdmission admission;
  const DispatchJob job = MakeJob(200);
  CHECK(admission.Decide(job, InputsOf(76, 76)).mVerdict ==
        AdmissionVerdict::Accept);
  CHECK(admission.Decide(job, InputsOf(77, 77)).mVerdict ==
        AdmissionVerdict::Refuse);
  AdmissionInputs recovering = InputsOf(77, 77);
  recovering.mRecoveryEndsBy = kStart + milliseconds(5);
  CHECK(admission.Decide(job, recovering).mVerdict == AdmissionVerdict::Accept);
  CHECK(admission.WaitLimit(job) == kStart + milliseconds(76));
  CHECK(admission.OnWaitLimit(job, kStart + milliseconds(77)) ==
        AdmissionVerdict::Refuse);
}

TEST_CASE("Room estimator: what is started while work waits tells the cores")
{
  RoomEstimator room;
  const PoolName pool = "pool";
  const auto at = [](int aMs) { return kStart + milliseconds(aMs); };
  room.SetWaiting(pool, false, at(0));
  room.OnStarted(pool, 5000);
  CHECK_FALSE(room.ObservedCores(pool, at(0)));
  CHECK(room.FreeSince(pool) == at(0));
  room.SetWaiting(pool, true, at(100));
  CHECK_FALSE(room.FreeSince(pool));
  for (int i = 0; i < 10; ++i) {
    room.OnStarted(pool, 500);
  }
  room.SetWaiting(pool, true, at(149));
  CHECK_FALSE(room.ObservedCores(pool, at(149)));
  room.SetWaiting(pool, true, at(150));
  CHECK(room.ObservedCores(pool, at(150)) == 100.0);
  CHECK(room.ObservedCores(pool, at(550)) == 100.0);
  CHECK_FALSE(room.ObservedCores(pool, at(551)));
  // Few starts are measured for longer.
  for (int i = 0; i < 9; ++i) {
    room.OnStarted(pool, 5000);
  }
  room.SetWaiting(pool, true, at(549));
  CHECK(room.ObservedCores(pool, at(549)) == 100.0);
  room.SetWaiting(pool, true, at(550));
  CHECK(room.ObservedCores(pool, at(550)).value_or(0) ==
        Approx(100 * 0.7 + 112.5 * 0.3));
}

TEST_CASE(
  "Scheduling pass: of one priority, a large task is tried before small "
  "ones that are due a little earlier")
{
  const ExpectedEndAdmission admission;
  ReadyQueue queue(admission);
  struct Row
  {
    std::uint32_t mPriority;
    std::uint32_t mMilliCores;
    int mDueMs;
    bool mIsLate;
  };
  // In the order in which they are tried.
  const std::vector<Row> rows = {
    { 0, 1000, 900, false },  { 1, 9600, 200, false }, { 1, 6500, 100, false },
    { 1, 9600, 9000, false }, { 0, 6500, 100, true },
  };
  std::vector<std::unique_ptr<DispatchJob>> jobs;
  for (const Row& row : rows) {
    jobs.push_back(
      std::make_unique<DispatchJob>(MakeJob(200, row.mMilliCores)));
    DispatchJob& job = *jobs.back();
    job.mArrivalNumber = 10 - jobs.size();
    job.mQueue.mPriority = row.mPriority;
    job.mDueAt = kStart + milliseconds(row.mDueMs);
    job.mIsLate = row.mIsLate;
    job.mClass = PlacementClassOf("pool", job.mSubmission.mSteps);
    job.mClass.mSizeStep = SizeStepOf(job.mSubmission.mSteps);
    queue.Update(job);
  }
  SchedulingPass pass(queue);
  for (const auto& job : jobs) {
    CHECK(pass.Next() == job.get());
  }
  CHECK(pass.Next() == nullptr);
}
