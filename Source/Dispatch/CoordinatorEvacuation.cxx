// Evacuation of data centres: nothing is started there, runs continue.
#include "Dispatch/Coordinator.h"

#include <algorithm>
#include <iterator>

namespace almondspoke::dispatch {

std::vector<WorkerSession*>
Coordinator::WorkersIn(const DataCentreNames& aNames)
{
  std::vector<WorkerSession*> workers;
  for (auto& [id, worker] : mWorkers) {
    if (aNames.count(worker.Report().mDataCentre) != 0) {
      workers.push_back(&worker);
    }
  }
  return workers;
}

// Called for an operator's request and when leadership begins, so that it may
// iterate over all workers.
void
Coordinator::SetEvacuated(const DataCentreNames& aNames)
{
  DataCentreNames changed;
  std::set_symmetric_difference(mEvacuated.begin(),
                                mEvacuated.end(),
                                aNames.begin(),
                                aNames.end(),
                                std::inserter(changed, changed.end()));
  if (changed.empty()) {
    return;
  }
  const TimePoint now = mClock.MonotonicNow();
  const std::vector<WorkerSession*> workers = WorkersIn(changed);
  for (WorkerSession* worker : workers) {
    mIndex.Remove(*worker);
  }
  mEvacuated = aNames;
  mIndex.SetEvacuated(aNames);
  for (WorkerSession* worker : workers) {
    mIndex.Add(*worker);
    CountUsableCores(*worker, now);
  }
  if (mLeading) {
    std::for_each(changed.begin(), changed.end(), [this](const auto& aName) {
      LogEvacuation(aName);
    });
  }
}

void
Coordinator::LogEvacuation(const std::string& aDataCentre)
{
  std::uint64_t runs = 0;
  const std::vector<WorkerSession*> workers = WorkersIn({ aDataCentre });
  for (const WorkerSession* worker : workers) {
    runs += worker->Runs().size();
  }
  std::uint64_t usableMilliCores = 0;
  for (const auto& [pool, milliCores] : mUsableMilliCores) {
    usableMilliCores += milliCores;
  }
  const bool isEvacuated = mEvacuated.count(aDataCentre) != 0;
  EventLine(mLog, "evacuation-in-force")
    .With("data_centre", aDataCentre)
    .With("evacuated", isEvacuated)
    .With("last", isEvacuated && usableMilliCores == 0)
    .With("workers", std::uint64_t{ workers.size() })
    .With("runs", runs)
    .With("usable_mcores", usableMilliCores);
}

}
