// Jobs that cannot run do not stop the others.
#include <functional>

#include <catch2/catch.hpp>

#include "Dispatch/DispatchFixture.h"

using namespace almondspoke;
using namespace almondspoke::dispatch;
using almondspoke::testing::DispatchFixture;
using std::chrono::milliseconds;

namespace {

/** More than a pass tries in a row without finding a worker. */
constexpr int kStuckJobs = 45;
constexpr int kPlainJobs = 10;
constexpr std::uint32_t kWorkerCores = 32'000;

/** \brief Jobs that no worker can run for now. */
struct StuckCase
{
  const char* mName;
  /** Makes a job a stuck one. */
  void (*mChange)(JobCall& aCall, int aNumber);
};

const std::vector<StuckCase> kStuckCases = {
  { "their label is that of no worker",
    [](JobCall& aCall, int) {
      aCall.mJob.mSteps.front().mRequiredLabel = "lost";
    } },
  { "they have as many labels, none that of a worker",
    [](JobCall& aCall, int aNumber) {
      aCall.mJob.mSteps.front().mRequiredLabel =
        "lost-" + std::to_string(aNumber);
    } },
  { "the only worker with their label is busy",
    [](JobCall& aCall, int) {
      aCall.mJob.mSteps.front().mRequiredLabel = "rare";
    } },
  { "they need more than any worker has",
    [](JobCall& aCall, int) {
      aCall.mJob.mSteps.front().mNeeds.mMilliCores = 40'000;
      aCall.mJob.mSteps.front().mEstimateMs = 1;
    } },
  { "they need ever less, and more than any worker has",
    [](JobCall& aCall, int aNumber) {
      aCall.mJob.mSteps.front().mNeeds.mMilliCores =
        40'000 - static_cast<std::uint32_t>(aNumber);
      aCall.mJob.mSteps.front().mEstimateMs = 1;
    } },
};

/** Starts a leader of four workers; the one with the label `rare` is full. */
void
StartWithBusyWorker(DispatchFixture& aFixture)
{
  aFixture.AddWorkers(4, kWorkerCores);
  aFixture.mReports.front().mLabels = { "rare" };
  aFixture.StartLeader();
  aFixture.Run(milliseconds(100));
  JobCall filling = aFixture.CallOf("urgent", "filling", 1, kWorkerCores, true);
  filling.mJob.mSteps.front().mRequiredLabel = "rare";
  filling.mJob.mSteps.front().mEstimateMs = 20'000;
  aFixture.Submit(filling, milliseconds(20'000));
  aFixture.Run(milliseconds(50));
  REQUIRE(aFixture.mFleet.StartsOf("filling") == 1);
}

std::string
PlainId(int aNumber)
{
  return "plain-" + std::to_string(aNumber);
}

} // namespace

// Guards against accepted jobs that are never started beside idle workers: the
// pass ended after forty jobs in a row without a worker, always the same ones.
TEST_CASE("Scheduling: many jobs that no worker can run stop no other job")
{
  for (const StuckCase& row : kStuckCases) {
    INFO(row.mName);
    DispatchFixture fixture;
    StartWithBusyWorker(fixture);
    for (int i = 0; i < kStuckJobs; ++i) {
      JobCall call =
        fixture.CallOf("urgent", "stuck-" + std::to_string(i), 1, 1000, true);
      row.mChange(call, i);
      fixture.Submit(call);
    }
    fixture.Run(milliseconds(50));
    for (int i = 0; i < kPlainJobs; ++i) {
      fixture.Submit(fixture.CallOf("patient", PlainId(i), 1, 1000, true));
    }
    fixture.Run(milliseconds(500));
    for (int i = 0; i < kPlainJobs; ++i) {
      INFO(PlainId(i));
      CHECK(fixture.mFleet.StartsOf(PlainId(i)) == 1);
    }
    CHECK(fixture.mFleet.Errors().empty());
  }
}

// Guards against refusals beside idle workers: the work of jobs that wait for
// lost workers counted as work before each new job.
TEST_CASE("Scheduling: work that waits for other workers refuses no new job")
{
  DispatchFixture fixture;
  StartWithBusyWorker(fixture);
  for (int i = 0; i < kStuckJobs; ++i) {
    JobCall call =
      fixture.CallOf("urgent", "stuck-" + std::to_string(i), 4, 8000, true);
    call.mJob.mSteps.front().mRequiredLabel = "rare";
    fixture.Submit(call);
  }
  fixture.Run(milliseconds(50));
  const CallId call =
    fixture.Submit(fixture.CallOf("patient", "plain", 1, 1000, false));
  fixture.Run(milliseconds(200));
  REQUIRE(fixture.ReplyTo(call));
  CHECK(fixture.ReplyTo(call)->mKind == JobReplyKind::Accepted);
  CHECK(fixture.ReplyTo(call)->mState == JobState::Completed);
}

TEST_CASE("Scheduling: jobs that wait for one kind of worker do not overtake "
          "more urgent ones of another")
{
  DispatchFixture fixture;
  fixture.AddWorkers(1, 10'000);
  fixture.mReports.front().mLabels = { "rare" };
  fixture.StartLeader();
  fixture.Run(milliseconds(100));
  fixture.Submit(fixture.CallOf("urgent", "first", 1, 10'000, true));
  fixture.Run(milliseconds(30));
  JobCall patient = fixture.CallOf("patient", "patient", 1, 10'000, true);
  patient.mJob.mSteps.front().mRequiredLabel = "rare";
  fixture.Submit(patient);
  fixture.Run(milliseconds(5));
  fixture.Submit(fixture.CallOf("urgent", "urgent", 1, 10'000, true));
  fixture.Run(milliseconds(60));
  CHECK(fixture.mFleet.StartsOf("urgent") == 1);
  CHECK(fixture.mFleet.StartsOf("patient") == 0);
}

// Guards against refusals beside idle workers: work that no worker is large
// enough for counted as work before each new job.
TEST_CASE("Scheduling: work that no worker is large enough for refuses no new "
          "job")
{
  DispatchFixture fixture;
  fixture.AddWorkers(3, kWorkerCores);
  fixture.AddWorkers(1, 48'000);
  fixture.StartLeader();
  fixture.Run(milliseconds(100));
  const bool isLargeWorkerLost = GENERATE(true, false);
  const std::uint32_t cores = isLargeWorkerLost ? 40'000 : 50'000;
  const WorkerReport large = fixture.mReports.back();
  if (isLargeWorkerLost) {
    fixture.mFleet.Crash(large.mBoot.mId);
    fixture.mReports.pop_back();
  }
  for (int i = 0; i < kStuckJobs; ++i) {
    fixture.Submit(
      fixture.CallOf("urgent", "stuck-" + std::to_string(i), 4, cores, true));
  }
  fixture.Run(milliseconds(15'000));
  const auto submitPlain = [&](const std::string& aId) {
    const CallId call =
      fixture.Submit(fixture.CallOf("patient", aId, 1, 1000, false));
    fixture.Run(milliseconds(200));
    REQUIRE(fixture.ReplyTo(call));
    return fixture.ReplyTo(call)->mKind;
  };
  CHECK(submitPlain("plain") == JobReplyKind::Accepted);
  if (isLargeWorkerLost) {
    fixture.mReports.push_back(fixture.mFleet.Restart(large.mBoot.mId));
    fixture.Run(milliseconds(2000));
    CHECK(fixture.mFleet.StartsOf("stuck-0") == 4);
  }
  CHECK(fixture.mFleet.Errors().empty());
}
