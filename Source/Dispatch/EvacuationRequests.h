#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "Base/Clock.h"
#include "Base/EventLog.h"
#include "Base/Result.h"
#include "Dispatch/Evacuations.h"

namespace almondspoke::dispatch {

/** \brief Totals of the requests to evacuate or readmit a data centre. */
struct EvacuationCounters
{
  std::uint64_t mStored = 0;
  /** Requests with the name of an unknown data centre. */
  std::uint64_t mUnknown = 0;
  /** Requests that were not known to be stored in time. */
  std::uint64_t mNotStored = 0;
};

/** \brief Proposes operators' requests to evacuate or readmit a data centre to
 * the consensus group, until one copy is stored or the time is over.
 *
 * The answer is given after a second at most, so that an operator soon asks
 * another coordinator if this one cannot reach the leader. A copy that is
 * stored later has no effect once the data centre has changed again (see
 * Evacuations). Not thread-safe. */
class EvacuationRequests
{
public:
  using TimePoint = Clock::Monotonic;
  using Done = std::function<void(Result<void>)>;
  using ProposalDone = std::function<void(const Result<std::string>&)>;
  /** Proposes a command; calls back on the thread of this object. */
  using Propose = std::function<void(std::string aCommand, ProposalDone aDone)>;
  /** Returns the revision of the evacuations as known here. */
  using Revision = std::function<std::uint64_t()>;

  EvacuationRequests(const Clock& aClock,
                     EventLog& aLog,
                     Propose aPropose,
                     Revision aRevision);

  /** Stores a request.
   * \param aDone called exactly once. Errors: NoQuorum, OutcomeUnknown,
   *        QueueFull. */
  void Submit(const std::string& aDataCentre, bool aIsEvacuated, Done aDone);
  /** Records a request with the name of an unknown data centre. */
  void OnUnknown(const std::string& aDataCentre, bool aIsEvacuated);
  /** Processes timeouts. */
  void Tick();

  const EvacuationCounters& Counters() const { return mCounters; }

private:
  struct Request
  {
    EvacuationRecord mRecord;
    Done mDone;
    TimePoint mReceivedAt{};
    /** Time of the next proposal, unless one is pending. */
    std::optional<TimePoint> mProposeAt;
  };

  void SendProposal(std::uint64_t aId, Request& aRequest);
  void OnProposalDone(std::uint64_t aId, const Result<std::string>& aResult);
  void Finish(std::uint64_t aId, const Result<void>& aResult);

  const Clock& mClock;
  EventLog& mLog;
  const Propose mPropose;
  const Revision mRevision;
  std::map<std::uint64_t, Request> mOpen;
  std::uint64_t mNextId = 1;
  EvacuationCounters mCounters;
};

}
