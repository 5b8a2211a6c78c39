#include <chrono>
#include <functional>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "JobsFixture.h"

using namespace almondspoke;
using namespace almondspoke::testing;
using namespace std::chrono_literals;
using Behaviour = FakeTaskSender::Behaviour;

namespace {

/** \brief Two workers with 8 cores each, whose tasks run until the test ends
 * them. */
struct SharesFixture : JobsFixture
{
  SharesFixture()
  {
    for (Endpoint& endpoint : mEndpoints.mEndpoints) {
      endpoint.mAnnouncement.mCores = 8;
      endpoint.mAnnouncement.mSlots = 8;
    }
    mEndpoints.Notify();
    mSender.mBehaviour = Behaviour::Hold;
  }

  void SetKind(const KindName& aKind, double aReserve, double aCeiling)
  {
    KindRoutingRules& rules = mRules.mKinds[aKind];
    rules.mReserve = aReserve;
    rules.mCeiling = aCeiling;
    mA.mRunner.ApplyRules(mRules);
  }

  Reply Submit(const std::string& aKey,
               const std::string& aKind,
               int aTasks,
               const std::string& aMembers = "")
  {
    const std::string job = ",\"kind\":\"" + aKind + "\"" + aMembers;
    return mA.Submit("zagreb:" + aKey, JobBody(aTasks, "", job), 600s);
  }

  /** Returns the number of running tasks of the jobs whose key starts with
   * aKey. */
  std::size_t Running(const std::string& aKey) const
  {
    std::size_t running = 0;
    for (const auto& held : mSender.mHeld) {
      running +=
        held.mAttempt.mAttemptId.rfind("zagreb:" + aKey, 0) == 0 ? 1 : 0;
    }
    return running;
  }

  /** Ends one running task of a job whose key starts with aKey. */
  void EndOne(const std::string& aKey)
  {
    for (const auto& held : mSender.mHeld) {
      const std::string attempt = held.mAttempt.mAttemptId;
      if (attempt.rfind("zagreb:" + aKey, 0) == 0) {
        mSender.End(attempt, FakeTaskSender::Answered(200, ""));
        return;
      }
    }
    FAIL("no task of " + aKey + " runs");
  }

  RoutingRules mRules;
};

}

TEST_CASE(
  "Job shares: a kind with many jobs is limited by its ceiling and by the "
  "reserves of others")
{
  struct Row
  {
    double mPreviewCeiling;
    double mDepositReserve;
    std::size_t mInstances;
    std::size_t mPreviews;
    std::size_t mDeposits;
  };
  const auto row = GENERATE(values<Row>({
    { 1, 0, 1, 16, 0 },
    { 0.25, 0, 1, 4, 12 },
    { 0.25, 0, 2, 2, 14 },
    { 1, 0.25, 1, 12, 4 },
    { 1, 0.25, 2, 14, 2 },
    { 0.5, 0.25, 1, 8, 8 },
    // A kind without a placed task may always place one.
    { 0.01, 0, 1, 1, 15 },
  }));
  CAPTURE(row.mPreviewCeiling, row.mDepositReserve, row.mInstances);
  SharesFixture fixture;
  fixture.mA.mInstanceCount = row.mInstances;
  fixture.SetKind("preview", 0, row.mPreviewCeiling);
  fixture.SetKind("deposit", row.mDepositReserve, 1);
  fixture.Run(50ms);
  for (int job = 0; job < 40; ++job) {
    fixture.Submit("preview" + std::to_string(job), "preview", 1);
  }
  CHECK(fixture.Running("preview") == row.mPreviews);
  fixture.Submit("deposit", "deposit", 20);
  CHECK(fixture.Running("deposit") == row.mDeposits);
  // Each task that ends makes room for exactly one more, and the limit of the
  // kind still holds.
  for (int ended = 0; ended < 10 && fixture.Running("preview") > 0; ++ended) {
    fixture.EndOne("preview");
    fixture.Run(50ms);
    CHECK(fixture.Running("preview") + fixture.Running("deposit") == 16);
    CHECK(fixture.Running("preview") <= row.mPreviews);
  }
}

TEST_CASE("Job shares: jobs that are held back do not delay others")
{
  SharesFixture fixture;
  fixture.SetKind("preview", 0, 0.25);
  constexpr int kJobs = 1000;
  for (int job = 0; job < kJobs; ++job) {
    fixture.Submit(
      "preview" + std::to_string(job), "preview", 1, R"(,"urgency":"first")");
  }
  CHECK(fixture.mA.mRunner.ParkedJobCount() == kJobs - 4);
  for (int quote = 0; quote < 12; ++quote) {
    fixture.Submit("quote" + std::to_string(quote), "quote", 2);
  }
  CHECK(fixture.Running("quote") == 12);
  // Each quote that ends is replaced by the next one immediately.
  for (int ended = 0; ended < 12; ++ended) {
    fixture.EndOne("quote");
    CHECK(fixture.Running("quote") == 12);
  }
}

