#include "Dispatch/ReportExchange.h"

#include <utility>

#include "Base/MessagePack.h"
#include "Dispatch/JobMessages.h"

namespace almondspoke::dispatch {

namespace {

using std::chrono::milliseconds;

/** Reports are collected for so long before they are sent on. */
constexpr milliseconds kBatch{ 25 };
constexpr milliseconds kTimeout{ 500 };

/** \brief Reports on their way between two coordinators. */
struct ReportBatch
{
  std::vector<WorkerReport> mReports;
  MSGPACK_DEFINE(mReports)
};

}

ReportExchange::ReportExchange(const Clock& aClock,
                               PeerRpc& aRpc,
                               WorkerDirectory& aDirectory,
                               InstanceName aSelf,
                               Observer aObserver)
  : mClock(aClock)
  , mRpc(aRpc)
  , mDirectory(aDirectory)
  , mSelf(std::move(aSelf))
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
ReportExchange::Take(const WorkerReport& aReport)
{
  if (!mDirectory.Take(aReport, mClock.MonotonicNow())) {
    return;
  }
  mNews.push_back(aReport);
  mObserver(aReport);
}

void
ReportExchange::TakeLeft(const WorkerId& aId)
{
  const auto left = mDirectory.MarkLeft(aId, mClock.MonotonicNow());
  if (left) {
    mNews.push_back(*left);
    mObserver(*left);
  }
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
  if (mNews.empty() || now < mNextSend) {
    return;
  }
  mNextSend = now + kBatch;
  ReportBatch batch;
  batch.mReports.swap(mNews);
  const std::string packed = PackMessage(batch);
  for (const InstanceName& peer : mPeers) {
    mRpc.Call(
      peer, kReportsMethod, packed, kTimeout, [](const Result<std::string>&) {
        // The worker's next report makes up for a lost one.
      });
  }
}

void
ReportExchange::TakeNews(const std::vector<WorkerReport>& aReports)
{
  const TimePoint now = mClock.MonotonicNow();
  for (const WorkerReport& report : aReports) {
    if (mDirectory.Take(report, now)) {
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
  TakeNews(batch.value().mReports);
  aDone(std::string());
}

}
