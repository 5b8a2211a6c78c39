#include "Dispatch/RunTimeModel.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace almondspoke::dispatch {

namespace {

/** Bound of the logarithm of a residual, a factor of 2.2. Run times vary by
 * 0.4, and 3% of them are 7 times as long: without the bound, one of those
 * moves a worker like five ordinary ones. */
constexpr double kMaxResidual = 0.8;

/** Least part of a residual by which a queue, a kind and a worker move. A queue
 * moves most of all, since it has the most runs: what is common to all workers,
 * such as a wrong estimate, is its part. */
constexpr double kMinQueueGain = 0.005;
constexpr double kMinKindGain = 0.01;
constexpr double kWorkerGain = 0.08;

/** Part of a worker's deviation that fades with each run, and the largest
 * deviation that counts for it, so that a lasting one is learned. With the
 * gain, a worker that was slow for a time is back after some ten runs. */
constexpr double kFading = 0.025;
constexpr double kMaxFadingDeviation = 0.3;

/** Runs of a queue, and of a kind, as which its first value counts. */
constexpr double kQueuePriorRuns = 1;
constexpr double kKindPriorRuns = 4;

/** Runs of a queue before workers are judged by them: the first ones show the
 * error of the estimates. */
constexpr std::uint32_t kRunsBeforeWorkers = 20;

/** Runs of a kind before its workers may change their tier. */
constexpr std::uint32_t kRunsBeforeTiers = 16;

/** Tasks with a shorter estimate teach nothing: the time that lists take is too
 * large a part of their run time. */
constexpr std::uint32_t kMinEstimateMs = 20;

/** Steps of a queue that are told apart; later ones count as the last. */
constexpr std::uint32_t kMaxSteps = 16;

/** Part by which the share of gains follows each stop, and by which it returns
 * to 1 with each slow run that is not stopped. */
constexpr double kStopGain = 0.1;
constexpr double kForgottenStops = 0.005;

/** Kinds without workers are kept up to this number of all kinds. */
constexpr std::size_t kMaxKeptKinds = 4096;

/** Number of racks whose ends are counted. */
constexpr std::size_t kMaxRacks = 4096;

/** Number of queues that are learned. */
constexpr std::size_t kMaxQueues = 4096;

/** Width of a tier in the logarithm, a factor of 1.65, and how far beyond its
 * tier a worker must be to leave it. */
constexpr double kTierWidth = 0.5;
constexpr double kTierHysteresis = 0.1;

/** Part of a worker's deviation that does not count for its tier. The
 * deviations of equal workers vary by 0.07. */
constexpr double kIgnoredDeviation = 0.1;

/** Part by which the mean of a tier follows each run of its workers. */
constexpr double kTierGain = 0.02;

std::string
KindKeyOf(const WorkerReport& aReport)
{
  std::vector<std::string> labels = aReport.mLabels;
  std::sort(labels.begin(), labels.end());
  std::string key = aReport.mPool;
  for (const std::string& label : labels) {
    key += '\n';
    key += label;
  }
  return key;
}

double
Bounded(double aResidual)
{
  return std::clamp(aResidual, -kMaxResidual, kMaxResidual);
}

double
WithoutSmallPart(double aDeviation)
{
  return aDeviation -
         std::clamp(aDeviation, -kIgnoredDeviation, kIgnoredDeviation);
}

std::uint32_t
StepIndexOf(std::uint32_t aStep)
{
  return std::min(aStep, kMaxSteps - 1);
}

RunTimeModel::Milliseconds
Scaled(std::int64_t aMilliseconds, double aLogFactor)
{
  return RunTimeModel::Milliseconds(
    std::llround(static_cast<double>(aMilliseconds) * std::exp(aLogFactor)));
}

}

RunTimeModel::RunTimeModel(double aSpreadFactor)
  : mLogSpreadFactor(std::log(aSpreadFactor))
{
}