TEST_CASE("Job shares: a task may end while all queued jobs are held back")
{
  SharesFixture fixture;
  fixture.SetKind("preview", 0, 0.25);
  fixture.Submit("quote", "quote", 1);
  fixture.Submit("preview", "preview", 8);
  CHECK(fixture.mA.mRunner.ParkedJobCount() == 1);
  fixture.EndOne("quote");
  CHECK(fixture.mA.mRunner.ParkedJobCount() == 1);
  CHECK(fixture.Running("preview") == 4);
}

TEST_CASE("Job shares: the quota of a team applies to all its jobs together")
{
  SharesFixture fixture;
  fixture.mRules.mTeamSlots["south"] = 3;
  fixture.mA.mSlots.SetCapacity({ PoolType::TeamSlots, "south" }, 3);
  fixture.mA.mRunner.ApplyRules(fixture.mRules);
  for (int job = 0; job < 4; ++job) {
    fixture.Submit(
      "south" + std::to_string(job), "quote", 4, R"(,"team":"south")");
  }
  fixture.Submit("north", "quote", 4, R"(,"team":"north")");
  CHECK(fixture.Running("south") == 3);
  CHECK(fixture.Running("north") == 4);
  for (int ended = 0; ended < 13; ++ended) {
    fixture.EndOne("south");
    CHECK(fixture.Running("south") == 3);
  }
  for (int ended = 0; ended < 3; ++ended) {
    fixture.EndOne("south");
  }
  CHECK(fixture.Running("south") == 0);
  CHECK(fixture.mA.mSlots.Pool({ PoolType::TeamSlots, "south" })->InUse() == 0);
}

TEST_CASE("Job shares: every end of a job releases its share")
{
  using End = std::function<void(SharesFixture&)>;
  const std::vector<std::pair<std::string, End>> rows = {
    { "cancellation",
      [](SharesFixture& aFixture) {
        for (int job = 0; job < 10; ++job) {
          aFixture.mA.Cancel("zagreb:preview" + std::to_string(job));
        }
        while (aFixture.Running("preview") > 0) {
          aFixture.EndOne("preview");
        }
      } },
    { "completion",
      [](SharesFixture& aFixture) {
        while (aFixture.Running("preview") > 0) {
          aFixture.EndOne("preview");
        }
      } },
    { "refusal by the workers",
      [](SharesFixture& aFixture) {
        constexpr int kMaxRounds = 2000;
        for (int round = 0;
             round < kMaxRounds && aFixture.mA.mRunner.JobCount() > 0;
             ++round) {
          while (aFixture.Running("preview") > 0) {
            const std::string attempt =
              aFixture.mSender.mHeld.front().mAttempt.mAttemptId;
            aFixture.mSender.End(
              attempt, { TaskOutcome::Kind::RefusedNotRun, 503, "", {}, {} });
          }
          aFixture.Run(100ms);
        }
      } },
  };
  for (const auto& [name, end] : rows) {
    CAPTURE(name);
    SharesFixture fixture;
    fixture.mRules.mTeamSlots["south"] = 2;
    fixture.mA.mSlots.SetCapacity({ PoolType::TeamSlots, "south" }, 2);
    fixture.SetKind("preview", 0, 0.25);
    for (int job = 0; job < 10; ++job) {
      fixture.Submit("preview" + std::to_string(job),
                     "preview",
                     2,
                     R"(,"team":"south","timeoutMs":600000)");
    }
    CHECK(fixture.Running("preview") == 2);
    end(fixture);
    CHECK(fixture.mA.mRunner.AllocatedSlots() == 0);
    CHECK(fixture.mA.mRunner.QueuedJobCount() == 0);
    CHECK(fixture.mA.mRunner.ParkedJobCount() == 0);
    CHECK(fixture.mA.mSlots.Pool({ PoolType::TeamSlots, "south" })->InUse() ==
          0);
    CHECK(fixture.mA.mSlots.Pool({ PoolType::TeamSlots, "south" })->Wanted() ==
          0);
    // Wait until the workers that refused tasks are used again.
    fixture.Run(70s);
    fixture.Submit("last", "preview", 4);
    CHECK(fixture.Running("last") == 4);
  }
}

TEST_CASE(
  "Job shares: jobs that were held back run after new rules or the loss of "
  "an instance")
{
  SharesFixture fixture;
  fixture.mA.mInstanceCount = 2;
  fixture.SetKind("preview", 0, 0.25);
  fixture.Run(50ms);
  for (int job = 0; job < 40; ++job) {
    fixture.Submit("preview" + std::to_string(job), "preview", 1);
  }
  CHECK(fixture.Running("preview") == 2);
  fixture.mA.mInstanceCount = 1;
  fixture.Run(100ms);
  CHECK(fixture.Running("preview") == 4);
  fixture.SetKind("preview", 0, 0.75);
  fixture.Run(50ms);
  CHECK(fixture.Running("preview") == 12);
}
