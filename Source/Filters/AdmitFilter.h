#pragma once

#include <atomic>
#include <cstddef>

#include "Filters/RequestFilter.h"

namespace almondspoke {

/** \brief Rejects requests until the rules are known, and limits the memory of
 * the requests in progress.
 *
 * Limits per kind and team, and expected wait times, are checked by the
 * scheduler, which owns the queue. */
class AdmitFilter : public RequestFilter
{
public:
  AdmitFilter(const RequestRules& aRules, std::size_t aMaxBytes);

  void Apply(RequestContextPtr aContext, Next aNext) override;

  /** Bytes that the admitted requests in progress count for. */
  std::size_t ReservedBytes() const { return *mReservedBytes; }

private:
  const RequestRules& mRules;
  const std::size_t mMaxBytes;
  std::shared_ptr<std::atomic<std::size_t>> mReservedBytes;
};

}