void
RunTimeModel::Add(WorkerSession& aWorker)
{
  const WorkerReport& report = aWorker.Report();
  PoolSpeed& pool = mPools[report.mPool];
  const auto [entry, isNew] = mKinds.try_emplace(KindKeyOf(report));
  KindSpeed& kind = entry->second;
  if (isNew) {
    kind.mPool = &pool;
    kind.mLogFactor = pool.Mean();
  }
  aWorker.mSpeed.mKind = &kind;
  ++kind.mWorkers;
  ++pool.mWorkers;
  pool.mSumOfLogs += aWorker.mSpeed.LogFactor();
  TierSpeed& tier = pool.At(aWorker.mSpeed.mTier);
  tier.mLogFactor =
    tier.mWorkers == 0 ? aWorker.mSpeed.LogFactor() : tier.mLogFactor;
  ++tier.mWorkers;
  UpdateTier(aWorker);
}

void
RunTimeModel::Remove(WorkerSession& aWorker)
{
  WorkerSpeed& speed = aWorker.mSpeed;
  if (speed.mKind == nullptr) {
    return;
  }
  PoolSpeed& pool = *speed.mKind->mPool;
  pool.mSumOfLogs -= speed.LogFactor();
  --pool.mWorkers;
  --pool.At(speed.mTier).mWorkers;
  // A kind outlasts its last worker, whose next boot begins with its factor.
  const bool isUnused = --speed.mKind->mWorkers == 0;
  if (isUnused && mKinds.size() > kMaxKeptKinds) {
    mKinds.erase(KindKeyOf(aWorker.Report()));
  }
  speed.mKind = nullptr;
  if (pool.mWorkers == 0) {
    pool.mSumOfLogs = 0;
  }
}

void
RunTimeModel::Clear()
{
  mPools.clear();
  mKinds.clear();
  mQueues.clear();
  mRacks.clear();
}

void
RunTimeModel::OnEnd(const WorkerSession& aWorker, Clock::Monotonic aNow)
{
  const KindSpeed* kind = aWorker.mSpeed.mKind;
  if (kind == nullptr) {
    return;
  }
  kind->mPool->At(aWorker.mSpeed.mTier).mEnds.OnEnd(aNow);
  if (mRacks.empty()) {
    return;
  }
  for (const std::string& label : aWorker.Report().mLabels) {
    const auto rack = mRacks.find({ aWorker.Report().mPool, label });
    if (rack != mRacks.end()) {
      rack->second.OnEnd(aNow);
    }
  }
}

const EndRate*
RunTimeModel::EndsAtRack(const PoolName& aPool, const std::string& aRack)
{
  const auto rack = mRacks.find({ aPool, aRack });
  if (rack != mRacks.end()) {
    return &rack->second;
  }
  return mRacks.size() < kMaxRacks ? &mRacks[{ aPool, aRack }] : nullptr;
}

bool
RunTimeModel::IsOffRack(const WorkerSession& aWorker, const Work& aWork)
{
  if (aWork.mDataRack == nullptr || aWork.mDataRack->empty()) {
    return false;
  }
  const std::vector<std::string>& labels = aWorker.Report().mLabels;
  return std::find(labels.begin(), labels.end(), *aWork.mDataRack) ==
         labels.end();
}

const RunTimeModel::QueueSpeed*
RunTimeModel::Find(const Work& aWork) const
{
  const auto queue = mQueues.find(aWork.mQueue.mName);
  const std::uint32_t step = StepIndexOf(aWork.mStep);
  const bool isKnown = queue != mQueues.end() && step < queue->second.size() &&
                       queue->second[step].mRuns > 0;
  return isKnown ? &queue->second[step] : nullptr;
}

RunTimeModel::QueueSpeed*
RunTimeModel::Find(const Work& aWork)
{
  return const_cast<QueueSpeed*>(std::as_const(*this).Find(aWork));
}

double
RunTimeModel::LogFactorOf(const Work& aWork, const PoolSpeed& aPool) const
{
  const QueueSpeed* queue = Find(aWork);
  return queue == nullptr ? -aPool.Mean() : queue->mLogFactor;
}

bool
RunTimeModel::IsKnown(const Work& aWork) const
{
  const QueueSpeed* queue = Find(aWork);
  return queue != nullptr && queue->mRuns > kRunsBeforeWorkers;
}

double
RunTimeModel::ShareOfGains(const Work& aWork) const
{
  const QueueSpeed* queue = Find(aWork);
  return queue == nullptr ? 1 : queue->mShareOfGains;
}

