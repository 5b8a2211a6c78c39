#include "Daemon/KeyedRequestClaims.h"

#include <tuple>
#include <utility>
#include <vector>

#include <msgpack.hpp>

#include "Jobs/ClaimService.h"

namespace almondspoke {

namespace {

using RecordedField = std::pair<std::string, std::string>;
using RecordedResponse =
  std::tuple<int, std::vector<RecordedField>, std::string>;

std::string
EncodeResponse(const HttpResponse& aResponse)
{
  std::vector<RecordedField> fields;
  for (const HttpField& field : aResponse.mFields) {
    fields.emplace_back(field.mName, field.mValue);
  }
  msgpack::sbuffer buffer;
  msgpack::pack(buffer,
                RecordedResponse(aResponse.mStatus, fields, aResponse.mBody));
  return { buffer.data(), buffer.size() };
}

Result<HttpResponse>
DecodeResponse(const std::string& aRecord)
{
  try {
    const auto handle = msgpack::unpack(aRecord.data(), aRecord.size());
    const auto [status, fields, body] = handle.get().as<RecordedResponse>();
    HttpResponse response;
    response.mStatus = status;
    response.mBody = body;
    for (const auto& [name, value] : fields) {
      response.mFields.push_back({ name, value });
    }
    return response;
  } catch (const msgpack::unpack_error&) {
  } catch (const msgpack::type_error&) {
  }
  return Error(ErrorKind::KeyConflict,
               "Idempotency-Key was used before for a job");
}

}

/** \brief A claim won in a submission group. */
class KeyedRequestClaims::WonClaim : public RequestClaim
{
public:
  WonClaim(std::shared_ptr<SharedState> aShared, ClaimTicket aTicket)
    : mShared(std::move(aShared))
    , mTicket(std::move(aTicket))
  {
  }

  Result<void> CheckStart() override
  {
    const ClaimService* claims = mShared->mClaims;
    if (claims == nullptr) {
      return Error(ErrorKind::LeaseExpired, "the instance is shutting down");
    }
    BOOST_OUTCOME_TRYV(claims->CheckStart(mTicket));
    return Success();
  }

  void RecordAnswer(const HttpResponse& aResponse,
                    std::function<void()> aDone) override
  {
    ClaimService* claims = mShared->mClaims;
    if (claims == nullptr) {
      aDone();
      return;
    }
    ++mShared->mRecordsInProgress;
    claims->RecordAnswer(
      mTicket,
      EncodeResponse(aResponse),
      [shared = mShared, done = std::move(aDone)](const Result<void>&) {
        --shared->mRecordsInProgress;
        done();
      });
  }

  void Release() override
  {
    if (ClaimService* claims = mShared->mClaims) {
      claims->Release(mTicket);
    }
  }

private:
  const std::shared_ptr<SharedState> mShared;
  const ClaimTicket mTicket;
};

KeyedRequestClaims::KeyedRequestClaims(const HomeDataCentres& aHomes,
                                       ClaimService& aClaims)
  : mHomes(aHomes)
  , mClaims(aClaims)
  , mShared(std::make_shared<SharedState>())
{
  mShared->mClaims = &mClaims;
}

KeyedRequestClaims::~KeyedRequestClaims()
{
  mShared->mClaims = nullptr;
}

void
KeyedRequestClaims::Claim(const std::string& aKey,
                          std::uint64_t aBodyHash,
                          Done aDone)
{
  const Result<SubmissionKey> key = SubmissionKey::Parse(aKey, mHomes);
  if (!key) {
    aDone(key.error());
    return;
  }
  mClaims.Claim(
    key.value(),
    aBodyHash,
    WorkKind::Request,
    [shared = mShared, done = std::move(aDone)](Result<ClaimStatus> aStatus) {
      if (!aStatus) {
        done(aStatus.error());
        return;
      }
      ClaimResult result;
      if (aStatus.value().mState == ClaimStatus::State::Won) {
        result.mClaim = std::make_shared<WonClaim>(
          shared, std::move(aStatus.value().mTicket));
      } else if (aStatus.value().mState == ClaimStatus::State::InProgress) {
        result.mState = ClaimResult::State::InProgress;
      } else {
        Result<HttpResponse> answer = DecodeResponse(aStatus.value().mAnswer);
        if (!answer) {
          done(answer.error());
          return;
        }
        result.mState = ClaimResult::State::Answered;
        result.mAnswer = std::move(answer.value());
      }
      done(std::move(result));
    });
}

// Looks the key up first: unlike a claim, a lookup does not write to the
// group's journal.
void
KeyedRequestClaims::RetryClaim(const std::string& aKey,
                               std::uint64_t aBodyHash,
                               Done aDone)
{
  const Result<SubmissionKey> key = SubmissionKey::Parse(aKey, mHomes);
  if (!key) {
    aDone(key.error());
    return;
  }
  mClaims.Lookup(key.value(),
                 [this, aKey, aBodyHash, done = std::move(aDone)](
                   const Result<ClaimStatus>& aStatus) {
                   if (aStatus && aStatus.value().mState ==
                                    ClaimStatus::State::InProgress) {
                     ClaimResult result;
                     result.mState = ClaimResult::State::InProgress;
                     done(std::move(result));
                     return;
                   }
                   Claim(aKey, aBodyHash, done);
                 });
}

std::size_t
KeyedRequestClaims::RecordsInProgress() const
{
  return mShared->mRecordsInProgress;
}

}
