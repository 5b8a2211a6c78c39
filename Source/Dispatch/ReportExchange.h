#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "Base/Clock.h"
#include "Base/InstanceIdentity.h"
#include "Base/Result.h"
#include "Dispatch/WorkerDirectory.h"
#include "Transport/PeerRpc.h"

namespace almondspoke::dispatch {

/** \brief Keeps the directories of workers of all coordinators alike.
 *
 * Reports that come in here go to the other coordinators in batches. Not
 * thread-safe. */
class ReportExchange
{
public:
  using TimePoint = Clock::Monotonic;
  using Observer = std::function<void(const WorkerReport&)>;

  /** \param aObserver called with each report that is news here */
  ReportExchange(const Clock& aClock,
                 PeerRpc& aRpc,
                 WorkerDirectory& aDirectory,
                 InstanceName aSelf,
                 Observer aObserver);

  /** Registers the methods; before the transport starts. */
  void Register();

  /** Takes a report that a worker sent to this instance. */
  void Take(const WorkerReport& aReport);
  /** A worker told this instance that it ends. */
  void TakeLeft(const WorkerId& aId);

  /** Coordinators to exchange with, this one left out. */
  void SetPeers(std::set<InstanceName> aPeers);

  void Tick();

private:
  void OnReports(const std::string& aRequest, const PeerRpc::Done& aDone);
  void TakeNews(const std::vector<WorkerReport>& aReports);

  const Clock& mClock;
  PeerRpc& mRpc;
  WorkerDirectory& mDirectory;
  const InstanceName mSelf;
  const Observer mObserver;
  std::set<InstanceName> mPeers;
  std::vector<WorkerReport> mNews;
  TimePoint mNextSend{};
};

}
