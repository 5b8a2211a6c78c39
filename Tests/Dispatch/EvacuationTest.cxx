// No task is started in an evacuated data centre; what runs there continues.
#include <catch2/catch.hpp>

#include "Dispatch/DispatchFixture.h"

using namespace almondspoke;
using namespace almondspoke::dispatch;
using almondspoke::testing::DispatchFixture;
using std::chrono::milliseconds;

namespace {

constexpr std::uint32_t kMilliCores = 16'000;

/** \brief Two workers in the data centre "riga" (w0, w1) and two in "tartu"
 * (w2, w3) under a leader that has recovered. */
class EvacuationFixture : public DispatchFixture
{
public:
  EvacuationFixture()
  {
    AddWorkers(2, kMilliCores, "riga");
    AddWorkers(2, kMilliCores, "tartu");
    StartLeader();
    Run(milliseconds(100));
    REQUIRE(CurrentCoordinator().IsRecoveryComplete());
  }

  /** Stores a request and notifies the leader, as its state machine does. */
  void Store(const std::string& aDataCentre, bool aIsEvacuated)
  {
    Evacuations& stored = mGroup.mState.mEvacuations;
    stored.Apply({ aDataCentre, aIsEvacuated, stored.Revision() });
    CurrentCoordinator().SetEvacuated(stored.Evacuated());
  }

  std::size_t RunsInRiga() const
  {
    return mFleet.RunningOn("w0") + mFleet.RunningOn("w1");
  }
  std::size_t RunsInTartu() const
  {
    return mFleet.RunningOn("w2") + mFleet.RunningOn("w3");
  }

  /** Submits a job whose tasks fill a worker each and run for a time. */
  CallId SubmitWide(const std::string& aId,
                    std::uint32_t aTasks,
                    milliseconds aDuration = milliseconds(50))
  {
    JobCall call = CallOf("patient", aId, aTasks, kMilliCores, false);
    call.mJob.mSteps.front().mEstimateMs =
      static_cast<std::uint32_t>(aDuration.count());
    return Submit(call, aDuration);
  }
};

}

TEST_CASE("Evacuation: nothing starts there and runs continue to their end")
{
  EvacuationFixture fixture;
  const CallId first = fixture.SubmitWide("j1", 4, milliseconds(3000));
  fixture.Run(milliseconds(50));
  REQUIRE(fixture.RunsInRiga() == 2);
  fixture.Store("riga", true);
  CHECK(fixture.Log().find("event=evacuation-in-force data_centre=riga "
                           "evacuated=yes last=no workers=2 runs=2 "
                           "usable_mcores=32000") != std::string::npos);
  // Longer than a lease, without which the workers would end the runs.
  fixture.Run(milliseconds(2500));
  CHECK(fixture.RunsInRiga() == 2);
  fixture.Run(milliseconds(1000));
  REQUIRE(fixture.ReplyTo(first));
  CHECK(fixture.ReplyTo(first)->mState == JobState::Completed);
  CHECK(fixture.mFleet.StartsOf("j1") == 4);
  fixture.SubmitWide("j2", 4, milliseconds(500));
  for (int i = 0; i < 20; ++i) {
    fixture.Run(milliseconds(10));
    CHECK(fixture.RunsInRiga() == 0);
  }
  CHECK(fixture.RunsInTartu() == 2);
  CHECK(fixture.mFleet.Errors().empty());
}

TEST_CASE("Evacuation: a readmitted data centre is used again")
{
  EvacuationFixture fixture;
  fixture.Store("riga", true);
  const CallId call = fixture.SubmitWide("j1", 4, milliseconds(300));
  fixture.Run(milliseconds(100));
  REQUIRE(fixture.RunsInRiga() == 0);
  fixture.Store("riga", false);
  fixture.Run(milliseconds(50));
  CHECK(fixture.RunsInRiga() == 2);
  fixture.Run(milliseconds(1000));
  REQUIRE(fixture.ReplyTo(call));
  CHECK(fixture.ReplyTo(call)->mState == JobState::Completed);
}

TEST_CASE("Evacuation: after readmission, cold workers are chosen last")
{
  EvacuationFixture fixture;
  fixture.Store("riga", true);
  for (std::size_t i = 0; i < 2; ++i) {
    fixture.mReports[i].mWarmUpRemainingMs = 5000;
  }
  fixture.ReportAll();
  fixture.Store("riga", false);
  fixture.SubmitWide("j1", 2, milliseconds(500));
  fixture.Run(milliseconds(50));
  CHECK(fixture.RunsInRiga() == 0);
  CHECK(fixture.RunsInTartu() == 2);
  fixture.SubmitWide("j2", 2, milliseconds(500));
  fixture.Run(milliseconds(50));
  CHECK(fixture.RunsInRiga() == 2);
}

