#include <catch2/catch.hpp>

#include "Base/MessagePack.h"
#include "Dispatch/DispatchState.h"
#include "Dispatch/DispatchStateMachine.h"
#include "Dispatch/WorkerDirectory.h"
#include "Support/ManualClock.h"

using namespace almondspoke;
using namespace almondspoke::dispatch;
using std::chrono::milliseconds;

namespace {

Manifest
MakeManifest(std::uint64_t aVersion)
{
  Manifest manifest;
  manifest.mVersion = aVersion;
  manifest.mPools.push_back({ "pool", false, 64 });
  Queue queue;
  queue.mName = "q";
  queue.mHost = "desk";
  queue.mPathPrefix = "/a/";
  queue.mPool = "pool";
  queue.mTimeoutMs = 100;
  manifest.mQueues.push_back(queue);
  manifest.mText = "text of " + std::to_string(aVersion);
  return manifest;
}

AcceptRecord
MakeAcceptRecord(const JobId& aId, std::uint32_t aTasks)
{
  AcceptRecord record;
  record.mSubmission.mId = aId;
  record.mSubmission.mPayload = "payload";
  StepSpec step;
  step.mCount = aTasks;
  record.mSubmission.mSteps.push_back(step);
  record.mQueue.mMaxAttempts = 2;
  return record;
}

WorkerReport
MakeReport(std::uint64_t aBorn, std::uint64_t aSequence)
{
  WorkerReport report;
  report.mBoot = { "w", aBorn };
  report.mSequence = aSequence;
  return report;
}

}

TEST_CASE("Dispatch state: the highest manifest version wins in any order")
{
  std::vector<std::uint64_t> seen;
  DispatchStateMachine machine(
    [&](const std::shared_ptr<const Manifest>& aManifest) {
      seen.push_back(aManifest->mVersion);
    });
  CHECK(machine.CurrentManifest() == nullptr);
  for (const std::uint64_t version : { 3, 7, 5, 7, 9 }) {
    Manifest manifest = MakeManifest(version);
    manifest.mText += seen.size() == 2 ? " again" : "";
    const std::string response =
      machine.Apply(1, DispatchStateMachine::CommandOf(manifest));
    CHECK(DispatchStateMachine::WasApplied(response));
  }
  CHECK(seen == std::vector<std::uint64_t>{ 3, 7, 9 });
  CHECK(machine.CurrentManifest()->mText == "text of 9 again");
}

TEST_CASE("Dispatch state: a snapshot contains the complete state")
{
  DispatchStateMachine machine([](const auto&) {});
  machine.Apply(1, DispatchStateMachine::CommandOf(MakeManifest(4)));
  RecordBatch batch;
  batch.mFence = 3;
  batch.mRegistered.push_back(MakeReport(5, 1));
  batch.mAccepted.push_back(MakeAcceptRecord("j", 2));
  batch.mEnds.push_back({ "j", 0, 1, 1, true, "saved" });
  machine.Apply(2, DispatchStateMachine::CommandOf(batch));
  std::uint64_t restored = 0;
  DispatchStateMachine other(
    [&](const std::shared_ptr<const Manifest>& aManifest) {
      restored = aManifest->mVersion;
    });
  REQUIRE(other.RestoreSnapshot(machine.TakeSnapshot()));
  CHECK(restored == 4);
  CHECK(other.TakeSnapshot() == machine.TakeSnapshot());
  CHECK(other.CurrentState().mJobs.at("j").mTasks[0][1].mDone);
  CHECK(other.CurrentState().mWorkers.at("w").mBoot.mStartTimeMs == 5);
}

namespace {

/** \brief Snapshot as written before cancelled best-effort jobs were stored. */
struct FormerState
{
  Fence mFence = 6;
  Manifest mManifest = MakeManifest(4);
  std::vector<WorkerReport> mWorkers{ MakeReport(5, 1) };
  std::vector<StoredJob> mJobs;

  MSGPACK_DEFINE(mFence, mManifest, mWorkers, mJobs)
};

/** \brief Batch as written before cancelled best-effort jobs were stored. */
struct FormerBatch
{
  Fence mFence = 7;
  std::int64_t mTimeMs = 0;
  std::vector<WorkerReport> mRegistered;
  std::vector<WorkerBoot> mRemovedWorkers;
  std::vector<AcceptRecord> mAccepted{ MakeAcceptRecord("j", 1) };
  std::vector<EndRecord> mEnds;
  std::vector<JobId> mCancelled;
  std::vector<JobId> mRemovedJobs;

