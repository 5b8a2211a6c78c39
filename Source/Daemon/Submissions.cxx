#include "Daemon/Submissions.h"

#include <algorithm>
#include <array>
#include <random>
#include <utility>

#include "Base/EnumNames.h"
#include "Daemon/CallerApi.h"
#include "Daemon/DaemonMetrics.h"
#include "Daemon/SubmissionSettings.h"
#include "Filters/RequestFields.h"
#include "Jobs/FallbackSubmissionGroup.h"
#include "Jobs/PeerSubmissionGroup.h"
#include "Jobs/UnconfiguredSubmissionGroup.h"

namespace almondspoke {

namespace {

constexpr std::chrono::milliseconds kTickInterval{ 20 };
// Interval at which failed records and releases are retried.
constexpr std::chrono::milliseconds kRetryInterval{ 250 };
constexpr std::chrono::milliseconds kLeadershipTransferInterval{ 1000 };

// Tokens must differ from those of an earlier start of this instance, so they
// come from the system's random source and not from a seeded generator.
std::uint64_t
RandomNumber()
{
  constexpr unsigned kHalfBits = 32;
  thread_local std::random_device device;
  const std::uint64_t high = device();
  return (high << kHalfBits) | device();
}

HomeDataCentres
HomesOf(const Settings& aSettings)
{
  std::vector<DataCentreName> dataCentres;
  for (const InstanceSettings& instance : aSettings.mInstances) {
    dataCentres.push_back(instance.mDataCentre);
  }
  std::sort(dataCentres.begin(), dataCentres.end());
  dataCentres.erase(std::unique(dataCentres.begin(), dataCentres.end()),
                    dataCentres.end());
  return { aSettings.mDataCentre, std::move(dataCentres) };
}

JobSettings
JobSettingsOf(const Settings& aSettings)
{
  JobSettings settings;
  settings.mMaxJobs = aSettings.mMaxJobs;
  settings.mMaxBodyBytes = aSettings.mMaxJobBodyBytes;
  settings.mMaxResultBytes = aSettings.mMaxJobResultBytes;
  return settings;
}

SubmissionLimits
LimitsOf(const Settings& aSettings)
{
  SubmissionLimits limits;
  limits.mMaxClaims = static_cast<std::uint32_t>(aSettings.mMaxClaims);
  limits.mMaxPlainKeys = static_cast<std::uint32_t>(aSettings.mMaxUndatedKeys);
  limits.mRetentionMs =
    static_cast<std::uint64_t>(aSettings.mAnswerRetention.count());
  limits.mMaxTotalAnswerBytes = aSettings.mMaxAnswerBytes;
  return limits;
}

bool
IsVoter(const GroupSettings& aGroup, const InstanceName& aInstance)
{
  return std::find(aGroup.mVoters.begin(), aGroup.mVoters.end(), aInstance) !=
         aGroup.mVoters.end();
}

JobRunnerDependencies::UrgencySource
MakeUrgencySource(const RequestRules& aRules)
{
  return [&aRules](const JobRequest& aRequest) -> int {
    // A rule takes precedence: a caller cannot raise the urgency of its own
    // work.
    const RequestPolicy policy = aRules.PolicyOf(aRequest.mKind);
    if (policy.mUrgency) {
      return *policy.mUrgency;
    }
    const std::optional<UrgencyLevel> declared =
      ValueOf(kUrgencyLevelNames, std::string_view(aRequest.mUrgency));
    return declared.value_or(kUrgencyNormal);
  };
}

}

Submissions::Submissions(const Settings& aSettings,
                         const SubmissionsDependencies& aDependencies)
  : mClock(aDependencies.mClock)
  , mJobSettings(JobSettingsOf(aSettings))
  , mInstances(aDependencies.mInstances)
  , mHomes(HomesOf(aSettings))
  , mAccesses(BuildHomes(aSettings, mHomes, aDependencies))
  , mClaims(GroupsOf(mAccesses), RandomNumber)
  , mRequestClaims(mHomes, mClaims)
  , mSender(aDependencies.mClock, aDependencies.mClient)
  , mRunner(
      { aDependencies.mClock,
        mClaims,
        mSender,
        aDependencies.mEndpoints,
        aDependencies.mDecisions,
        aDependencies.mSlots,
        MakeUrgencySource(aDependencies.mRules),
        [this] { return mInstances.LiveInstances(mHomes.Self()).size(); } },
      mJobSettings,
      RandomNumber())
  , mController(aDependencies.mClock,
                mHomes,
                mClaims,
                mRunner,
                aDependencies.mInstances,
                aDependencies.mRpc,
                mJobSettings)
  , mHandler(mController, mJobSettings)
  , mApi(mHandler)
{
}

Submissions::HomeAccesses
Submissions::BuildHomes(const Settings& aSettings,
                        const HomeDataCentres& aHomes,
                        const SubmissionsDependencies& aDependencies)
{
  HomeAccesses accesses;
  for (const DataCentreName& home : aHomes.All()) {
    HomeAccess& access = accesses[home];
    const GroupSettings* group = SubmissionGroupOf(aSettings, home);
    if (group != nullptr) {
      access.mVoters = group->mVoters;
    }
    if (group == nullptr) {
      access.mRemote = std::make_unique<UnconfiguredSubmissionGroup>(home);
    } else if (IsVoter(*group, aSettings.mName)) {
      SubmissionReplicaOptions options;
      options.mSelf = aSettings.mName;
      options.mHome = home;
      options.mVoters = group->mVoters;
      options.mFolder = aSettings.mDataFolder + '/' + group->mName;
      options.mLimits = LimitsOf(aSettings);
      access.mReplica =
        std::make_unique<SubmissionReplica>(options,
                                            aDependencies.mContext,
                                            aDependencies.mClock,
                                            aDependencies.mConsensus,
                                            aDependencies.mRpc);
      AddFallback(aSettings.mName, home, aDependencies, access);
    } else {
      access.mRemote = std::make_unique<PeerSubmissionGroup>(
        home, aDependencies.mRpc, aDependencies.mInstances, group->mVoters);
    }
    access.mLease = std::make_unique<ExecutorLease>(aSettings.mName,
                                                    access.Group(),
                                                    aDependencies.mClock,
                                                    ExecutorLeaseSettings(),
                                                    RandomNumber);
  }
  return accesses;
}

void
Submissions::AddFallback(const InstanceName& aSelf,
                         const DataCentreName& aHome,
                         const SubmissionsDependencies& aDependencies,
                         HomeAccess& aAccess)
{
  std::vector<InstanceName> others = aAccess.mVoters;
  others.erase(std::remove(others.begin(), others.end(), aSelf), others.end());
  if (others.empty()) {
    return;
  }
  aAccess.mRemote = std::make_unique<PeerSubmissionGroup>(
    aHome, aDependencies.mRpc, aDependencies.mInstances, std::move(others));
  aAccess.mFallback = std::make_unique<FallbackSubmissionGroup>(
    aAccess.mReplica->Group(),
    *aAccess.mRemote,
    [replica = aAccess.mReplica.get()] { return replica->IsVoting(); });
}

std::map<DataCentreName, ClaimService::HomeGroup>
Submissions::GroupsOf(const HomeAccesses& aAccesses)
{
  std::map<DataCentreName, ClaimService::HomeGroup> homes;
  for (const auto& [home, access] : aAccesses) {
    homes[home] = { &access.Group(), access.mLease.get() };
  }
  return homes;
}

Result<void>
Submissions::Start()
{
  for (const auto& [home, access] : mAccesses) {
    if (access.mReplica) {
      BOOST_OUTCOME_TRYV(access.mReplica->Start());
    }
  }
  return Success();
}

void
Submissions::Stop()
{
  for (const auto& [home, access] : mAccesses) {
    if (access.mReplica) {
      access.mReplica->Stop();
    }
  }
}

void
Submissions::TransferForeignGroups()
{
  for (const auto& [home, access] : mAccesses) {
    const bool leads = access.mReplica && access.mReplica->IsLeader();
    if (leads && home != mHomes.Self() && HasLiveVoter(home, access)) {
      access.mReplica->TransferLeadership();
    }
  }
}

bool
Submissions::HasLiveVoter(const DataCentreName& aHome,
                          const HomeAccess& aAccess) const
{
  const std::vector<InstanceName> live = mInstances.LiveInstances(aHome);
  return std::any_of(
    live.begin(), live.end(), [&aAccess](const InstanceName& aName) {
      return std::find(aAccess.mVoters.begin(), aAccess.mVoters.end(), aName) !=
             aAccess.mVoters.end();
    });
}

const Replicator*
Submissions::ConsensusOf(const DataCentreName& aHome) const
{
  const auto access = mAccesses.find(aHome);
  if (access == mAccesses.end() || !access->second.mReplica) {
    return nullptr;
  }
  return &access->second.mReplica->Consensus();
}

VotersController::Groups
Submissions::VoterGroups() const
{
  VotersController::Groups groups;
  for (const auto& [home, access] : mAccesses) {
    if (access.mReplica) {
      groups[SubmissionGroupName(home)] = &access.mReplica->Voters();
    }
  }
  return groups;
}

void
Submissions::ApplyRules(const RoutingRules& aRules)
{
  mRunner.ApplyRules(aRules);
}

void
Submissions::Tick()
{
  const Clock::Monotonic now = mClock.MonotonicNow();
  if (now < mNextTick) {
    return;
  }
  mNextTick = now + kTickInterval;
  for (const auto& [home, access] : mAccesses) {
    if (access.mReplica) {
      access.mReplica->Tick();
    }
    access.mLease->Tick();
  }
  if (now >= mNextLeadershipTransfer) {
    mNextLeadershipTransfer = now + kLeadershipTransferInterval;
    TransferForeignGroups();
  }
  if (now >= mNextRetry) {
    mNextRetry = now + kRetryInterval;
    mClaims.Tick();
  }
  mRunner.Tick();
  mController.Tick();
}

void
Submissions::AddRoutes(CallerApi& aApi)
{
  aApi.AddRoute("/v1/jobs", mApi);
  aApi.AddRoute("/v1/jobs/", mApi);
  aApi.AddRoute("/v1/home", mApi);
}

void
Submissions::AddTaskMetrics(DaemonMetrics& aMetrics)
{
  aMetrics.AddGauge("almondspoke_tasks_sent",
                    "Sends of tasks to workers since the start",
                    [this] { return double(mRunner.Counts().mSent); });
  aMetrics.AddGauge("almondspoke_tasks_refused",
                    "Sends that did not start their task since the start",
                    [this] { return double(mRunner.Counts().mRefused); });
  constexpr std::array<const char*, 3> kSteps = {
    "almondspoke_tasks_throttled",
    "almondspoke_tasks_checkpointed",
    "almondspoke_tasks_stopped",
  };
  for (std::size_t step = 0; step < kSteps.size(); ++step) {
    aMetrics.AddGauge(
      kSteps[step],
      "Steps of this sort against overcommitted workers since the start",
      [this, step] {
        return double(mRunner.Counts().mOvercommitActions[step]);
      });
  }
}

void
Submissions::AddMetrics(DaemonMetrics& aMetrics)
{
  aMetrics.AddGauge(
    "almondspoke_claims",
    "Claims in the submission groups that this instance votes in",
    [this] { return static_cast<double>(Counts().mClaims); });
  aMetrics.AddGauge(
    "almondspoke_answers_kept",
    "Answers kept in the submission groups that this instance votes in",
    [this] { return static_cast<double>(Counts().mAnswers); });
  aMetrics.AddGauge(
    "almondspoke_answers_kept_bytes", "Size of the answers kept", [this] {
      return static_cast<double>(Counts().mAnswerBytes);
    });
  aMetrics.AddGauge(
    "almondspoke_submission_commands_pending",
    "Records and releases that wait to be repeated",
    [this] { return static_cast<double>(mClaims.PendingCommandCount()); });
  aMetrics.AddGauge("almondspoke_jobs",
                    "Jobs held, those being recorded included",
                    [this] { return static_cast<double>(mRunner.JobCount()); });
  aMetrics.AddGauge(
    "almondspoke_jobs_queued", "Jobs with tasks to place", [this] {
      return static_cast<double>(mRunner.QueuedJobCount());
    });
  aMetrics.AddGauge(
    "almondspoke_jobs_held_back",
    "Queued jobs that a share of their kind or team holds back",
    [this] { return static_cast<double>(mRunner.ParkedJobCount()); });
  aMetrics.AddGauge(
    "almondspoke_job_slots_taken",
    "Slots of workers taken by this instance's jobs",
    [this] { return static_cast<double>(mRunner.AllocatedSlots()); });
  AddTaskMetrics(aMetrics);
  aMetrics.AddGauge("almondspoke_executor_leases",
                    "Data centres whose submission group lets this instance "
                    "start work",
                    [this] { return static_cast<double>(CountLeasesHeld()); });
  aMetrics.AddGauge("almondspoke_submission_groups_led",
                    "Submission groups that this instance leads",
                    [this] { return static_cast<double>(CountGroupsLed()); });
  aMetrics.AddGauge(
    "almondspoke_submission_groups_voting",
    "Submission groups that this instance votes in now",
    [this] { return static_cast<double>(CountGroupsVoting()); });
  aMetrics.AddGauge(
    "almondspoke_submission_groups_failed",
    "Submission groups that this instance takes no part in until its disk, "
    "which refused a write, works again",
    [this] { return static_cast<double>(CountGroupsFailed()); });
  aMetrics.AddGauge(
    "almondspoke_executor_epoch",
    "Executor epoch in the group of this data centre; 0 without a lease",
    [this] { return static_cast<double>(HomeEpoch()); });
}

void
Submissions::StartDraining()
{
  mController.StartDraining();
  for (const auto& [home, access] : mAccesses) {
    if (access.mReplica) {
      access.mReplica->TransferLeadership();
    }
  }
}

bool
Submissions::IsIdle() const
{
  return mController.IsIdle() && mClaims.PendingCommandCount() == 0 &&
         mRequestClaims.RecordsInProgress() == 0;
}

SubmissionCounts
Submissions::Counts() const
{
  SubmissionCounts sum;
  for (const auto& [home, access] : mAccesses) {
    if (access.mReplica) {
      const SubmissionCounts counts = access.mReplica->Counts();
      sum.mClaims += counts.mClaims;
      sum.mAnswers += counts.mAnswers;
      sum.mAnswerBytes += counts.mAnswerBytes;
    }
  }
  return sum;
}

ExecutorEpoch
Submissions::HomeEpoch() const
{
  return mAccesses.at(mHomes.Self()).mLease->CurrentEpoch().value_or(0);
}

std::size_t
Submissions::CountLeasesHeld() const
{
  return static_cast<std::size_t>(
    std::count_if(mAccesses.begin(), mAccesses.end(), [](const auto& aAccess) {
      return aAccess.second.mLease->CurrentEpoch().has_value();
    }));
}

std::size_t
Submissions::CountGroupsLed() const
{
  return static_cast<std::size_t>(
    std::count_if(mAccesses.begin(), mAccesses.end(), [](const auto& aAccess) {
      return aAccess.second.mReplica && aAccess.second.mReplica->IsLeader();
    }));
}

std::size_t
Submissions::CountGroupsVoting() const
{
  return static_cast<std::size_t>(
    std::count_if(mAccesses.begin(), mAccesses.end(), [](const auto& aAccess) {
      return aAccess.second.mReplica && aAccess.second.mReplica->IsVoting();
    }));
}

std::size_t
Submissions::CountGroupsFailed() const
{
  return static_cast<std::size_t>(
    std::count_if(mAccesses.begin(), mAccesses.end(), [](const auto& aAccess) {
      return aAccess.second.mReplica && aAccess.second.mReplica->HasFailed();
    }));
}

}
