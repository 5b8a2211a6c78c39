#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "Base/Clock.h"
#include "Base/Result.h"
#include "Filters/RequestRules.h"
#include "Membership/Endpoint.h"
#include "Transport/HttpClient.h"

namespace almondspoke {

/** \brief A request as submitted to the scheduler. */
struct ScheduledRequest
{
  std::string mRequestId;
  ServiceName mService;
  std::string mKind;
  std::string mTeam;
  UrgencyLevel mUrgency = kUrgencyNormal;
  /** True if the work may be run more than once. */
  bool mIdempotent = false;
  Clock::Monotonic mDeadline;
  /** True for a request that another data centre forwarded. It is started at
   * once, within the share of such requests, or refused. */
  bool mIsSpilled = false;
  /** Requests an early stop of the given attempt, which must still be ended
   * with Finish(). Called without locks held. */
  std::function<void(std::uint32_t aNumber)> mStop;
};

/** \brief An attempt to send to an endpoint. */
struct ScheduledAttempt
{
  EndpointName mEndpoint;
  std::string mAddress;
  std::uint32_t mMaxConnections = 64;
  /** 1 for the first attempt. */
  std::uint32_t mNumber = 1;
  Clock::Monotonic mDeadline;
};

/** \brief Result of an attempt, as reported to the scheduler. */
struct AttemptReport
{
  TransferOutcome mOutcome = TransferOutcome::NotSent;
  /** Status of the answer; zero if there was none. */
  int mStatus = 0;
  /** Error of an attempt without an answer. */
  ErrorKind mErrorKind = ErrorKind::Internal;
  std::chrono::microseconds mElapsed{ 0 };
  /** True if the attempt was not sent. It does not count for or against the
   * endpoint, and no other attempt follows. */
  bool mAbandoned = false;
};

/** \brief Queues requests and picks the endpoint of each attempt.
 *
 * Handlers are called without locks held. Thread-safe. */
class RequestScheduler
{
public:
  using Ticket = std::uint64_t;
  using DispatchHandler =
    std::function<void(Ticket aTicket, const ScheduledAttempt& aAttempt)>;
  using RefuseHandler = std::function<void(const Error& aError)>;

  virtual ~RequestScheduler() = default;

  /** True if a live endpoint of the service is known. */
  virtual bool HasEndpoint(const ServiceName& aService) const = 0;

  /** Submits a request. On an error the request is refused: no handler is
   * called and nothing has run. The scheduler records its refusals as
   * decisions. Otherwise aDispatch is called for each attempt, possibly before
   * Submit() returns, and aRefuse at most once, if the request stops waiting
   * without another attempt.
   */
  virtual Result<Ticket> Submit(ScheduledRequest aRequest,
                                DispatchHandler aDispatch,
                                RefuseHandler aRefuse) = 0;

  /** Cancels a request that is waiting for its first or a later attempt.
   * \return true if it was waiting; no handler is called for it afterwards */
  virtual bool Cancel(Ticket aTicket) = 0;

  /** Ends an attempt; not to be called from within a DispatchHandler.
   * \return true if another attempt follows. */
  virtual bool Finish(Ticket aTicket, const AttemptReport& aReport) = 0;
};

}
