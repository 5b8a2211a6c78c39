#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "Base/Clock.h"
#include "Transport/HttpMessage.h"

namespace almondspoke {

/** \brief Whether the endpoint may have run the request of a finished attempt.
 */
enum class TransferOutcome
{
  /** A complete response with any status, except for RefusedNotRun. */
  Answered,
  /** The endpoint refused with 503 and `Almondspoke-Not-Run: true`. */
  RefusedNotRun,
  /** No byte of the request has been sent. */
  NotSent,
  /** At least one byte may have been sent, but no complete response came. */
  MayHaveRun
};

/** Returns the name that is used in logs and metrics. */
std::string_view
NameOf(TransferOutcome aOutcome);

/** Header field of an endpoint that refused a request without running it. */
inline constexpr std::string_view kNotRunField = "Almondspoke-Not-Run";

/** Header fields in which a worker may report a task's resource usage: average
 * number of cores as a decimal number, and peak memory. */
inline constexpr std::string_view kUsedCoresField = "Almondspoke-Used-Cores";
inline constexpr std::string_view kUsedMemoryField =
  "Almondspoke-Used-Memory-Bytes";

/** \brief One request to one endpoint. */
struct HttpAttempt
{
  /** IP number and port. */
  std::string mAddress;
  std::string mMethod = "POST";
  std::string mTarget = "/";
  /** End-to-end fields, sent unchanged. */
  HttpFields mFields;
  /** Shared, so that a retry needs no copy. */
  std::shared_ptr<const std::string> mBody;
  Clock::Monotonic mDeadline;
  /** Sends on a new connection that is not reused. The endpoint can close a
   * pooled connection while the request is being written, and then it is
   * unknown whether the request has run. */
  bool mUseNewConnection = false;
  /** Connection limit of the endpoint; attempts beyond it are not sent. */
  std::size_t mMaxConnections = 64;
};

/** \brief How one attempt ended. */
struct AttemptResult
{
  TransferOutcome mOutcome = TransferOutcome::NotSent;
  /** Set if the outcome is Answered or RefusedNotRun. */
  HttpResponse mResponse;
  /** Kind of the error if there is no response. */
  ErrorKind mErrorKind = ErrorKind::Internal;
  std::string mMessage;
};

/** \brief Sends attempts to endpoints; thread-safe. */
class HttpClient
{
public:
  using AttemptId = std::uint64_t;
  using Done = std::function<void(AttemptResult)>;

  virtual ~HttpClient() = default;

  /** Starts an attempt. aDone is called exactly once, on a worker thread and
   * never from within this call. An attempt is never sent twice. */
  virtual AttemptId Start(HttpAttempt aAttempt, Done aDone) = 0;

  /** Ends an attempt early; its callback is still called. If the attempt was
   * sent, its connection is closed. */
  virtual void Cancel(AttemptId aAttempt) = 0;
};

}