  MSGPACK_DEFINE(mFence,
                 mTimeMs,
                 mRegistered,
                 mRemovedWorkers,
                 mAccepted,
                 mEnds,
                 mCancelled,
                 mRemovedJobs)
};

}

// Guards against an upgrade that loses the state of the former version.
TEST_CASE("Dispatch state: snapshots and batches of the former version are "
          "read")
{
  DispatchStateMachine machine([](const auto&) {});
  REQUIRE(machine.RestoreSnapshot(PackMessage(FormerState())));
  CHECK(machine.CurrentState().mFence == 6);
  CHECK(machine.CurrentState().mWorkers.count("w") == 1);
  CHECK(DispatchStateMachine::WasApplied(
    machine.Apply(1, "B" + PackMessage(FormerBatch()))));
  CHECK(machine.CurrentState().mJobs.count("j") == 1);
  CHECK(machine.CurrentState().mCancelledBestEffort.empty());
}

// Earlier versions stored how many runs had failed, not which. For their tasks
// the highest number decides, as before.
TEST_CASE("Dispatch state: a failed run that an earlier version has counted is "
          "not counted again")
{
  DispatchState state;
  RecordBatch batch;
  batch.mAccepted.push_back(MakeAcceptRecord("job", 1));
  batch.mAccepted.back().mQueue.mMaxAttempts = 9;
  ApplyBatch(state, batch);
  StoredTask& task = state.mJobs.at("job").mTasks.front().front();
  task.mFailures = 1;
  task.mLastEndedRun = 5;
  RecordBatch ends;
  for (const RunNumber run : { 5, 8, 7, 8 }) {
    ends.mEnds.push_back({ "job", 0, 0, run, false, "" });
  }
  ApplyBatch(state, ends);
  CHECK(task.mFailures == 2);
}

TEST_CASE("Dispatch state: a cancelled best-effort job is kept until it is "
          "removed")
{
  DispatchState state;
  RecordBatch batch;
  batch.mTimeMs = 100;
  batch.mCancelledBestEffort.push_back("j");
  ApplyBatch(state, batch);
  RecordBatch repeated = batch;
  repeated.mTimeMs = 200;
  ApplyBatch(state, repeated);
  const auto restored = UnpackState(PackState(state));
  REQUIRE(restored);
  CHECK(restored.value().mCancelledBestEffort ==
        std::map<JobId, std::int64_t>{ { "j", 100 } });
  RecordBatch removal;
  removal.mRemovedJobs.push_back("j");
  ApplyBatch(state, removal);
  CHECK(state.mCancelledBestEffort.empty());
}

TEST_CASE("Dispatch state: batches of a former leader have no effect")
{
  DispatchState state;
  RecordBatch batch;
  batch.mFence = 4;
  CHECK(ApplyBatch(state, batch));
  RecordBatch late;
  late.mFence = 3;
  late.mAccepted.push_back(MakeAcceptRecord("j", 1));
  CHECK_FALSE(ApplyBatch(state, late));
  CHECK(state.mJobs.empty());
}

TEST_CASE("Dispatch state: applying a batch twice has no further effect")
{
  DispatchState state;
  RecordBatch batch;
  batch.mAccepted.push_back(MakeAcceptRecord("j", 2));
  batch.mEnds.push_back({ "j", 0, 0, 1, false, "" });
  ApplyBatch(state, batch);
  ApplyBatch(state, batch);
  CHECK(state.mJobs.at("j").mTasks[0][0].mFailures == 1);
  CHECK(state.mJobs.at("j").mState == JobState::Running);
  RecordBatch second;
  second.mEnds.push_back({ "j", 0, 0, 2, false, "" });
  ApplyBatch(state, second);
  CHECK(state.mJobs.at("j").mState == JobState::Failed);
}

TEST_CASE(
  "Dispatch state: a job completes with its last task and then stays completed")
{
  DispatchState state;
  RecordBatch batch;
  batch.mTimeMs = 100;
  batch.mAccepted.push_back(MakeAcceptRecord("j", 2));
  batch.mEnds.push_back({ "j", 0, 0, 1, true, "" });
  ApplyBatch(state, batch);
  CHECK(state.mJobs.at("j").mState == JobState::Running);
  RecordBatch last;
  last.mTimeMs = 200;
  last.mEnds.push_back({ "j", 0, 1, 1, true, "" });
  ApplyBatch(state, last);
  CHECK(state.mJobs.at("j").mState == JobState::Completed);
  CHECK(state.mJobs.at("j").mEndedMs == 200);
  RecordBatch cancel;
  cancel.mCancelled.push_back("j");
  ApplyBatch(state, cancel);
  CHECK(state.mJobs.at("j").mState == JobState::Completed);
  RecordBatch forget;
  forget.mRemovedJobs.push_back("j");
  ApplyBatch(state, forget);
  CHECK(state.mJobs.empty());
}

