#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "Base/Clock.h"
#include "Base/EventLog.h"
#include "Base/InstanceIdentity.h"
#include "Base/Result.h"
#include "Dispatch/WorkerDirectory.h"
#include "Dispatch/WorkerReportCheck.h"
#include "Transport/PeerRpc.h"

namespace almondspoke::dispatch {

/** \brief Replicates the worker directory between the coordinators.
 *
 * Reports that workers send to this instance are forwarded to the other
 * coordinators in batches. Reports that do not describe a usable worker are
 * counted and ignored, whoever sends them: a known worker is not replaced by a
 * boot of a pool that the manifest in force does not name. Not thread-safe. */
class ReportExchange
{
public:
  using TimePoint = Clock::Monotonic;
  using Observer = std::function<void(const WorkerReport&)>;
  /** Returns whether the manifest in force names a pool; true while there is no
   * manifest. */
  using PoolCheck = std::function<bool(const PoolName&)>;
  /** Number of ignored reports by ReportDefect. */
  using DefectCounts = std::array<std::uint64_t, kReportDefectNames.size()>;

  /** \param aObserver called with each report that changes the directory */
  ReportExchange(const Clock& aClock,
                 PeerRpc& aRpc,
                 EventLog& aLog,
                 WorkerDirectory& aDirectory,
                 InstanceName aSelf,
                 PoolCheck aIsPoolNamed,
                 Observer aObserver);

  /** Registers the RPC method; must be called before the transport starts. */
  void Register();

  /** Handles a report that a worker sent to this instance. */
  void OnReport(const WorkerReport& aReport);
  /** Counts a report that could not be decoded. */
  void OnUnreadableReport(const WorkerId& aId, const std::string& aReason);
  /** Handles the message of a worker to this instance that it ends now. */
  void OnWorkerLeft(const WorkerId& aId);

  /** Sets the coordinators to exchange reports with; this one is ignored. */
  void SetPeers(std::set<InstanceName> aPeers);

  /** Sends the collected reports if the batch interval is over. */
  void Tick();

  const DefectCounts& Defects() const { return mDefects; }

private:
  void OnReports(const std::string& aRequest, const PeerRpc::Done& aDone);
  void ApplyReports(const std::vector<WorkerReport>& aReports);
  /** Returns whether a report can be used; counts and logs it otherwise. */
  bool IsUsable(const WorkerReport& aReport);
  ReportDefect FindDefectOf(const WorkerReport& aReport) const;

  const Clock& mClock;
  PeerRpc& mRpc;
  EventLog& mLog;
  WorkerDirectory& mDirectory;
  const InstanceName mSelf;
  const PoolCheck mIsPoolNamed;
  const Observer mObserver;
  std::set<InstanceName> mPeers;
  std::vector<WorkerReport> mPendingReports;
  TimePoint mNextSendAt{};
  DefectCounts mDefects{};
};

}