void
RunTimeModel::LearnStop(const Work& aWork, bool aHasGained)
{
  if (QueueSpeed* queue = Find(aWork)) {
    queue->mShareOfGains +=
      ((aHasGained ? 1 : 0) - queue->mShareOfGains) * kStopGain;
  }
}

void
RunTimeModel::LearnNoStop(const Work& aWork)
{
  if (QueueSpeed* queue = Find(aWork)) {
    queue->mShareOfGains += (1 - queue->mShareOfGains) * kForgottenStops;
  }
}

bool
RunTimeModel::HasTiers(const WorkerSession& aWorker)
{
  const KindSpeed* kind = aWorker.mSpeed.mKind;
  return kind != nullptr && !kind->mPool->OnlyTier();
}

RunTimeModel::Milliseconds
RunTimeModel::ExpectedAtFastest(const WorkerSession& aWorkerOfPool,
                                const Work& aWork) const
{
  const Milliseconds here = ExpectedAt(aWorkerOfPool, aWork);
  if (aWorkerOfPool.mSpeed.mKind == nullptr) {
    return here;
  }
  const auto byTier = ExpectedByTier(*aWorkerOfPool.mSpeed.mKind->mPool, aWork);
  const auto fastest =
    std::find_if(byTier.begin(), byTier.end(), [](Milliseconds aExpected) {
      return aExpected.count() > 0;
    });
  return fastest == byTier.end() ? here : std::min(here, *fastest);
}

RunTimeModel::QueueSpeed&
RunTimeModel::SpeedOf(const Work& aWork, const PoolSpeed& aPool)
{
  std::vector<QueueSpeed>& steps = mQueues[aWork.mQueue.mName];
  const std::uint32_t step = StepIndexOf(aWork.mStep);
  if (steps.size() <= step) {
    steps.resize(step + 1);
  }
  if (steps[step].mRuns == 0) {
    steps[step].mLogFactor = -aPool.Mean();
  }
  return steps[step];
}

double
RunTimeModel::Residual(const WorkerSession& aWorker,
                       const Work& aWork,
                       double aLogFactorOfWork,
                       Milliseconds aRunTime) const
{
  const double ratio =
    static_cast<double>(aRunTime.count()) / aWork.mEstimateMs;
  return std::log(ratio) - aLogFactorOfWork - aWorker.mSpeed.LogFactor() -
         (IsOffRack(aWorker, aWork) ? mLogSpreadFactor : 0);
}

bool
RunTimeModel::IsAtBound(const WorkerSession& aWorker,
                        const Work& aWork,
                        Milliseconds aRunTime) const
{
  const bool isUsable = aWorker.mSpeed.mKind != nullptr &&
                        aWork.mEstimateMs >= kMinEstimateMs &&
                        aRunTime.count() > aWork.mEstimateMs;
  if (!isUsable) {
    return false;
  }
  const double queue = LogFactorOf(aWork, *aWorker.mSpeed.mKind->mPool);
  return Residual(aWorker, aWork, queue, aRunTime) >= kMaxResidual;
}

bool
RunTimeModel::Learn(WorkerSession& aWorker,
                    const Work& aWork,
                    Milliseconds aRunTime)
{
  WorkerSpeed& speed = aWorker.mSpeed;
  const bool isFull = mQueues.size() >= kMaxQueues &&
                      mQueues.find(aWork.mQueue.mName) == mQueues.end();
  if (speed.mKind == nullptr || isFull || aRunTime.count() <= 0 ||
      aWork.mEstimateMs < kMinEstimateMs) {
    return false;
  }
  KindSpeed& kind = *speed.mKind;
  PoolSpeed& pool = *kind.mPool;
  QueueSpeed& queue = SpeedOf(aWork, pool);
  const double residual =
    Bounded(Residual(aWorker, aWork, queue.mLogFactor, aRunTime));
  ++queue.mRuns;
  queue.mLogFactor +=
    residual * std::max(kMinQueueGain, 1 / (queue.mRuns + kQueuePriorRuns));
  if (queue.mRuns <= kRunsBeforeWorkers) {
    return false;
  }
  ++kind.mEnds;
  MoveKind(
    kind, residual * std::max(kMinKindGain, 1 / (kind.mEnds + kKindPriorRuns)));
  const double moved =
    residual * kWorkerGain - kFading * std::clamp<double>(speed.mDeviation,
                                                          -kMaxFadingDeviation,
                                                          kMaxFadingDeviation);
  speed.mDeviation += static_cast<float>(moved);
  pool.mSumOfLogs += moved;
  TierSpeed& tier = pool.At(speed.mTier);
  tier.mLogFactor += (speed.LogFactor() - tier.mLogFactor) * kTierGain;
  return UpdateTier(aWorker);
}

