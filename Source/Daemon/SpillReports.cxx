#include "Daemon/SpillReports.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "Base/MessagePack.h"

namespace almondspoke {

namespace {

const std::string kSpillRoomMethod = "spill-room";

// Time for which reports are used before new ones are requested.
constexpr std::chrono::milliseconds kMaxReportAge{ 1000 };
constexpr std::chrono::milliseconds kReportTimeout{ 250 };

// Maximum number of instances queried in one round.
constexpr std::size_t kMaxQueriedInstances = 6;

// Maximum number of services with a current round.
constexpr std::size_t kMaxServices = 8;

/** \brief Requests the free capacity for a service. */
struct RoomRequest
{
  ServiceName mService;

  MSGPACK_DEFINE(mService)
};

struct RoomResponse
{
  std::uint32_t mRoom = 0;

  MSGPACK_DEFINE(mRoom)
};

bool
HasRoom(const SpillCandidate& aReport)
{
  return aReport.mRoom > 0;
}

}

SpillReports::SpillReports(SpillReportsDependencies aDependencies)
  : mDependencies(std::move(aDependencies))
{
  mDependencies.mRpc.Register(
    kSpillRoomMethod,
    [this](const InstanceName&,
           const std::string& aRequest,
           const PeerRpc::Done& aDone) {
      const Result<RoomRequest> request = UnpackMessage<RoomRequest>(aRequest);
      if (request.has_error()) {
        aDone(request.error());
        return;
      }
      RoomResponse response;
      response.mRoom = mDependencies.mIsSpillEnabled
                         ? mDependencies.mRoom(request.value().mService)
                         : 0;
      aDone(PackMessage(response));
    });
}

bool
SpillReports::IsFresh(const Round& aRound) const
{
  return mDependencies.mClock.MonotonicNow() - aRound.mStartedAt <
         kMaxReportAge;
}

SpillReports::Round*
SpillReports::FindOrAddRound(const ServiceName& aService)
{
  const auto found = mRounds.find(aService);
  if (found != mRounds.end()) {
    return &found->second;
  }
  for (auto round = mRounds.begin(); round != mRounds.end();) {
    const bool isOver =
      !IsFresh(round->second) && round->second.mWaiting.empty();
    round = isOver ? mRounds.erase(round) : std::next(round);
  }
  return mRounds.size() < kMaxServices ? &mRounds[aService] : nullptr;
}

void
SpillReports::Find(const ServiceName& aService, Done aDone)
{
  const std::optional<Queries> queries = AddWaitingRequest(aService, aDone);
  if (!queries) {
    aDone({});
    return;
  }
  for (const SpillCandidate& instance : queries->mInstances) {
    Query(aService, queries->mRound, instance);
  }
  AnswerWaitingRequests(aService);
}

std::optional<SpillReports::Queries>
SpillReports::AddWaitingRequest(const ServiceName& aService, const Done& aDone)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  Round* round =
    mDependencies.mIsSpillEnabled ? FindOrAddRound(aService) : nullptr;
  if (round == nullptr) {
    return std::nullopt;
  }
  round->mWaiting.push_back(aDone);
  Queries queries;
  if (round->mNumber == 0 || !IsFresh(*round)) {
    round->mNumber = ++mLastRound;
    round->mStartedAt = mDependencies.mClock.MonotonicNow();
    round->mReports.clear();
    queries.mInstances = ChooseInstances(round->mNumber);
    round->mPending = queries.mInstances.size();
  }
  queries.mRound = round->mNumber;
  return queries;
}

