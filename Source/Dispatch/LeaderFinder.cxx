#include "Dispatch/LeaderFinder.h"

#include <algorithm>

#include "Base/MessagePack.h"

namespace almondspoke::dispatch {

namespace {

using std::chrono::milliseconds;

/** Interval of the queries to a leader that answers. */
constexpr milliseconds kLeaderQueryInterval{ 150 };
/** Interval of the queries to all coordinators while no leader is known. */
constexpr milliseconds kSearchQueryInterval{ 60 };

/** A leader counts as known for this long after its latest answer: two query
 * intervals and a round trip. */
constexpr milliseconds kLeaderValidity{ 450 };

/** Time without an elected leader after which a local leader is requested. The
 * coordinators wait in addition for a running election to end. */
constexpr milliseconds kLocalLeaderDelay{ 300 };

constexpr milliseconds kQueryTimeout{ 300 };

constexpr std::size_t kMaxCoordinators = 64;

}

LeaderFinder::LeaderFinder(const Clock& aClock,
                           PeerRpc& aRpc,
                           EventLog& aLog,
                           std::string aDataCentre,
                           const std::vector<InstanceName>& aSeeds)
  : mClock(aClock)
  , mRpc(aRpc)
  , mLog(aLog)
  , mDataCentre(std::move(aDataCentre))
  , mCoordinators(aSeeds.begin(), aSeeds.end())
  , mLeaderKnownAt(aClock.MonotonicNow())
{
}

std::optional<InstanceName>
LeaderFinder::Leader() const
{
  const bool isValid =
    mLeader && mClock.MonotonicNow() - mLeaderAnsweredAt < kLeaderValidity &&
    !mLeaderSuspected;
  return isValid ? mLeader : std::nullopt;
}

std::optional<InstanceName>
LeaderFinder::LocalLeader() const
{
  const bool isValid =
    mLocalLeader && !Leader() &&
    mClock.MonotonicNow() - mLocalLeaderAnsweredAt < kLeaderValidity;
  return isValid ? mLocalLeader : std::nullopt;
}

std::optional<InstanceName>
LeaderFinder::AnyLeader() const
{
  const std::optional<InstanceName> leader = Leader();
  return leader ? leader : LocalLeader();
}

bool
LeaderFinder::WantsLocalLeader() const
{
  return mClock.MonotonicNow() - mLeaderKnownAt >= kLocalLeaderDelay;
}

std::optional<InstanceName>
LeaderFinder::LocalLeaderCandidate() const
{
  const TimePoint now = mClock.MonotonicNow();
  if (mLocalLeader && now - mLocalLeaderAnsweredAt < kLeaderValidity) {
    return mLocalLeader;
  }
  for (const auto& [coordinator, answered] : mLocalCoordinators) {
    if (now - answered < kLeaderValidity) {
      return coordinator;
    }
  }
  return std::nullopt;
}

void
LeaderFinder::SetUnresolved(std::vector<std::string> aKeys)
{
  mUnresolvedCalls = std::move(aKeys);
}

void
LeaderFinder::SuspectLeader(const InstanceName& aLeader)
{
  if (mLeader == aLeader && !mLeaderSuspected) {
    mLeaderSuspected = true;
    mNextQueryAt = {};
  }
}

void
LeaderFinder::AddSeeds(const std::vector<InstanceName>& aSeeds)
{
  mCoordinators.insert(aSeeds.begin(), aSeeds.end());
}

void
LeaderFinder::Tick()
{
  const TimePoint now = mClock.MonotonicNow();
  if (Leader()) {
    mLeaderKnownAt = now;
  }
  if (now < mNextQueryAt) {
    return;
  }
  if (Leader() && now - mLeaderAnsweredAt < kLeaderQueryInterval * 2) {
    mNextQueryAt = now + kLeaderQueryInterval;
    Query(*mLeader);
    return;
  }
  mNextQueryAt = now + kSearchQueryInterval;
  const std::set<InstanceName> coordinators = mCoordinators;
  for (const InstanceName& coordinator : coordinators) {
    Query(coordinator);
  }
}

void
LeaderFinder::Query(const InstanceName& aCoordinator)
{
  if (!mPendingQueries.insert(aCoordinator).second) {
    return;
  }
  LeaderQuery query;
  query.mDataCentre = mDataCentre;
  query.mWantsLocalLeader =
    WantsLocalLeader() && LocalLeaderCandidate() == aCoordinator;
  if (query.mWantsLocalLeader) {
    query.mUnresolvedCalls = mUnresolvedCalls;
  }
  mRpc.Call(aCoordinator,
            kLeaderStatusMethod,
            PackMessage(query),
            kQueryTimeout,
            [this, aCoordinator](const Result<std::string>& aAnswer) {
              OnAnswer(aCoordinator, aAnswer);
            });
}

void
LeaderFinder::OnAnswer(const InstanceName& aFrom,
                       const Result<std::string>& aAnswer)
{
  mPendingQueries.erase(aFrom);
  if (!aAnswer) {
    return;
  }
  const Result<LeaderStatus> status =
    UnpackMessage<LeaderStatus>(aAnswer.value());
  if (!status) {
    EventLine(mLog, "leader-status-malformed")
      .With("from", aFrom)
      .With("reason", status.error().Message());
    return;
  }
  HandleStatus(aFrom, status.value());
}

void
LeaderFinder::HandleStatus(const InstanceName& aFrom,
                           const LeaderStatus& aStatus)
{
  for (const InstanceName& member : aStatus.mMembers) {
    if (mCoordinators.size() < kMaxCoordinators) {
      mCoordinators.insert(member);
    }
  }
  HandleLimits(aStatus);
  HandleLocalStatus(aFrom, aStatus);
  if (!aStatus.mLeads) {
    if (mLeader == aFrom) {
      SuspectLeader(aFrom);
    }
    return;
  }
  if (aStatus.mTerm < mLeaderTerm) {
    return;
  }
  if (mLeader != aFrom || mLeaderTerm != aStatus.mTerm) {
    EventLine(mLog, "leader-found")
      .With("leader", aFrom)
      .With("term", aStatus.mTerm)
      .With("before", mLeader.value_or("none"))
      .With("term_before", mLeaderTerm);
  }
  mLeader = aFrom;
  mLeaderTerm = aStatus.mTerm;
  mLeaderAnsweredAt = mClock.MonotonicNow();
  mLeaderSuspected = false;
}

// Versions of the manifest only increase, so that a coordinator that lags
// behind does not bring back older limits.
void
LeaderFinder::HandleLimits(const LeaderStatus& aStatus)
{
  if (aStatus.mManifestVersion <= mLimitsVersion) {
    return;
  }
  mLimitsVersion = aStatus.mManifestVersion;
  if (aStatus.mCallerLimits == mLimits) {
    return;
  }
  mLimits = aStatus.mCallerLimits;
  EventLine(mLog, "caller-limits")
    .With("manifest", mLimitsVersion)
    .With("header_bytes", mLimits.mMaxHeaderBytes)
    .With("body_bytes", mLimits.mMaxBodyBytes)
    .With("header_timeout_ms", mLimits.mHeaderTimeoutMs)
    .With("idle_timeout_ms", mLimits.mIdleTimeoutMs);
}

// If several local leaders answer, keeps the one that was found first.
void
LeaderFinder::HandleLocalStatus(const InstanceName& aFrom,
                                const LeaderStatus& aStatus)
{
  if (aStatus.mDataCentre != mDataCentre) {
    return;
  }
  mLocalCoordinators[aFrom] = mClock.MonotonicNow();
  if (!aStatus.mLeadsLocally) {
    if (mLocalLeader == aFrom) {
      EventLine(mLog, "local-leader-lost").With("leader", aFrom);
      mLocalLeader.reset();
    }
    return;
  }
  const TimePoint now = mClock.MonotonicNow();
  const bool hasOther = mLocalLeader && mLocalLeader != aFrom &&
                        now - mLocalLeaderAnsweredAt < kLeaderValidity;
  if (hasOther) {
    return;
  }
  if (mLocalLeader != aFrom) {
    EventLine(mLog, "local-leader-found")
      .With("leader", aFrom)
      .With("data_centre", mDataCentre)
      .With("unresolved", std::uint64_t{ mUnresolvedCalls.size() });
  }
  mLocalLeader = aFrom;
  mLocalLeaderAnsweredAt = now;
}

}
