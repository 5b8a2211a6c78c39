#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <utility>

#include "Base/ErrorKind.h"

namespace almondspoke {

/** \brief A failure: its kind, a human-readable message and, if a retry may
 * succeed, the time to wait before it. */
class Error
{
public:
  /** Creates an Internal error with an empty message. Result requires that
   * Error is default-constructible. */
  Error() = default;

  Error(ErrorKind aKind, std::string aMessage)
    : mKind(aKind)
    , mMessage(std::move(aMessage))
  {
  }

  Error(ErrorKind aKind,
        std::string aMessage,
        std::chrono::milliseconds aRetryAfter)
    : mKind(aKind)
    , mMessage(std::move(aMessage))
    , mRetryAfter(aRetryAfter)
  {
  }

  ErrorKind Kind() const { return mKind; }
  const std::string& Message() const { return mMessage; }
  const std::optional<std::chrono::milliseconds>& RetryAfter() const
  {
    return mRetryAfter;
  }
  const ErrorTraits& Traits() const { return ErrorTraitsOf(mKind); }

  /** Returns the error as the JSON body of an HTTP response. Invalid UTF-8 in
   * the message is replaced. */
  std::string ToJson() const;

private:
  ErrorKind mKind = ErrorKind::Internal;
  std::string mMessage;
  std::optional<std::chrono::milliseconds> mRetryAfter;
};

/** Parses a body written by Error::ToJson(). Returns std::nullopt if the body
 * has another form or the kind is unknown. */
std::optional<Error>
ErrorFromJson(const std::string& aBody);

}
