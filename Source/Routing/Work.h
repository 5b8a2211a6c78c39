#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "Base/Clock.h"
#include "Base/EnumNames.h"
#include "Base/Error.h"
#include "Membership/Endpoint.h"

namespace almondspoke {

/** Id of one piece of work, unique within a Scheduler. */
using WorkId = std::uint64_t;

/** Name of a kind of work, as in the rules. */
using KindName = std::string;

/** Name of a team, as in the quotas. */
using TeamName = std::string;

/** Urgency of work; level 0 is the most urgent. */
using UrgencyLevel = std::uint8_t;

/** Number of urgency levels. Higher values are treated as the last level. */
constexpr UrgencyLevel kUrgencyLevels = 8;

/** Asks the owner to stop an attempt that has not been answered for a long
 * time. The owner must still end the attempt with Complete(). Called without a
 * lock. */
using StopHandler = std::function<void(std::uint32_t aAttempt)>;

/** \brief A request that needs a slot of an endpoint. */
struct WorkItem
{
  /** Id of the request in the decision log. */
  std::string mRequestId;
  ServiceName mService;
  KindName mKind;
  /** Team whose quota is charged; empty for none. */
  TeamName mTeam;
  UrgencyLevel mUrgency = 0;
  /** True if the work may safely run more than once. */
  bool mIdempotent = false;
  /** True for work of another data centre. Such work starts immediately, within
   * the share of slots for it, or is refused; it is not retried. */
  bool mIsSpilled = false;
  /** Time after which the caller no longer waits for the answer. */
  Clock::Monotonic mDeadline;
  /** Run time declared by the caller, if any. */
  std::optional<std::chrono::microseconds> mDeclaredRunTime;
  /** Work without this handler is never stopped. */
  StopHandler mOnStop;
};

/** \brief An attempt that the owner of the connections must send now. */
struct Dispatch
{
  WorkId mId = 0;
  EndpointName mEndpoint;
  std::string mAddress;
  /** 1 for the first attempt. */
  std::uint32_t mAttempt = 1;
  /** Time by which the attempt must end. */
  Clock::Monotonic mDeadline;
  /** Maximum number of connections that this instance may open to the endpoint.
   */
  std::uint32_t mMaxConnections = 64;
};

/** \brief Outcome of one attempt. */
enum class AttemptOutcome
{
  /** The endpoint answered. An error that the service itself returns to its
   * caller also counts as an answer. */
  Succeeded,
  /** The endpoint answered with a server error (status 5xx). The answer is
   * passed to the caller but counts as a fault of the endpoint. */
  ErrorAnswered,
  /** The endpoint refused the request and reported that nothing ran. */
  Refused,
  /** No byte of the request was sent. */
  Unreachable,
  /** The endpoint failed; the work may have run. */
  Failed,
  /** No answer before the deadline of the attempt; the work may have run. */
  TimedOut,
  /** The connection was closed or stopped responding; the work may have run. */
  ConnectionLost,
  /** The caller abandoned the attempt, which says nothing about the endpoint.
   */
  Abandoned
};

/** \brief Effect of an outcome on retries and on the health of the endpoint. */
struct OutcomeTraits
{
  AttemptOutcome mOutcome;
  std::string_view mName;
  /** True if the work may have run. */
  bool mMayHaveRun;
  /** True if the outcome counts as a fault of the endpoint. */
  bool mIsFault;
  /** True if the answer of the endpoint is passed to the caller, so that there
   * is no retry. */
  bool mIsAnswer;
  /** Error returned to the caller if there is no retry. */
  ErrorKind mErrorKind;
};

const OutcomeTraits&
OutcomeTraitsOf(AttemptOutcome aOutcome);

/** Returns the error of work whose last attempt ended without an answer. */
Error
AttemptError(ErrorKind aKind,
             std::uint32_t aAttempt,
             const EndpointName& aEndpoint);

/** \brief What happens after the end of an attempt. */
enum class Completion
{
  /** The work is finished; the owner answers the caller. */
  Final,
  /** The work waits for a retry; a handler will be called. */
  Retrying,
  /** No such attempt is in progress. */
  Unknown
};

/** \brief Result of Scheduler::Complete(). */
struct CompletionResult
{
  Completion mNext = Completion::Unknown;
  /** Error for the caller if the work finished without an answer. It accounts
   * for all attempts, not only for the last one. */
  std::optional<Error> mError;
};

/** \brief Result of a cancellation. */
enum class Cancellation
{
  /** The work was waiting and was never sent. */
  NotStarted,
  /** The work was waiting for a retry; an earlier attempt may have run. */
  MayHaveRun,
  /** An attempt is in progress; its owner must still complete it. */
  Running,
  /** No such work. */
  Unknown
};

/** Sends an attempt. Called without a lock. */
using DispatchHandler = std::function<void(const Dispatch& aDispatch)>;

/** Called once, without a lock, if waiting work will not be sent (again). */
using RefuseHandler = std::function<void(const Error& aError)>;

}
