#include "Dispatch/ReportExchange.h"

#include <utility>

#include "Base/MessagePack.h"
#include "Dispatch/JobMessages.h"

namespace almondspoke::dispatch {

namespace {

using std::chrono::milliseconds;

/** Shortest time between two batches to the other coordinators. */
constexpr milliseconds kBatchInterval{ 25 };
constexpr milliseconds kSendTimeout{ 500 };

/** \brief Reports that are sent to another coordinator in one message. */
struct ReportBatch
{
  std::vector<WorkerReport> mReports;
  MSGPACK_DEFINE(mReports)
};

}

ReportExchange::ReportExchange(const Clock& aClock,
                               PeerRpc& aRpc,
                               EventLog& aLog,
                               WorkerDirectory& aDirectory,
                               InstanceName aSelf,
                               PoolCheck aIsPoolNamed,
                               Observer aObserver)
  : mClock(aClock)
  , mRpc(aRpc)
  , mLog(aLog)
  , mDirectory(aDirectory)
  , mSelf(std::move(aSelf))
  , mIsPoolNamed(std::move(aIsPoolNamed))
  , mObserver(std::move(aObserver))
{
}

void
ReportExchange::Register()
{
  mRpc.Register(
    kReportsMethod,
    [this](const InstanceName&,
           const std::string& aRequest,
           const PeerRpc::Done& aDone) { OnReports(aRequest, aDone); });
}

void
ReportExchange::OnReport(const WorkerReport& aReport)
{
  if (!IsUsable(aReport) ||
      !mDirectory.Update(aReport, mClock.MonotonicNow())) {
    return;
  }
  mPendingReports.push_back(aReport);
  mObserver(aReport);
}

void
ReportExchange::OnWorkerLeft(const WorkerId& aId)
{
  const auto left = mDirectory.MarkLeft(aId, mClock.MonotonicNow());
  if (left) {
    mPendingReports.push_back(*left);
    mObserver(*left);
  }
}

// A boot that is known goes on reporting after the manifest has removed its
// pool: it may have runs, and drains.
ReportDefect
ReportExchange::FindDefectOf(const WorkerReport& aReport) const
{
  const ReportDefect defect = FindDefect(aReport, mClock.WallNow());
  if (defect != ReportDefect::None || mIsPoolNamed(aReport.mPool)) {
    return defect;
  }
  const WorkerReport* known = mDirectory.Find(aReport.mBoot.mId);
  const bool isKnown = known != nullptr && known->mBoot == aReport.mBoot &&
                       known->mPool == aReport.mPool;
  return isKnown ? ReportDefect::None : ReportDefect::UnknownPool;
}

bool
ReportExchange::IsUsable(const WorkerReport& aReport)
{
  const ReportDefect defect = FindDefectOf(aReport);
  if (defect == ReportDefect::None) {
    return true;
  }
  ++mDefects[static_cast<std::size_t>(defect)];
  EventLine(mLog, "report-ignored")
    .With("worker", aReport.mBoot.mId)
    .With("defect", NameOf(defect))
    .With("pool", aReport.mPool)
    .With("address", aReport.mAddress)
    .With("born", aReport.mBoot.mStartTimeMs);
  return false;
}

void
ReportExchange::OnUnreadableReport(const WorkerId& aId,
                                   const std::string& aReason)
{
  ++mDefects[static_cast<std::size_t>(ReportDefect::Unreadable)];
  EventLine(mLog, "report-unreadable")
    .With("worker", aId)
    .With("reason", aReason);
}

void
ReportExchange::SetPeers(std::set<InstanceName> aPeers)
{
  aPeers.erase(mSelf);
  mPeers = std::move(aPeers);
}

void
ReportExchange::Tick()
{
  const TimePoint now = mClock.MonotonicNow();
  if (mPendingReports.empty() || now < mNextSendAt) {
    return;
  }
  mNextSendAt = now + kBatchInterval;
  ReportBatch batch;
  batch.mReports.swap(mPendingReports);
  const std::string packed = PackMessage(batch);
  for (const InstanceName& peer : mPeers) {
    mRpc.Call(peer,
              kReportsMethod,
              packed,
              kSendTimeout,
              [](const Result<std::string>&) {
                // A lost report is superseded by the next one of the worker.
              });
  }
}

void
ReportExchange::ApplyReports(const std::vector<WorkerReport>& aReports)
{
  const TimePoint now = mClock.MonotonicNow();
  for (const WorkerReport& report : aReports) {
    if (IsUsable(report) && mDirectory.Update(report, now)) {
      mObserver(report);
    }
  }
}

void
ReportExchange::OnReports(const std::string& aRequest,
                          const PeerRpc::Done& aDone)
{
  const Result<ReportBatch> batch = UnpackMessage<ReportBatch>(aRequest);
  if (!batch) {
    aDone(batch.error());
    return;
  }
  ApplyReports(batch.value().mReports);
  aDone(std::string());
}

}