void
RunTimeModel::MoveKind(KindSpeed& aKind, double aBy)
{
  aKind.mLogFactor += aBy;
  aKind.mPool->mSumOfLogs += aBy * static_cast<double>(aKind.mWorkers);
}

bool
RunTimeModel::UpdateTier(WorkerSession& aWorker)
{
  WorkerSpeed& speed = aWorker.mSpeed;
  PoolSpeed& pool = *speed.mKind->mPool;
  if (speed.mKind->mEnds < kRunsBeforeTiers) {
    return false;
  }
  const double relative =
    speed.mKind->mLogFactor - pool.Mean() + WithoutSmallPart(speed.mDeviation);
  const double beyond = std::abs(relative - speed.mTier * kTierWidth);
  if (beyond <= kTierWidth / 2 + kTierHysteresis) {
    return false;
  }
  const double nearest = std::clamp(std::round(relative / kTierWidth),
                                    -static_cast<double>(kMaxSpeedTier),
                                    static_cast<double>(kMaxSpeedTier));
  const auto next = static_cast<SpeedTier>(nearest);
  if (next == speed.mTier) {
    return false;
  }
  --pool.At(speed.mTier).mWorkers;
  speed.mTier = next;
  TierSpeed& tier = pool.At(next);
  tier.mLogFactor = tier.mWorkers == 0 ? speed.LogFactor() : tier.mLogFactor;
  ++tier.mWorkers;
  return true;
}

double
RunTimeModel::FactorOf(const WorkerSession& aWorker)
{
  const WorkerSpeed& speed = aWorker.mSpeed;
  return speed.mKind == nullptr
           ? 1
           : std::exp(speed.LogFactor() - speed.mKind->mPool->Mean());
}

RunTimeModel::Milliseconds
RunTimeModel::ExpectedAt(const WorkerSession& aWorker, const Work& aWork) const
{
  const bool isOffRack = IsOffRack(aWorker, aWork);
  const Milliseconds onRack = ExpectedOnRack(aWorker, aWork);
  return isOffRack ? Scaled(onRack.count(), mLogSpreadFactor) : onRack;
}

RunTimeModel::Milliseconds
RunTimeModel::ExpectedOnRack(const WorkerSession& aWorker,
                             const Work& aWork) const
{
  const WorkerSpeed& speed = aWorker.mSpeed;
  if (speed.mKind == nullptr) {
    return Milliseconds(aWork.mEstimateMs);
  }
  return Scaled(aWork.mEstimateMs,
                LogFactorOf(aWork, *speed.mKind->mPool) + speed.LogFactor());
}

std::array<RunTimeModel::Milliseconds, kSpeedTiers>
RunTimeModel::ExpectedByTier(const PoolSpeed& aPool, const Work& aWork) const
{
  std::array<Milliseconds, kSpeedTiers> expected{};
  const double queue = LogFactorOf(aWork, aPool);
  for (std::size_t i = 0; i < kSpeedTiers; ++i) {
    const TierSpeed& tier = aPool.mTiers[i];
    expected[i] = tier.mWorkers == 0
                    ? Milliseconds(0)
                    : Scaled(aWork.mEstimateMs, queue + tier.mLogFactor);
  }
  return expected;
}

const PoolSpeed*
RunTimeModel::FindPool(const PoolName& aPool) const
{
  const auto pool = mPools.find(aPool);
  return pool == mPools.end() || pool->second.mWorkers == 0 ? nullptr
                                                            : &pool->second;
}

std::size_t
RunTimeModel::WorkersIn(SpeedTier aTier) const
{
  std::size_t workers = 0;
  for (const auto& [name, pool] : mPools) {
    workers += pool.At(aTier).mWorkers;
  }
  return workers;
}

}
