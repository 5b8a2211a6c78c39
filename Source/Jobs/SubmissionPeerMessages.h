#pragma once

#include <chrono>
#include <string>

#include "Jobs/SubmissionMessages.h"

namespace almondspoke {

/** Timeout of one call to a peer on behalf of a submission group. */
constexpr std::chrono::milliseconds kSubmissionPeerTimeout{ 2000 };

/** \brief Request of `submissions.lookup`. */
struct LookupRequest
{
  KeyHash mKey;
  std::uint32_t mKeyEpoch = 0;
};

/** \brief Request of `submissions.renew`. */
struct RenewRequest
{
  ExecutorEpoch mEpoch = 0;
  /** True if a member forwarded the request to the leader. It is then not
   * forwarded again. */
  bool mForwarded = false;
};

/** \brief Response of `submissions.renew`. */
struct RenewResponse
{
  std::uint64_t mDurationMs = 0;
  /** Members of an earlier version do not send it; it is then zero. */
  std::uint64_t mIdleDurationMs = 0;
};

std::string
Encode(const LookupRequest& aRequest);
std::string
Encode(const RenewRequest& aRequest);
std::string
Encode(const RenewResponse& aResponse);

/** Decodes a message of a peer. Error: MalformedRequest. */
Result<LookupRequest>
DecodeLookupRequest(const std::string& aBytes);
Result<RenewRequest>
DecodeRenewRequest(const std::string& aBytes);
Result<RenewResponse>
DecodeRenewResponse(const std::string& aBytes);

/** Encodes a grant as a RenewResponse. */
std::string
EncodeLeaseGrant(const LeaseGrant& aGrant);

/** Decodes the result of a call of `submissions.renew`. */
Result<LeaseGrant>
DecodeLeaseGrant(const Result<std::string>& aReply);

/** Returns the name of a PeerRpc method of the submission group of a data
 * centre. */
std::string
ProposeMethod(const DataCentreName& aHome);
std::string
LookupMethod(const DataCentreName& aHome);
std::string
RenewMethod(const DataCentreName& aHome);

}
