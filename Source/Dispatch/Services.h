#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "Base/Result.h"
#include "Dispatch/JobMessages.h"
#include "Dispatch/Manifest.h"
#include "Dispatch/WorkerReport.h"

namespace almondspoke::dispatch {

/** \brief Handles callers' requests. */
class JobService
{
public:
  using Done = std::function<void(const JobReply&)>;

  virtual ~JobService() = default;

  /** Executes a call.
   * \param aDone called exactly once */
  virtual void Call(JobCall aCall, Done aDone) = 0;

  /** Called if the caller of a submission closes its connection before the
   * reply. */
  virtual void OnCallerLeft(const CallerLeft& aLeft) = 0;

  /** Whether calls are likely to be served now. */
  virtual bool IsReady() const = 0;
};

/** \brief A data centre as operators see it. */
struct DataCentreStatus
{
  std::string mName;
  bool mIsEvacuated = false;
};

/** \brief Handles workers' reports and operators' requests. */
class ControlService
{
public:
  using ManifestDone =
    std::function<void(Result<std::shared_ptr<const Manifest>>)>;
  using DataCentresDone =
    std::function<void(Result<std::vector<DataCentreStatus>>)>;
  using Done = std::function<void(Result<void>)>;

  virtual ~ControlService() = default;

  virtual void Report(const WorkerReport& aReport) = 0;
  /** Called for a report that cannot be decoded.
   * \param aReason names the field that is missing or invalid */
  virtual void OnUnreadableReport(const WorkerId& aId,
                                  const std::string& aReason) = 0;
  /** Called if a worker says that it ends now. */
  virtual void OnWorkerLeft(const WorkerId& aId) = 0;

  /** Stores a manifest that CheckManifest() has accepted. Success means that
   * it, or a higher version, is in force. Errors: NoQuorum, OutcomeUnknown. */
  virtual void PutManifest(const Manifest& aManifest, Done aDone) = 0;
  /** Reads the newest manifest. Errors: NoQuorum if this instance cannot tell
   * which one that is; NotFound if none has been stored yet. */
  virtual void ReadManifest(ManifestDone aDone) = 0;

  /** Stores that nothing is started in a data centre, or that it is readmitted.
   * Success means that the request is stored. Errors: NotFound, with the known
   * data centres; NoQuorum, OutcomeUnknown, QueueFull. */
  virtual void SetEvacuated(const std::string& aDataCentre,
                            bool aIsEvacuated,
                            Done aDone) = 0;
  /** Reads the known data centres. Errors: NoQuorum if this instance cannot
   * tell which ones are evacuated. */
  virtual void ReadDataCentres(DataCentresDone aDone) = 0;
};

}
