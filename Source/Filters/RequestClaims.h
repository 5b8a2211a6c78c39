#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "Base/Result.h"
#include "Transport/HttpMessage.h"

namespace almondspoke {

/** \brief A claim of this instance on an idempotency key. */
class RequestClaim
{
public:
  virtual ~RequestClaim() = default;

  /** Checks that the claim is valid; called immediately before each attempt is
   * sent. */
  virtual Result<void> CheckStart() = 0;

  /** Records the answer for later requests with the key. aDone is called once
   * the answer is stored durably or storing it failed; a failure does not
   * affect the caller's answer. */
  virtual void RecordAnswer(const HttpResponse& aResponse,
                            std::function<void()> aDone) = 0;

  /** Releases the claim. Only for work that certainly did not start. */
  virtual void Release() = 0;
};

/** \brief Result of claiming an idempotency key. */
struct ClaimResult
{
  enum class State
  {
    /** mClaim holds the key. */
    Won,
    /** mAnswer holds the answer recorded for the key. */
    Answered,
    /** Another request with the key is in progress. */
    InProgress
  };

  State mState = State::Won;
  std::shared_ptr<RequestClaim> mClaim;
  std::optional<HttpResponse> mAnswer;
};

/** \brief Claims idempotency keys of requests; thread-safe. */
class RequestClaims
{
public:
  using Done = std::function<void(Result<ClaimResult>)>;

  virtual ~RequestClaims() = default;

  /** Claims a key. After an error the work was not started by this call.
   * Errors include KeyConflict if the key belongs to a request with another
   * body. */
  virtual void Claim(const std::string& aKey,
                     std::uint64_t aBodyHash,
                     Done aDone) = 0;

  /** Repeats Claim() for a key that was in progress; claims it if the earlier
   * claim was released. */
  virtual void RetryClaim(const std::string& aKey,
                          std::uint64_t aBodyHash,
                          Done aDone)
  {
    Claim(aKey, aBodyHash, std::move(aDone));
  }
};

}
