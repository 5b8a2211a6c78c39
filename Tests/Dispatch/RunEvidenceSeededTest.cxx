// Jobs of several steps while leaders change, answers overtake each other,
// workers start again, and jobs fail or are cancelled.
#include <array>
#include <vector>

#include <catch2/catch.hpp>

#include "Dispatch/DispatchFixture.h"
#include "Support/RandomDraws.h"

using namespace almondspoke;
using namespace almondspoke::dispatch;
using almondspoke::testing::DispatchFixture;
using almondspoke::testing::RandomDraws;
using std::chrono::milliseconds;

namespace {

constexpr int kSeeds = 200;
constexpr int kWorkers = 4;
constexpr int kRounds = 50;

/** Time after which callers submit a job again whose answer was lost. */
constexpr milliseconds kRetransmit{ 1300 };

/** \brief A random run of jobs of several steps. */
class RandomStepsRun : private RandomDraws
{
public:
  explicit RandomStepsRun(std::uint64_t aSeed)
    : RandomDraws(aSeed * 6151 + 5)
    , mFixture(aSeed)
  {
    mFixture.AddWorkers(kWorkers / 2, 30'000, "zagreb");
    mFixture.AddWorkers(kWorkers / 2, 30'000, "sisak");
    mFixture.StartLeader();
    mFixture.Run(milliseconds(100));
  }

  /** Returns the first violated invariant or unfinished job; empty if there is
   * none. */
  std::string RunRounds()
  {
    for (int round = 0; round < kRounds; ++round) {
      SubmitRandomJob();
      Act();
      Advance(milliseconds(Between(10, 150)));
      if (!mFixture.mFleet.Errors().empty()) {
        return mFixture.mFleet.Errors().front();
      }
    }
    for (int worker = 0; worker < kWorkers; ++worker) {
      Heal("w" + std::to_string(worker));
    }
    mFixture.CurrentCoordinator().SetEvacuated({});
    for (int i = 0; i < 250; ++i) {
      Advance(milliseconds(100));
    }
    if (!mFixture.mFleet.Errors().empty()) {
      return mFixture.mFleet.Errors().front();
    }
    return FindUnfinishedJob();
  }

private:
  using Action = void (RandomStepsRun::*)();

  /** \brief A submission whose caller waits for the answer. */
  struct OpenCall
  {
    JobCall mCall;
    CallId mId = 0;
    /** Time until the caller submits the job again, counted down while its
     * gateway is lost. */
    milliseconds mUntilRetry{ 0 };
  };

  std::string AnyWorker()
  {
    return "w" + std::to_string(Between(0, kWorkers - 1));
  }

  void SubmitRandomJob()
  {
    const bool isStored = Chance(0.5);
    const std::string id = "5c0e7a21d94b36f8-" + std::to_string(mJobs.size());
    JobCall call = mFixture.CallOf("patient", id, 1, 4000, isStored);
    call.mWaitMs = 20'000;
    call.mJob.mSteps.front().mEstimateMs = 200;
    const int steps = Between(1, 3);
    for (int step = 0; step < steps; ++step) {
      StepSpec spec = call.mJob.mSteps.front();
      spec.mCount = static_cast<std::uint32_t>(Between(1, 3));
      spec.mDependsOn.clear();
      if (step > 0 && Chance(0.8)) {
        spec.mDependsOn.push_back(static_cast<std::uint32_t>(step - 1));
      }
      call.mJob.mSteps.push_back(spec);
    }
    call.mJob.mSteps.erase(call.mJob.mSteps.begin());
    const milliseconds duration(Between(20, 1500));
    const bool fails = isStored && Chance(0.3);
    mFixture.mFleet.DescribeJob(
      id, { call.mJob.mSteps.front().mNeeds, duration, isStored, fails });
    mJobs.push_back(call);
    mOpenCalls.push_back({ call, mFixture.Call(call), milliseconds(0) });
  }

  void Act()
  {
    static constexpr std::array<Action, 11> kActions = {
      &RandomStepsRun::DelayMessages, &RandomStepsRun::DelayMessages,
      &RandomStepsRun::HealAny,       &RandomStepsRun::RestartWorker,
      &RandomStepsRun::ChangeLeader,  &RandomStepsRun::CancelJob,
      &RandomStepsRun::CancelJob,     &RandomStepsRun::SlowRuns,
      &RandomStepsRun::LoseMessages,  &RandomStepsRun::Evacuate,
      &RandomStepsRun::ChangeLeader
    };
    if (Chance(0.6)) {
      (this->*kActions[static_cast<std::size_t>(
                Between(0, static_cast<int>(kActions.size()) - 1))])();
    }
  }

  void DelayMessages()
  {
    mFixture.mFleet.NetworkFaultsOf(AnyWorker()).mMaxExtraDelay =
      milliseconds(Between(5, 60));
  }
  void HealAny() { Heal(AnyWorker()); }
  void Heal(const std::string& aWorker)
  {
    mFixture.mFleet.NetworkFaultsOf(aWorker) = {};
    mFixture.mFleet.RunBehaviorOf(aWorker) = {};
  }
  void SlowRuns()
  {
    mFixture.mFleet.RunBehaviorOf(AnyWorker()).mDurationFactor = 12;
  }
  void LoseMessages()
  {
    auto& faults = mFixture.mFleet.NetworkFaultsOf(AnyWorker());
    (Chance(0.5) ? faults.mAnswersLost : faults.mStopsLost) = true;
  }
  void Evacuate()
  {
    mFixture.CurrentCoordinator().SetEvacuated(
      Chance(0.5) ? DataCentreNames{ "zagreb" } : DataCentreNames{});
  }
  void RestartWorker()
  {
    const int worker = Between(0, kWorkers - 1);
    mFixture.mReports[static_cast<std::size_t>(worker)] =
      mFixture.mFleet.Restart("w" + std::to_string(worker));
    mFixture.mReports[static_cast<std::size_t>(worker)].mDataCentre =
      worker < kWorkers / 2 ? "zagreb" : "sisak";
    if (Chance(0.5)) {
      mFixture.CurrentCoordinator().OnReport(
        mFixture.mReports[static_cast<std::size_t>(worker)]);
    }
  }

  // A gateway sends its open calls to the next leader. Those of a gateway that
  // is lost too come from their callers, by another gateway.
  void ChangeLeader()
  {
    mFixture.StartLeader();
    for (OpenCall& open : mOpenCalls) {
      open.mId = 0;
      if (Chance(0.3)) {
        open.mCall.mEarlierSends = 0;
        open.mUntilRetry = kRetransmit;
      } else {
        ++open.mCall.mEarlierSends;
        open.mUntilRetry = milliseconds(Between(1, 100));
      }
    }
  }

  void CancelJob()
  {
    const std::size_t recent = std::min<std::size_t>(mJobs.size(), 12);
    JobCall cancel =
      mJobs[mJobs.size() - 1 -
            static_cast<std::size_t>(Between(0, static_cast<int>(recent) - 1))];
    cancel.mKind = JobCallKind::Cancel;
    mQueries.push_back({ cancel, mFixture.Call(cancel), milliseconds(0) });
  }

  void Advance(milliseconds aTime)
  {
    mFixture.Run(aTime);
    for (OpenCall& open : mOpenCalls) {
      const bool mustRetry = open.mId == 0;
      open.mUntilRetry -= mustRetry ? aTime : milliseconds(0);
      if (mustRetry && open.mUntilRetry.count() <= 0) {
        open.mId = mFixture.Call(open.mCall);
      }
    }
    JobCall query = mJobs[static_cast<std::size_t>(
      Between(0, static_cast<int>(mJobs.size()) - 1))];
    query.mKind = JobCallKind::Query;
    mQueries.push_back({ query, mFixture.Call(query), milliseconds(0) });
    std::vector<OpenCall> unanswered;
    for (const OpenCall& open : mOpenCalls) {
      if (open.mId == 0 || !mFixture.ReplyTo(open.mId)) {
        unanswered.push_back(open);
      }
    }
    mOpenCalls = unanswered;
    NoteEndedJobs();
  }

  // What a caller was told of a job that is stored, or of a cancellation, is
  // final. Another best-effort job may run again under the next leader.
  void NoteEndedJobs()
  {
    for (const OpenCall& query : mQueries) {
      const std::optional<JobReply> reply = mFixture.ReplyTo(query.mId);
      const bool isState = reply && reply->mKind == JobReplyKind::State;
      const bool hasEnded = isState && (reply->mState == JobState::Cancelled ||
                                        reply->mState == JobState::Failed ||
                                        reply->mState == JobState::Completed);
      const bool isFinal = !query.mCall.mJob.mBestEffort ||
                           (isState && reply->mState == JobState::Cancelled);
      if (hasEnded && isFinal) {
        mFixture.mFleet.NoteShownAsEnded(
          query.mCall.mPath.substr(query.mCall.mPath.rfind('/') + 1));
      }
    }
    if (mQueries.size() > 20) {
      mQueries.erase(mQueries.begin(), mQueries.end() - 20);
    }
  }

  std::string FindUnfinishedJob()
  {
    for (const auto& [id, job] : mFixture.mGroup.mState.mJobs) {
      const bool hasEnded = job.mState == JobState::Completed ||
                            job.mState == JobState::Failed ||
                            job.mState == JobState::Cancelled;
      if (!hasEnded) {
        return "stored job has not ended: " + id;
      }
    }
    if (!mOpenCalls.empty()) {
      return "a call was not answered: " + mOpenCalls.front().mCall.mPath;
    }
    return mFixture.mFleet.Running() == 0 ? "" : "a run was left over";
  }

  DispatchFixture mFixture;
  std::vector<JobCall> mJobs;
  std::vector<OpenCall> mOpenCalls;
  std::vector<OpenCall> mQueries;
};

}

TEST_CASE("Run evidence: invariants hold for jobs of several steps while "
          "leaders change and answers overtake each other")
{
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    INFO("seed " << seed);
    const std::string error = RandomStepsRun(seed).RunRounds();
    INFO(error);
    CHECK(error.empty());
  }
}
