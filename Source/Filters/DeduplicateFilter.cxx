#include "Filters/DeduplicateFilter.h"

#include <utility>

#include <asio/steady_timer.hpp>
#include <xxhash.h>

namespace almondspoke {

namespace {

constexpr std::chrono::milliseconds kPollInterval{ 25 };
constexpr std::chrono::seconds kDefaultMaxWait{ 30 };

// Includes the service and path, so that a key reused with another target
// counts as a conflict.
std::uint64_t
HashOf(const RequestContext& aContext, const std::string& aBody)
{
  const std::string target = aContext.mService + aContext.mTarget;
  const XXH64_hash_t seed = XXH3_64bits(target.data(), target.size());
  return XXH3_64bits_withSeed(aBody.data(), aBody.size(), seed);
}

}

DeduplicateFilter::DeduplicateFilter(asio::io_context& aContext,
                                     const Clock& aClock,
                                     RequestClaims& aClaims,
                                     DecisionSink& aDecisions)
  : mContext(aContext)
  , mClock(aClock)
  , mClaims(aClaims)
  , mDecisions(aDecisions)
{
}

void
DeduplicateFilter::Apply(RequestContextPtr aContext, Next aNext)
{
  if (!aContext->mKey || aContext->mIdempotent) {
    aNext(std::move(aContext));
    return;
  }
  const std::uint64_t hash = HashOf(*aContext, aContext->Request().mBody);
  Claim(aContext, hash, aNext);
}

void
DeduplicateFilter::Claim(const RequestContextPtr& aContext,
                         std::uint64_t aBodyHash,
                         const Next& aNext)
{
  mClaims.Claim(
    *aContext->mKey, aBodyHash, MakeClaimHandler(aContext, aBodyHash, aNext));
}

RequestClaims::Done
DeduplicateFilter::MakeClaimHandler(const RequestContextPtr& aContext,
                                    std::uint64_t aBodyHash,
                                    const Next& aNext)
{
  return [this, aContext, aBodyHash, aNext](Result<ClaimResult> aResult) {
    if (aResult.has_error()) {
      aContext->Fail(aResult.error());
      return;
    }
    OnClaimed(aContext, aBodyHash, std::move(aResult.value()), aNext);
  };
}

void
DeduplicateFilter::OnClaimed(const RequestContextPtr& aContext,
                             std::uint64_t aBodyHash,
                             ClaimResult aResult,
                             const Next& aNext)
{
  switch (aResult.mState) {
    case ClaimResult::State::Won:
      AttachClaim(*aContext, std::move(aResult.mClaim));
      aNext(aContext);
      return;
    case ClaimResult::State::Answered:
      mDecisions.Record({ aContext->Id(),
                          "deduplicate",
                          { *aContext->mKey },
                          "recorded answer",
                          "the key was answered before",
                          0 });
      aContext->Answer(std::move(*aResult.mAnswer), Ran::Unknown);
      return;
    case ClaimResult::State::InProgress:
      PollClaim(aContext, aBodyHash, aNext);
      return;
  }
}

// Another request with the key is in progress; polls until it ends.
void
DeduplicateFilter::PollClaim(const RequestContextPtr& aContext,
                             std::uint64_t aBodyHash,
                             const Next& aNext)
{
  if (aContext->IsCallerDisconnected()) {
    aContext->Fail(Error(ErrorKind::OutcomeUnknown, "the caller disconnected"));
    return;
  }
  const auto maxWait = aContext->mDeclaredTimeout.value_or(kDefaultMaxWait);
  if (mClock.MonotonicNow() - aContext->Arrival() >= maxWait) {
    aContext->Fail(Error(ErrorKind::OutcomeUnknown,
                         "an earlier request with the key is in progress"));
    return;
  }
  auto timer = std::make_shared<asio::steady_timer>(mContext, kPollInterval);
  timer->async_wait([this, timer, aContext, aBodyHash, aNext](
                      const asio::error_code&) {
    mClaims.RetryClaim(
      *aContext->mKey, aBodyHash, MakeClaimHandler(aContext, aBodyHash, aNext));
  });
}

void
DeduplicateFilter::AttachClaim(RequestContext& aContext,
                               std::shared_ptr<RequestClaim> aClaim)
{
  aContext.mClaim = aClaim;
  aContext.AddAnswerHook(
    [claim = std::move(aClaim)](const HttpResponse& aResponse, Ran aRan) {
      if (aRan == Ran::No) {
        claim->Release();
      } else {
        claim->RecordAnswer(aResponse, [] {});
      }
    });
}

}
