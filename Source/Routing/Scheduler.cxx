#include "Routing/Scheduler.h"

#include <utility>

#include "Routing/DeferredCalls.h"
#include "Routing/ServiceScheduler.h"

namespace almondspoke {

Scheduler::Scheduler(const Clock& aClock,
                     SlotHolder& aSlots,
                     DecisionSink& aDecisions,
                     SchedulerSettings aSettings)
  : mClock(aClock)
  , mSlots(aSlots)
  , mDecisions(aDecisions)
  , mSettings(aSettings)
{
}

Scheduler::~Scheduler() = default;

Scheduler::ServicePtr
Scheduler::Find(const ServiceName& aService) const
{
  const std::shared_lock<std::shared_mutex> lock(mMutex);
  const auto found = mByName.find(aService);
  return found == mByName.end() ? nullptr : found->second;
}

Scheduler::ServicePtr
Scheduler::FindByWork(WorkId aId) const
{
  const std::size_t index = ServiceScheduler::IndexOf(aId);
  const std::shared_lock<std::shared_mutex> lock(mMutex);
  return index < mServices.size() ? mServices[index] : nullptr;
}

Scheduler::ServicePtr
Scheduler::FindOrAdd(const ServiceName& aService)
{
  const std::unique_lock<std::shared_mutex> lock(mMutex);
  const auto found = mByName.find(aService);
  if (found != mByName.end()) {
    return found->second;
  }
  if (mServices.size() >= mSettings.mMaxServices) {
    return nullptr;
  }
  auto service = std::make_shared<ServiceScheduler>(
    aService, mServices.size(), mClock, mSlots, mDecisions, mSettings);
  service->ApplyRules(mRules);
  mServices.push_back(service);
  mByName.emplace(aService, service);
  return service;
}

std::vector<Scheduler::ServicePtr>
Scheduler::AllServices() const
{
  const std::shared_lock<std::shared_mutex> lock(mMutex);
  return mServices;
}

Result<WorkId>
Scheduler::Submit(WorkItem aItem,
                  DispatchHandler aOnDispatch,
                  RefuseHandler aOnRefuse)
{
  const ServicePtr service = Find(aItem.mService);
  if (!service) {
    Error refusal(ErrorKind::UnknownService,
                  "no endpoint has announced service '" + aItem.mService + "'");
    mDecisions.Record(RefusalDecision(aItem.mRequestId, "admit", refusal));
    return refusal;
  }
  return service->Submit(
    std::move(aItem), std::move(aOnDispatch), std::move(aOnRefuse));
}

Cancellation
Scheduler::Cancel(WorkId aId)
{
  const ServicePtr service = FindByWork(aId);
  return service ? service->Cancel(aId) : Cancellation::Unknown;
}

CompletionResult
Scheduler::Complete(WorkId aId,
                    AttemptOutcome aOutcome,
                    std::chrono::microseconds aElapsed)
{
  const ServicePtr service = FindByWork(aId);
  return service ? service->Complete(aId, aOutcome, aElapsed)
                 : CompletionResult{};
}

void
Scheduler::Apply(const EndpointChange& aChange)
{
  const EndpointAnnouncement& announcement = aChange.mEndpoint.mAnnouncement;
  const bool isListed = !aChange.mEndpoint.mLeaving &&
                        (aChange.mKind == EndpointChange::Kind::Added ||
                         aChange.mKind == EndpointChange::Kind::Updated);
  ServicePtr former;
  {
    const std::unique_lock<std::shared_mutex> lock(mMutex);
    const auto known = mServiceOfEndpoint.find(announcement.mName);
    if (known != mServiceOfEndpoint.end() &&
        (!isListed || known->second != announcement.mService)) {
      former = mByName[known->second];
      mServiceOfEndpoint.erase(known);
    }
    if (isListed) {
      mServiceOfEndpoint[announcement.mName] = announcement.mService;
    }
  }
  if (former) {
    former->RemoveEndpoint(announcement.mName);
  }
  if (!isListed) {
    return;
  }
  const ServicePtr service = FindOrAdd(announcement.mService);
  if (!service) {
    mDecisions.Record({ announcement.mName,
                        "endpoint",
                        {},
                        "ignore",
                        "service '" + announcement.mService +
                          "' exceeds the maximum number of services",
                        0 });
    return;
  }
  service->UpdateEndpoint(announcement);
}

void
Scheduler::ApplyRules(const RoutingRules& aRules)
{
  std::map<TeamName, std::uint32_t> formerTeams;
  {
    const std::unique_lock<std::shared_mutex> lock(mMutex);
    if (aRules.mVersion < mRules.mVersion) {
      return;
    }
    formerTeams = std::move(mRules.mTeamSlots);
    mRules = aRules;
  }
  for (const auto& [team, slots] : formerTeams) {
    if (aRules.mTeamSlots.count(team) == 0) {
      mSlots.Remove({ PoolType::TeamSlots, team });
    }
  }
  for (const auto& [team, slots] : aRules.mTeamSlots) {
    mSlots.SetCapacity({ PoolType::TeamSlots, team }, slots);
  }
  for (const ServicePtr& service : AllServices()) {
    service->ApplyRules(aRules);
  }
}

void
Scheduler::Tick()
{
  for (const ServicePtr& service : AllServices()) {
    service->Tick();
  }
}

bool
Scheduler::HasEndpoint(const ServiceName& aService) const
{
  const ServicePtr service = Find(aService);
  return service && service->HasEndpoint();
}

std::uint32_t
Scheduler::SpillRoom(const ServiceName& aService) const
{
  const ServicePtr service = Find(aService);
  return service ? service->SpillRoom() : 0;
}

std::size_t
Scheduler::Outstanding() const
{
  std::size_t outstanding = 0;
  for (const ServicePtr& service : AllServices()) {
    outstanding += service->Outstanding();
  }
  return outstanding;
}

std::vector<ServiceStatus>
Scheduler::Status() const
{
  std::vector<ServiceStatus> status;
  for (const ServicePtr& service : AllServices()) {
    status.push_back(service->Status());
  }
  return status;
}

}
