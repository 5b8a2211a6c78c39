// Workers' reports and operators' requests.
#include "Dispatch/CoordinatorNode.h"

#include <utility>

#include <asio/post.hpp>

namespace almondspoke::dispatch {

void
CoordinatorNode::Report(const WorkerReport& aReport)
{
  mReportExchange.OnReport(aReport);
}

void
CoordinatorNode::OnUnreadableReport(const WorkerId& aId,
                                    const std::string& aReason)
{
  mReportExchange.OnUnreadableReport(aId, aReason);
}

void
CoordinatorNode::OnWorkerLeft(const WorkerId& aId)
{
  mReportExchange.OnWorkerLeft(aId);
}

void
CoordinatorNode::PutManifest(const Manifest& aManifest,
                             ControlService::Done aDone)
{
  EventLine(mLog, "manifest-received")
    .With("version", aManifest.mVersion)
    .With("queues", std::uint64_t{ aManifest.mQueues.size() });
  mGroup->Propose(
    DispatchStateMachine::CommandOf(aManifest),
    [this, version = aManifest.mVersion, done = std::move(aDone)](
      Result<std::string> aResult) {
      asio::post(mContext, [this, version, done, result = std::move(aResult)] {
        EventLine(mLog, "manifest-answered")
          .With("version", version)
          .With("stored", result.has_value())
          .With("reason", result ? "" : result.error().Message());
        if (result) {
          done(Success());
          return;
        }
        done(result.error());
      });
    });
}

void
CoordinatorNode::ReadManifest(ManifestDone aDone)
{
  mGroup->Barrier([this, done = std::move(aDone)](const Result<void>& aPassed) {
    asio::post(mContext, [this, done, aPassed] {
      if (!aPassed) {
        done(aPassed.error());
        return;
      }
      const std::shared_ptr<const Manifest> manifest =
        mStateMachine.CurrentManifest();
      if (!manifest) {
        done(Error(ErrorKind::NotFound, "no manifest has been stored yet"));
        return;
      }
      done(manifest);
    });
  });
}

DataCentreNames
CoordinatorNode::KnownDataCentres() const
{
  DataCentreNames names = mDataCentres.All();
  names.merge(mStateMachine.CurrentEvacuations().Evacuated());
  return names;
}

void
CoordinatorNode::SetEvacuated(const std::string& aDataCentre,
                              bool aIsEvacuated,
                              ControlService::Done aDone)
{
  const DataCentreNames known = KnownDataCentres();
  const bool isKnown =
    known.count(aDataCentre) != 0 ||
    mStateMachine.CurrentEvacuations().IsMentioned(aDataCentre);
  if (isKnown) {
    mEvacuationRequests.Submit(aDataCentre, aIsEvacuated, std::move(aDone));
    return;
  }
  mEvacuationRequests.OnUnknown(aDataCentre, aIsEvacuated);
  std::string names;
  for (const std::string& name : known) {
    names += (names.empty() ? "" : ", ") + name;
  }
  aDone(Error(ErrorKind::NotFound,
              "no data centre '" + aDataCentre + "' is known (known: " + names +
                ")"));
}

void
CoordinatorNode::ReadDataCentres(DataCentresDone aDone)
{
  mGroup->Barrier([this, done = std::move(aDone)](const Result<void>& aPassed) {
    asio::post(mContext, [this, done, aPassed] {
      if (!aPassed) {
        done(aPassed.error());
        return;
      }
      const Evacuations evacuations = mStateMachine.CurrentEvacuations();
      std::vector<DataCentreStatus> list;
      for (const std::string& name : KnownDataCentres()) {
        list.push_back({ name, evacuations.IsEvacuated(name) });
      }
      done(list);
    });
  });
}

std::size_t
CoordinatorNode::EvacuatedCount() const
{
  return mStateMachine.CurrentEvacuations().Evacuated().size();
}

std::uint64_t
CoordinatorNode::ManifestVersion() const
{
  const std::shared_ptr<const Manifest> manifest =
    mStateMachine.CurrentManifest();
  return manifest ? manifest->mVersion : 0;
}

}
