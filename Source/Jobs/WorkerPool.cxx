#include "Jobs/WorkerPool.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <iterator>
#include <tuple>

namespace almondspoke {

namespace {

// The weight of a usage report falls from 1 at its arrival to 0 at this age.
constexpr std::chrono::milliseconds kMaxReportAge{ 15'000 };

// A worker that refused a task has fewer free cores than the task requires. The
// free cores are first assumed to be this share of the task's, and to double
// with each period, so they reach the task's after one. The period doubles with
// each refusal and shrinks by 1 / kDoublingPeriodDecayDivisor of itself with
// each success. Both balance at one refusal in kDoublingPeriodDecayDivisor * ln
// 2 successes.
constexpr double kFreeShareAfterRefusal = 0.5;
constexpr std::chrono::milliseconds kMinDoublingPeriod{ 100 };
constexpr std::chrono::seconds kMaxDoublingPeriod{ 8 };
constexpr int kDoublingPeriodDecayDivisor = 1024;

// A usage report below this utilization of the cores cancels the effect of an
// earlier refusal.
constexpr double kIdleUtilization = 0.5;

// A worker is not used for a while after this many consecutive failures. The
// time starts at kInitialBackOff and doubles with each further failure, up to
// kMaxBackOffDoublings times. At most the given share of the workers is backed
// off at a time.
constexpr std::uint32_t kFailuresBeforeBackOff = 3;
constexpr std::chrono::milliseconds kInitialBackOff{ 1000 };
constexpr std::uint32_t kMaxBackOffDoublings = 6;
constexpr double kMaxBackedOffShare = 0.3;

Resources
CapacityOf(const EndpointAnnouncement& aAnnouncement)
{
  Resources capacity;
  capacity.mCores = aAnnouncement.mCores;
  capacity.mMemoryBytes = aAnnouncement.mMemoryBytes;
  capacity.mAccelerators = aAnnouncement.mAccelerators;
  return capacity;
}

double
Fraction(double aPart, double aWhole)
{
  return aWhole > 0 ? aPart / aWhole : 0;
}

// Utilization of the more heavily used of cores and memory.
double
Utilization(const Resources& aFree, const Resources& aCapacity)
{
  const double cores = 1 - Fraction(aFree.mCores, aCapacity.mCores);
  const double memory =
    1 - Fraction(static_cast<double>(aFree.mMemoryBytes),
                 static_cast<double>(aCapacity.mMemoryBytes));
  return std::max(cores, memory);
}

std::uint64_t
MixBits(std::uint64_t aValue)
{
  aValue ^= aValue >> 33U;
  aValue *= 0xff51afd7ed558ccdULL;
  aValue ^= aValue >> 33U;
  return aValue;
}

std::uint32_t
TasksInRack(const PlacementQuery& aQuery, const std::string& aRack)
{
  if (aQuery.mRackCounts == nullptr) {
    return 0;
  }
  const auto count = aQuery.mRackCounts->find(aRack);
  return count == aQuery.mRackCounts->end() ? 0 : count->second;
}

struct NamedResource
{
  const char* mName;
  double (*mAmount)(const Resources&);
};

constexpr std::array<NamedResource, 3> kNamedResources = { {
  { "cores", [](const Resources& aOf) { return aOf.mCores; } },
  { "memoryBytes",
    [](const Resources& aOf) {
      return static_cast<double>(aOf.mMemoryBytes);
    } },
  { "accelerators",
    [](const Resources& aOf) {
      return static_cast<double>(aOf.mAccelerators);
    } },
} };

}

WorkerPool::WorkerPool(const Clock& aClock)
  : mClock(aClock)
{
}

void
WorkerPool::Update(const std::vector<Endpoint>& aEndpoints)
{
  for (auto& [name, worker] : mWorkers) {
    worker.mPresent = false;
  }
  for (const Endpoint& endpoint : aEndpoints) {
    const EndpointAnnouncement& announcement = endpoint.mAnnouncement;
    if (announcement.mCores <= 0 || endpoint.mLeaving) {
      continue;
    }
    Worker& worker = mWorkers[announcement.mName];
    worker.mName = announcement.mName;
    worker.mService = announcement.mService;
    worker.mAddress = announcement.mAddress;
    worker.mRack = announcement.mRack;
    worker.mCapacity = CapacityOf(announcement);
    worker.mSlots = announcement.mSlots;
    worker.mPresent = true;
    if (!endpoint.mUsage ||
        endpoint.mUsage->mMeasuredAtMilliseconds <= worker.mReportedAtMs) {
      continue;
    }
    const UsageReport& usage = *endpoint.mUsage;
    worker.mReportedAtMs = usage.mMeasuredAtMilliseconds;
    worker.mReportReceivedAt = mClock.MonotonicNow();
    worker.mUsedByOthers = { usage.mCoresUsed,
                             usage.mMemoryUsedBytes,
                             usage.mAcceleratorsUsed };
    worker.mUsedByOthers -= worker.mAllocated;
    if (usage.mCoresUsed < worker.mCapacity.mCores * kIdleUtilization) {
      worker.mRefusedTaskCores = 0;
    }
  }
  mByService.clear();
  mCores.clear();
  for (auto entry = mWorkers.begin(); entry != mWorkers.end();) {
    const Worker& worker = entry->second;
    if (!worker.mPresent && worker.mAllocatedSlots == 0) {
      entry = mWorkers.erase(entry);
      continue;
    }
    if (worker.mPresent) {
      mByService[worker.mService].push_back(&worker);
      ServiceCores& cores = mCores[worker.mService];
      cores.mTotal += worker.mCapacity.mCores;
      cores.mAllocated += worker.mAllocated.mCores;
      cores.mUsedByOthers += worker.mUsedByOthers.mCores;
    }
    ++entry;
  }
  RemoveAbsentServices();
}

void
WorkerPool::RemoveAbsentServices()
{
  for (auto entry = mRecentOutcomes.begin(); entry != mRecentOutcomes.end();) {
    entry = mByService.count(entry->first) == 0 ? mRecentOutcomes.erase(entry)
                                                : std::next(entry);
  }
}

const Worker*
WorkerPool::Choose(const PlacementQuery& aQuery) const
{
  // Lower is better. Compares, in this order: whether a worker with
  // accelerators would run a task that uses none, the number of tasks of the
  // job in the rack, and the utilization after the placement.
  using Score = std::tuple<bool, std::uint32_t, double>;
  const std::vector<const Worker*>& workers = WorkersOf(aQuery.mService);
  const std::size_t start =
    workers.empty() ? 0 : MixBits(aQuery.mSeed) % workers.size();
  const Worker* best = nullptr;
  Score bestScore;
  std::size_t candidates = 0;
  for (std::size_t step = 0;
       step < workers.size() && candidates < kMaxCandidates;
       ++step) {
    const Worker& worker = *workers[(start + step) % workers.size()];
    if (!IsCandidate(worker, aQuery)) {
      continue;
    }
    Resources free = FreeResources(worker, aQuery.mIgnoreRefusals);
    if (!Fits(aQuery.mRequired, free)) {
      continue;
    }
    ++candidates;
    free -= aQuery.mRequired;
    const bool wastesAccelerators =
      aQuery.mRequired.mAccelerators == 0 && worker.mCapacity.mAccelerators > 0;
    const Score score(wastesAccelerators,
                      TasksInRack(aQuery, worker.mRack),
                      Utilization(free, worker.mCapacity));
    if (best == nullptr || score < bestScore) {
      best = &worker;
      bestScore = score;
    }
  }
  return best;
}

const Worker*
WorkerPool::ChooseReservation(const PlacementQuery& aQuery) const
{
  const Worker* best = nullptr;
  double bestUtilization = 0;
  for (const Worker* worker : WorkersOf(aQuery.mService)) {
    if (IsBackedOff(*worker) || !Fits(aQuery.mRequired, worker->mCapacity)) {
      continue;
    }
    const double utilization =
      Utilization(FreeResources(*worker), worker->mCapacity);
    if (best == nullptr || utilization < bestUtilization) {
      best = worker;
      bestUtilization = utilization;
    }
  }
  return best;
}

std::string
WorkerPool::MissingResource(const ServiceName& aService,
                            const Resources& aRequired) const
{
  const std::vector<const Worker*>& workers = WorkersOf(aService);
  const bool fits = std::any_of(
    workers.begin(), workers.end(), [&aRequired](const Worker* aWorker) {
      return Fits(aRequired, aWorker->mCapacity);
    });
  if (fits || workers.empty()) {
    return std::string();
  }
  for (const NamedResource& amount : kNamedResources) {
    double largest = 0;
    for (const Worker* worker : workers) {
      largest = std::max(largest, amount.mAmount(worker->mCapacity));
    }
    if (amount.mAmount(aRequired) > largest + kCoreTolerance) {
      return amount.mName;
    }
  }
  return "cores, memoryBytes and accelerators on one worker";
}

bool
WorkerPool::HasWorkers(const ServiceName& aService) const
{
  return mByService.count(aService) != 0;
}

void
WorkerPool::Allocate(const EndpointName& aWorker, const Resources& aRequired)
{
  Worker& worker = mWorkers.at(aWorker);
  worker.mAllocated += aRequired;
  ++worker.mAllocatedSlots;
  mCores[worker.mService].mAllocated += aRequired.mCores;
}

void
WorkerPool::Release(const EndpointName& aWorker, const Resources& aRequired)
{
  const auto found = mWorkers.find(aWorker);
  if (found == mWorkers.end()) {
    return;
  }
  Worker& worker = found->second;
  worker.mAllocated -= aRequired;
  --worker.mAllocatedSlots;
  if (worker.mPresent) {
    mCores[worker.mService].mAllocated -= aRequired.mCores;
  }
}

ServiceCores
WorkerPool::CoresOf(const ServiceName& aService) const
{
  const auto found = mCores.find(aService);
  return found == mCores.end() ? ServiceCores() : found->second;
}

void
WorkerPool::RecordRefusal(const EndpointName& aWorker,
                          const Resources& aRequired)
{
  const auto found = mWorkers.find(aWorker);
  if (found == mWorkers.end()) {
    return;
  }
  Worker& worker = found->second;
  worker.mRefusedTaskCores = aRequired.mCores;
  worker.mUnallocatedCoresAtRefusal =
    worker.mCapacity.mCores - worker.mAllocated.mCores;
  worker.mRefusedAt = mClock.MonotonicNow();
  std::chrono::microseconds& period =
    mRecentOutcomes[worker.mService].mDoublingPeriod;
  period = std::clamp<std::chrono::microseconds>(
    period * 2, kMinDoublingPeriod, kMaxDoublingPeriod);
}

bool
WorkerPool::HasSucceededSince(const ServiceName& aService,
                              Clock::Monotonic aTime) const
{
  const auto found = mRecentOutcomes.find(aService);
  return found != mRecentOutcomes.end() && found->second.mLastSuccessAt &&
         *found->second.mLastSuccessAt >= aTime;
}

void
WorkerPool::RecordResult(const EndpointName& aWorker, bool aSucceeded)
{
  const auto found = mWorkers.find(aWorker);
  if (found == mWorkers.end()) {
    return;
  }
  Worker& worker = found->second;
  if (aSucceeded) {
    RecentOutcomes& outcomes = mRecentOutcomes[worker.mService];
    outcomes.mLastSuccessAt = mClock.MonotonicNow();
    outcomes.mDoublingPeriod -=
      outcomes.mDoublingPeriod / kDoublingPeriodDecayDivisor;
    worker.mConsecutiveFailures = 0;
    worker.mBackOffUntil = Clock::Monotonic();
    return;
  }
  ++worker.mConsecutiveFailures;
  if (worker.mConsecutiveFailures < kFailuresBeforeBackOff ||
      IsBackedOff(worker)) {
    return;
  }
  const auto backedOff = static_cast<double>(
    std::count_if(mWorkers.begin(), mWorkers.end(), [this](const auto& aEntry) {
      return IsBackedOff(aEntry.second);
    }));
  const double allowed =
    kMaxBackedOffShare * static_cast<double>(PresentCount());
  if (backedOff + 1 > std::max(1.0, allowed) || PresentCount() == 1) {
    return;
  }
  const std::uint32_t doublings = std::min(
    kMaxBackOffDoublings, worker.mConsecutiveFailures - kFailuresBeforeBackOff);
  worker.mBackOffUntil =
    mClock.MonotonicNow() + kInitialBackOff * (1U << doublings);
}

std::uint32_t
WorkerPool::AllocatedSlots() const
{
  std::uint32_t allocated = 0;
  for (const auto& [name, worker] : mWorkers) {
    allocated += worker.mAllocatedSlots;
  }
  return allocated;
}

Resources
WorkerPool::FreeResources(const Worker& aWorker) const
{
  return FreeResources(aWorker, false);
}

Resources
WorkerPool::FreeResources(const Worker& aWorker, bool aIgnoreRefusals) const
{
  Resources usedByOthers = ResourcesUsedByOthers(aWorker);
  if (!aIgnoreRefusals) {
    usedByOthers.mCores =
      std::max(usedByOthers.mCores, CoresUsedByOthersAtRefusal(aWorker));
  }
  Resources free = aWorker.mCapacity;
  free -= aWorker.mAllocated;
  free -= usedByOthers;
  return free;
}

// Resources used by others according to the last usage report, weighted by the
// age of the report.
Resources
WorkerPool::ResourcesUsedByOthers(const Worker& aWorker) const
{
  const auto age = mClock.MonotonicNow() - aWorker.mReportReceivedAt;
  if (aWorker.mReportedAtMs == 0 || age >= kMaxReportAge) {
    return Resources();
  }
  using Milliseconds = std::chrono::duration<double, std::milli>;
  const double weight = 1 - Milliseconds(age) / Milliseconds(kMaxReportAge);
  // Accelerators are not shared between tasks, so their use keeps full weight.
  Resources usedByOthers = aWorker.mUsedByOthers;
  usedByOthers.mCores *= weight;
  usedByOthers.mMemoryBytes = static_cast<std::uint64_t>(
    static_cast<double>(usedByOthers.mMemoryBytes) * weight);
  return usedByOthers;
}

// Estimate of the cores used by others that follows from the last refusal.
double
WorkerPool::CoresUsedByOthersAtRefusal(const Worker& aWorker) const
{
  const auto outcomes = mRecentOutcomes.find(aWorker.mService);
  if (aWorker.mRefusedTaskCores <= 0 || outcomes == mRecentOutcomes.end()) {
    return 0;
  }
  using Microseconds = std::chrono::duration<double, std::micro>;
  const double periods =
    Microseconds(mClock.MonotonicNow() - aWorker.mRefusedAt) /
    Microseconds(outcomes->second.mDoublingPeriod);
  const double freeCores =
    aWorker.mRefusedTaskCores * kFreeShareAfterRefusal * std::exp2(periods);
  return std::max(0.0, aWorker.mUnallocatedCoresAtRefusal - freeCores);
}

bool
WorkerPool::IsBackedOff(const Worker& aWorker) const
{
  return aWorker.mBackOffUntil > mClock.MonotonicNow();
}

bool
WorkerPool::IsCandidate(const Worker& aWorker,
                        const PlacementQuery& aQuery) const
{
  const bool excluded = aQuery.mExcludedWorkers != nullptr &&
                        aQuery.mExcludedWorkers->count(aWorker.mName) != 0;
  return !excluded && aWorker.mName != aQuery.mReservedWorker &&
         aWorker.mAllocatedSlots < aWorker.mSlots && !IsBackedOff(aWorker);
}

const std::vector<const Worker*>&
WorkerPool::WorkersOf(const ServiceName& aService) const
{
  static const std::vector<const Worker*> kNoWorkers;
  const auto found = mByService.find(aService);
  return found == mByService.end() ? kNoWorkers : found->second;
}

std::size_t
WorkerPool::PresentCount() const
{
  return static_cast<std::size_t>(
    std::count_if(mWorkers.begin(), mWorkers.end(), [](const auto& aEntry) {
      return aEntry.second.mPresent;
    }));
}

}
