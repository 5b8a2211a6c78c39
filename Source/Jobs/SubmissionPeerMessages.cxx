#include "Jobs/SubmissionPeerMessages.h"

#include <exception>

#include "Jobs/SubmissionPacking.h"

namespace almondspoke {

namespace {

template<typename Message>
Result<Message>
Unpack(const std::string& aBytes)
{
  try {
    return detail::UnpackBounded<Message>(aBytes);
  } catch (const std::exception& error) {
    return Error(ErrorKind::MalformedRequest,
                 std::string("malformed submission message: ") + error.what());
  }
}

}

std::string
Encode(const LookupRequest& aRequest)
{
  return PackMessage(aRequest);
}

std::string
Encode(const RenewRequest& aRequest)
{
  return PackMessage(aRequest);
}

std::string
Encode(const RenewResponse& aResponse)
{
  return PackMessage(aResponse);
}

Result<LookupRequest>
DecodeLookupRequest(const std::string& aBytes)
{
  return Unpack<LookupRequest>(aBytes);
}

Result<RenewRequest>
DecodeRenewRequest(const std::string& aBytes)
{
  return Unpack<RenewRequest>(aBytes);
}

Result<RenewResponse>
DecodeRenewResponse(const std::string& aBytes)
{
  return Unpack<RenewResponse>(aBytes);
}

std::string
EncodeLeaseGrant(const LeaseGrant& aGrant)
{
  RenewResponse response;
  response.mDurationMs = static_cast<std::uint64_t>(aGrant.mDuration.count());
  response.mIdleDurationMs =
    static_cast<std::uint64_t>(aGrant.mIdleDuration.count());
  return Encode(response);
}

Result<LeaseGrant>
DecodeLeaseGrant(const Result<std::string>& aReply)
{
  if (!aReply) {
    return aReply.error();
  }
  BOOST_OUTCOME_TRY(response, DecodeRenewResponse(aReply.value()));
  LeaseGrant grant;
  grant.mDuration = std::chrono::milliseconds(response.mDurationMs);
  grant.mIdleDuration = std::chrono::milliseconds(response.mIdleDurationMs);
  return grant;
}

std::string
ProposeMethod(const DataCentreName& aHome)
{
  return "submissions.propose/" + aHome;
}

std::string
LookupMethod(const DataCentreName& aHome)
{
  return "submissions.lookup/" + aHome;
}

std::string
RenewMethod(const DataCentreName& aHome)
{
  return "submissions.renew/" + aHome;
}

}