TEST_CASE("Dispatch state: a worker is removed only if the boot matches")
{
  DispatchState state;
  RecordBatch batch;
  batch.mRegistered.push_back(MakeReport(5, 1));
  batch.mRemovedWorkers.push_back({ "w", 4 });
  ApplyBatch(state, batch);
  CHECK(state.mWorkers.size() == 1);
  RecordBatch dismiss;
  dismiss.mRemovedWorkers.push_back({ "w", 5 });
  ApplyBatch(state, dismiss);
  CHECK(state.mWorkers.empty());
}

TEST_CASE("Dispatch state: ends of unknown tasks have no effect")
{
  DispatchState state;
  RecordBatch batch;
  batch.mAccepted.push_back(MakeAcceptRecord("j", 1));
  batch.mEnds.push_back({ "other", 0, 0, 1, true, "" });
  batch.mEnds.push_back({ "j", 7, 0, 1, true, "" });
  batch.mEnds.push_back({ "j", 0, 7, 1, true, "" });
  ApplyBatch(state, batch);
  CHECK(state.mJobs.at("j").mState == JobState::Queued);
}

TEST_CASE("Dispatch state: invalid commands have no effect")
{
  DispatchStateMachine machine([](const auto&) {});
  const std::string before = machine.TakeSnapshot();
  for (const char* bytes : { "", "M", "B", "E", "Bxyz", "Mxyz", "Exyz", "?" }) {
    CHECK_FALSE(DispatchStateMachine::WasApplied(machine.Apply(1, bytes)));
  }
  CHECK(machine.TakeSnapshot() == before);
  CHECK_FALSE(machine.RestoreSnapshot("no snapshot"));
}

TEST_CASE("Manifest: the longest path prefix on the host determines the queue")
{
  Manifest manifest = MakeManifest(1);
  Queue longer = manifest.mQueues.front();
  longer.mName = "longer";
  longer.mPathPrefix = "/a/b/";
  manifest.mQueues.push_back(longer);
  CHECK(FindQueue(manifest, "desk", "/a/x").mQueue->mName == "q");
  CHECK(FindQueue(manifest, "desk", "/a/b/x").mQueue->mName == "longer");
  CHECK(FindQueue(manifest, "desk", "/a/b/x").mPathSuffix == "x");
  CHECK(FindQueue(manifest, "desk", "/b/").mQueue == nullptr);
  CHECK(FindQueue(manifest, "other", "/a/x").mQueue == nullptr);
}

TEST_CASE("Manifest: an inconsistent manifest is rejected and the error names "
          "the cause")
{
  Manifest manifest = MakeManifest(1);
  REQUIRE(CheckManifest(manifest));
  std::string named = "'q'";
  SECTION("unknown pool")
  {
    manifest.mQueues.front().mPool = "none";
  }
  SECTION("no timeout")
  {
    manifest.mQueues.front().mTimeoutMs = 0;
  }
  SECTION("two queues at one place")
  {
    manifest.mQueues.push_back(manifest.mQueues.front());
  }
  SECTION("no version")
  {
    manifest.mVersion = 0;
    named = "version 0";
  }
  const Result<void> checked = CheckManifest(manifest);
  REQUIRE_FALSE(checked);
  CHECK(checked.error().Message().find(named) != std::string::npos);
}

TEST_CASE("Workers: boot and sequence number determine which report is newer")
{
  testing::ManualClock clock;
  WorkerDirectory directory(milliseconds(1000));
  const auto now = clock.MonotonicNow();
  CHECK(directory.Update(MakeReport(10, 5), now));
  CHECK_FALSE(directory.Update(MakeReport(10, 4), now));
  CHECK_FALSE(directory.Update(MakeReport(9, 90), now));
  CHECK(directory.Update(MakeReport(11, 1), now));
  CHECK(directory.Find("w")->mBoot.mStartTimeMs == 11);
  REQUIRE(directory.MarkLeft("w", now));
  CHECK(directory.Find("w")->mHasLeft);
  CHECK_FALSE(directory.MarkLeft("other", now));
  CHECK(directory.Expire(now + milliseconds(1000)).empty());
  CHECK(directory.Expire(now + milliseconds(1001)) ==
        std::vector<WorkerId>{ "w" });
}
