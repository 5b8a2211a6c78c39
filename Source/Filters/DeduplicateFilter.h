#pragma once

#include <asio/io_context.hpp>

#include "Base/Clock.h"
#include "Base/Decision.h"
#include "Filters/RequestFilter.h"

namespace almondspoke {

/** \brief Claims the idempotency key of non-idempotent requests, so that the
 * work for each key starts at most once. Later requests with the key get the
 * recorded answer. */
class DeduplicateFilter : public RequestFilter
{
public:
  DeduplicateFilter(asio::io_context& aContext,
                    const Clock& aClock,
                    RequestClaims& aClaims,
                    DecisionSink& aDecisions);

  void Apply(RequestContextPtr aContext, Next aNext) override;

private:
  void Claim(const RequestContextPtr& aContext,
             std::uint64_t aBodyHash,
             const Next& aNext);
  RequestClaims::Done MakeClaimHandler(const RequestContextPtr& aContext,
                                       std::uint64_t aBodyHash,
                                       const Next& aNext);
  void OnClaimed(const RequestContextPtr& aContext,
                 std::uint64_t aBodyHash,
                 ClaimResult aResult,
                 const Next& aNext);
  void PollClaim(const RequestContextPtr& aContext,
                 std::uint64_t aBodyHash,
                 const Next& aNext);
  void AttachClaim(RequestContext& aContext,
                   std::shared_ptr<RequestClaim> aClaim);

  asio::io_context& mContext;
  const Clock& mClock;
  RequestClaims& mClaims;
  DecisionSink& mDecisions;
};

}