std::vector<SpillCandidate>
SpillReports::ChooseInstances(std::uint64_t aRound) const
{
  const DataCentreName own = mDependencies.mInstances.Self().mDataCentre;
  std::map<DataCentreName, std::vector<SpillCandidate>> byDataCentre;
  for (const InstanceStatus& status : mDependencies.mInstances.Instances()) {
    const InstanceIdentity& identity = status.mIdentity;
    const auto address = mDependencies.mCallerAddresses.find(identity.mName);
    if (identity.mDataCentre != own &&
        status.mHealth == InstanceHealth::Alive && !status.mDraining &&
        address != mDependencies.mCallerAddresses.end()) {
      byDataCentre[identity.mDataCentre].push_back(
        { identity.mName, identity.mDataCentre, address->second, {}, 0 });
    }
  }
  // Takes one instance of each data centre, then a second one of each, and so
  // on. Each round starts at another data centre and instance.
  std::vector<SpillCandidate> chosen;
  for (std::size_t turn = 0; turn < kMaxQueriedInstances; ++turn) {
    for (std::size_t i = 0; i < byDataCentre.size(); ++i) {
      const auto& instances = std::next(byDataCentre.begin(),
                                        static_cast<std::ptrdiff_t>(
                                          (aRound + i) % byDataCentre.size()))
                                ->second;
      if (turn < instances.size() && chosen.size() < kMaxQueriedInstances) {
        chosen.push_back(instances[(aRound + turn) % instances.size()]);
      }
    }
  }
  return chosen;
}

void
SpillReports::Query(const ServiceName& aService,
                    std::uint64_t aRound,
                    const SpillCandidate& aCandidate)
{
  const Clock::Monotonic sentAt = mDependencies.mClock.MonotonicNow();
  mDependencies.mRpc.Call(
    aCandidate.mInstance,
    kSpillRoomMethod,
    PackMessage(RoomRequest{ aService }),
    kReportTimeout,
    [this,
     alive = std::weak_ptr<bool>(mAlive),
     aService,
     aRound,
     aCandidate,
     sentAt](const Result<std::string>& aReport) {
      if (alive.expired()) {
        return;
      }
      SpillCandidate candidate = aCandidate;
      candidate.mRoundTrip =
        std::chrono::duration_cast<std::chrono::microseconds>(
          mDependencies.mClock.MonotonicNow() - sentAt);
      OnReport(aService, aRound, std::move(candidate), aReport);
    });
}

void
SpillReports::OnReport(const ServiceName& aService,
                       std::uint64_t aRound,
                       SpillCandidate aCandidate,
                       const Result<std::string>& aReport)
{
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    const auto found = mRounds.find(aService);
    if (found == mRounds.end() || found->second.mNumber != aRound) {
      return;
    }
    --found->second.mPending;
    if (aReport.has_value()) {
      const auto response = UnpackMessage<RoomResponse>(aReport.value());
      if (response.has_value()) {
        aCandidate.mRoom = response.value().mRoom;
        found->second.mReports.push_back(std::move(aCandidate));
      }
    }
  }
  AnswerWaitingRequests(aService);
}

void
SpillReports::AnswerWaitingRequests(const ServiceName& aService)
{
  for (;;) {
    Done done;
    std::vector<SpillCandidate> reports;
    {
      const std::lock_guard<std::mutex> lock(mMutex);
      const auto found = mRounds.find(aService);
      if (found == mRounds.end() || found->second.mWaiting.empty()) {
        return;
      }
      Round& round = found->second;
      const bool hasRoom =
        std::any_of(round.mReports.begin(), round.mReports.end(), HasRoom);
      if (!hasRoom && round.mPending > 0) {
        return;
      }
      done = std::move(round.mWaiting.front());
      round.mWaiting.pop_front();
      reports = round.mReports;
    }
    done(std::move(reports));
  }
}

SpillCandidate*
SpillReports::FindReport(const ServiceName& aService,
                         const InstanceName& aInstance)
{
  const auto found = mRounds.find(aService);
  if (found == mRounds.end()) {
    return nullptr;
  }
  for (SpillCandidate& report : found->second.mReports) {
    if (report.mInstance == aInstance) {
      return &report;
    }
  }
  return nullptr;
}

bool
SpillReports::TryReserve(const ServiceName& aService,
                         const InstanceName& aInstance)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  SpillCandidate* report = FindReport(aService, aInstance);
  if (report == nullptr || report->mRoom == 0) {
    return false;
  }
  --report->mRoom;
  return true;
}

void
SpillReports::ReleaseReservation(const ServiceName& aService,
                                 const InstanceName& aInstance,
                                 bool aHasCapacity)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  SpillCandidate* report = FindReport(aService, aInstance);
  if (report == nullptr) {
    return;
  }
  report->mRoom = aHasCapacity ? report->mRoom + 1 : 0;
}

}
