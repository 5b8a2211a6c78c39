#pragma once

#include <functional>
#include <memory>

#include "Base/Result.h"
#include "Dispatch/JobMessages.h"
#include "Dispatch/Manifest.h"
#include "Dispatch/WorkerReport.h"

namespace almondspoke::dispatch {

/** \brief What callers' requests are answered by. */
class JobService
{
public:
  using Done = std::function<void(const JobReply&)>;

  virtual ~JobService() = default;

  /** Carries out a call. \param aDone called exactly once */
  virtual void Call(JobCall aCall, Done aDone) = 0;

  /** The caller of a submission has closed its connection unanswered. */
  virtual void OnCallerLeft(const CallerLeft& aLeft) = 0;

  /** Whether calls can be expected to be served. */
  virtual bool IsReady() const = 0;
};

/** \brief What workers' reports and operators' requests are answered by. */
class ControlService
{
public:
  using ManifestDone =
    std::function<void(Result<std::shared_ptr<const Manifest>>)>;
  using Done = std::function<void(Result<void>)>;

  virtual ~ControlService() = default;

  virtual void Report(const WorkerReport& aReport) = 0;
  /** A worker says that it ends now. */
  virtual void OnWorkerLeft(const WorkerId& aId) = 0;

  /** Stores a manifest that has been checked. Success means that it, or a
   * higher version, is in force. Errors: NoQuorum, OutcomeUnknown. */
  virtual void PutManifest(const Manifest& aManifest, Done aDone) = 0;
  /** Reads the newest manifest. Errors: NoQuorum where this instance cannot be
   * sure which one that is; NotFound before the first. */
  virtual void ReadManifest(ManifestDone aDone) = 0;
};

}