TEST_CASE("Evacuation: a worker that moves to or from the data centre follows")
{
  EvacuationFixture fixture;
  fixture.Store("riga", true);
  fixture.mReports[0].mDataCentre = "tartu";
  fixture.mReports[2].mDataCentre = "riga";
  fixture.ReportAll();
  fixture.SubmitWide("j1", 4, milliseconds(500));
  fixture.Run(milliseconds(50));
  CHECK(fixture.mFleet.RunningOn("w0") == 1);
  CHECK(fixture.mFleet.RunningOn("w1") == 0);
  CHECK(fixture.mFleet.RunningOn("w2") == 0);
  CHECK(fixture.mFleet.RunningOn("w3") == 1);
}

TEST_CASE("Evacuation: jobs are admitted without the cores there")
{
  EvacuationFixture fixture;
  fixture.Store("riga", true);
  // Fills the other data centre, and waits in addition.
  fixture.SubmitWide("j1", 2, milliseconds(1000));
  fixture.Run(milliseconds(50));
  fixture.Store("tartu", true);
  const CallId refused = fixture.SubmitWide("j2", 1);
  fixture.Run(milliseconds(10));
  REQUIRE(fixture.ReplyTo(refused));
  CHECK(fixture.ReplyTo(refused)->mKind == JobReplyKind::Refused);
  CHECK(fixture.Log().find("data_centre=tartu evacuated=yes last=yes") !=
        std::string::npos);
  fixture.Store("tartu", false);
  fixture.Store("riga", false);
  const CallId accepted = fixture.SubmitWide("j3", 1);
  fixture.Run(milliseconds(200));
  REQUIRE(fixture.ReplyTo(accepted));
  CHECK(fixture.ReplyTo(accepted)->mState == JobState::Completed);
}

// The jobs of a class that cannot run are passed over after a number of them,
// and with them the others of the class.
TEST_CASE(
  "Evacuation: jobs that only workers there can run do not delay others")
{
  DispatchFixture fixture;
  fixture.AddWorkers(1, 64'000, "riga");
  fixture.AddWorkers(1, kMilliCores, "tartu");
  fixture.StartLeader();
  fixture.Run(milliseconds(100));
  fixture.mGroup.mState.mEvacuations.Apply({ "riga", true, 0 });
  fixture.CurrentCoordinator().SetEvacuated({ "riga" });
  for (int i = 0; i < 60; ++i) {
    fixture.Submit(
      fixture.CallOf("urgent", "large" + std::to_string(i), 1, 32'000, true));
  }
  fixture.Run(milliseconds(50));
  const CallId call =
    fixture.Submit(fixture.CallOf("urgent", "small", 1, 4000, false));
  fixture.Run(milliseconds(150));
  REQUIRE(fixture.ReplyTo(call));
  CHECK(fixture.ReplyTo(call)->mState == JobState::Completed);
  CHECK(fixture.mFleet.Running() == 0);
}

TEST_CASE(
  "Evacuation: a new leader starts nothing there from its first decision "
  "on and takes over what runs")
{
  EvacuationFixture fixture;
  JobCall job = fixture.CallOf("patient", "j1", 4, kMilliCores, true);
  job.mJob.mSteps.front().mEstimateMs = 2000;
  fixture.Submit(job, milliseconds(2000));
  fixture.Run(milliseconds(100));
  REQUIRE(fixture.RunsInRiga() == 2);
  // Stored, but the former leader has ended before it was notified.
  fixture.mGroup.mState.mEvacuations.Apply({ "riga", true, 0 });
  fixture.StartLeader();
  fixture.SubmitWide("j2", 4, milliseconds(100));
  fixture.Run(milliseconds(1500));
  CHECK(fixture.RunsInRiga() == 2);
  CHECK(fixture.mFleet.StartsOf("j1") == 4);
  CHECK(fixture.CurrentCoordinator().Evacuated() == DataCentreNames{ "riga" });
  fixture.Run(milliseconds(2000));
  CHECK(fixture.RunsInRiga() == 0);
  CHECK(fixture.mFleet.Errors().empty());
}

TEST_CASE("Evacuation: a request that meets a leader before its recovery holds "
          "after it")
{
  DispatchFixture fixture;
  fixture.AddWorkers(2, kMilliCores, "riga");
  fixture.StartLeader();
  REQUIRE_FALSE(fixture.CurrentCoordinator().IsRecoveryComplete());
  fixture.CurrentCoordinator().SetEvacuated({ "riga" });
  fixture.Submit(fixture.CallOf("patient", "j1", 2, kMilliCores, true));
  fixture.Run(milliseconds(500));
  CHECK(fixture.CurrentCoordinator().IsRecoveryComplete());
  CHECK(fixture.mFleet.StartsOf("j1") == 0);
}

TEST_CASE("Evacuation: a local leader starts nothing in its evacuated data "
          "centre")
{
  EvacuationFixture fixture;
  fixture.Store("riga", true);
  fixture.Disconnect(2);
  fixture.StartLocalLeader("riga");
  fixture.Run(milliseconds(200));
  const CallId call =
    fixture.SubmitLocally(fixture.CallOf("urgent", "j1", 1, 4000, false));
  fixture.Run(milliseconds(500));
  REQUIRE(fixture.LocalReplyTo(call));
  CHECK(fixture.LocalReplyTo(call)->mKind == JobReplyKind::Refused);
  CHECK(fixture.mFleet.StartsOf("j1") == 0);
}
