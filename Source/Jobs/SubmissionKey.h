#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "Base/InstanceIdentity.h"
#include "Base/KeyLimits.h"
#include "Base/Result.h"

namespace almondspoke {

class HomeDataCentres;

/** \brief 128-bit hash that identifies a key in the replicated state. */
struct KeyHash
{
  std::uint64_t mHigh = 0;
  std::uint64_t mLow = 0;

  bool operator==(const KeyHash& aOther) const
  {
    return mHigh == aOther.mHigh && mLow == aOther.mLow;
  }
};

/** \brief Hash function of KeyHash for standard containers. */
struct KeyHashHasher
{
  std::size_t operator()(const KeyHash& aHash) const noexcept
  {
    return aHash.mLow;
  }
};

/** \brief A parsed `Idempotency-Key`.
 *
 * Forms: `HOME:TEXT`, `HOME:@EPOCH-TEXT` or `TEXT`. HOME is the data centre
 * whose submission group stores the claim on the key. If the part before the
 * first colon is not a known data centre, the whole key is TEXT, and its hash
 * selects the home.
 *
 * `GET /v1/home` issues key epochs, which increase with time. They let the home
 * refuse an expired key without storing it. A plain key is one without a key
 * epoch; it has to be stored to be refused. */
class SubmissionKey
{
public:
  /** Parses a key. Errors: KeyRequired if it is empty, KeyInvalid if it is
   * longer than kMaxKeyBytes, has a character outside printable ASCII, or a
   * malformed key epoch. */
  static Result<SubmissionKey> Parse(std::string_view aText,
                                     const HomeDataCentres& aHomes);

  const std::string& Text() const { return mText; }
  const DataCentreName& Home() const { return mHome; }
  /** Key epoch; zero for a plain key. */
  std::uint32_t Epoch() const { return mEpoch; }
  KeyHash Hash() const { return mHash; }

private:
  std::string mText;
  DataCentreName mHome;
  std::uint32_t mEpoch = 0;
  KeyHash mHash;
};

/** Returns the prefix for new keys of a home, for example `zagreb:@17-`. */
std::string
KeyPrefix(const DataCentreName& aHome, std::uint32_t aEpoch);

/** Hashes the body of a submission. Used to detect that a key is reused with
 * another body. */
std::uint64_t
HashBody(std::string_view aBody);

}
