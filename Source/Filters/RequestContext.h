#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "Base/Clock.h"
#include "Base/InstanceIdentity.h"
#include "Filters/RequestClaims.h"
#include "Filters/RequestRules.h"
#include "Filters/RequestScheduler.h"
#include "Transport/HttpExchange.h"

namespace almondspoke {

/** \brief Origin of a request that another data centre forwarded. */
struct SpillOrigin
{
  DataCentreName mDataCentre;
  /** Id of the request in that data centre; empty if not given. */
  std::string mRequestId;
};

/** \brief State of a request while the filters process it.
 *
 * The filters run one at a time, so only the members that a disconnect of the
 * caller or a stopped attempt can access concurrently are synchronized. */
class RequestContext : public std::enable_shared_from_this<RequestContext>
{
public:
  /** Called with the answer before it is sent to the caller. */
  using AnswerHook = std::function<void(const HttpResponse&, Ran)>;

  RequestContext(HttpExchangePtr aExchange,
                 std::string aId,
                 Clock::Monotonic aArrival);
  RequestContext(const RequestContext&) = delete;
  RequestContext& operator=(const RequestContext&) = delete;
  /** Answers with an Internal error if no filter has answered. */
  ~RequestContext();

  const std::string& Id() const { return mId; }
  Clock::Monotonic Arrival() const { return mArrival; }
  HttpRequest& Request() { return mExchange->Request(); }

  /** Answers the caller; only the first answer counts.
   * \param aRan whether the work may have started */
  void Answer(HttpResponse aResponse, Ran aRan);

  /** Answers with an error; with OutcomeUnknown if an earlier attempt may have
   * run. */
  void Fail(const Error& aError);

  bool IsAnswered() const { return mAnswered; }

  /** Adds a hook; hooks run in the reverse order of their registration. */
  void AddAnswerHook(AnswerHook aHook);

  /** Sets the handler to call if the caller disconnects; called at once if it
   * already has. Replaces the previous handler. */
  void SetDisconnectHandler(std::function<void()> aHandler);
  bool IsCallerDisconnected() const { return mCallerDisconnected; }

  /** Sets the function that stops the given attempt early; replaces that of an
   * earlier attempt. */
  void SetAttemptStop(std::uint32_t aNumber, std::function<void()> aStop);
  /** Stops the given attempt early if it is the latest one. */
  void StopAttempt(std::uint32_t aNumber);

  /** Starts to watch for a disconnect of the caller. */
  void WatchCallerConnection();

  // Set by the identify filter.
  ServiceName mService;
  /** Request target that is sent to the endpoint. */
  std::string mTarget;
  std::string mKind;
  std::string mTeam;
  std::optional<std::string> mKey;
  std::optional<bool> mDeclaredIdempotent;
  std::optional<UrgencyLevel> mDeclaredUrgency;
  std::optional<std::chrono::milliseconds> mDeclaredTimeout;
  /** Set if another data centre forwarded the request. */
  std::optional<SpillOrigin> mSpillOrigin;
  RequestPolicy mPolicy;
  /** Version of the rules that the policy comes from. */
  std::optional<std::uint64_t> mRulesVersion;
  bool mIdempotent = false;

  // Set by the deduplicate filter.
  std::shared_ptr<RequestClaim> mClaim;

  // Set by the classify filter.
  UrgencyLevel mUrgency = kUrgencyNormal;
  Clock::Monotonic mDeadline;
  /** End-to-end header fields to send to endpoints. */
  HttpFields mForwardFields;
  std::shared_ptr<const std::string> mBody;

  // Set by the queue filter for each attempt.
  RequestScheduler::Ticket mTicket = 0;
  ScheduledAttempt mAttempt;

  // Set by the forward filter.
  AttemptResult mResult;
  /** True once an attempt may have run the work. */
  std::atomic<bool> mMayHaveRun{ false };

private:
  HttpExchangePtr mExchange;
  const std::string mId;
  const Clock::Monotonic mArrival;
  std::atomic<bool> mAnswered{ false };
  std::atomic<bool> mCallerDisconnected{ false };
  std::mutex mMutex;
  std::function<void()> mDisconnectHandler;
  std::uint32_t mStoppableAttempt = 0;
  std::function<void()> mAttemptStop;
  std::vector<AnswerHook> mAnswerHooks;
};

using RequestContextPtr = std::shared_ptr<RequestContext>;

}
