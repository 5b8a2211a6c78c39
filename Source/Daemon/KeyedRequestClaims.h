#pragma once

#include <atomic>
#include <cstddef>
#include <memory>

#include "Filters/RequestClaims.h"

namespace almondspoke {

class ClaimService;
class HomeDataCentres;

/** \brief Claims idempotency keys of requests in the submission groups, so that
 * the work of a key starts at most once, on whichever instances it arrives and
 * across restarts. */
class KeyedRequestClaims : public RequestClaims
{
public:
  KeyedRequestClaims(const HomeDataCentres& aHomes, ClaimService& aClaims);
  ~KeyedRequestClaims() override;

  void Claim(const std::string& aKey,
             std::uint64_t aBodyHash,
             Done aDone) override;
  void RetryClaim(const std::string& aKey,
                  std::uint64_t aBodyHash,
                  Done aDone) override;

  /** Returns the number of answers that are being recorded. */
  std::size_t RecordsInProgress() const;

private:
  class WonClaim;

  /** \brief State that this object shares with its claims, which can outlive
   * it. */
  struct SharedState
  {
    std::atomic<ClaimService*> mClaims{ nullptr };
    std::atomic<std::size_t> mRecordsInProgress{ 0 };
  };

  const HomeDataCentres& mHomes;
  ClaimService& mClaims;
  std::shared_ptr<SharedState> mShared;
};

}
