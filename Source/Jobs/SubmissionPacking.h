#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include <msgpack.hpp>

#include "Base/MessagePack.h"
#include "Jobs/SubmissionMessages.h"
#include "Jobs/SubmissionPeerMessages.h"

namespace almondspoke::detail {

/** \brief Output buffer for msgpack::pack() that writes to a std::string. */
struct StringBuffer
{
  std::string mBytes;

  // msgpack requires this name.
  // NOLINTNEXTLINE(readability-identifier-naming)
  void write(const char* aData, std::size_t aSize)
  {
    mBytes.append(aData, aSize);
  }
};

/** Limits for unpacking a message. The only arrays are messages packed as
 * their members, so a few members and levels are enough. */
constexpr UnpackLimits kMessageUnpackLimits{ 16, 4 };

/** Unpacks the message at aOffset and advances aOffset past it. Throws
 * msgpack::unpack_error and msgpack::type_error. */
template<typename Message>
Message
UnpackBounded(std::string_view aBytes, std::size_t& aOffset)
{
  return UnpackValue<Message>(aBytes, aOffset, kMessageUnpackLimits);
}

/** Unpacks the message at the start of aBytes. */
template<typename Message>
Message
UnpackBounded(std::string_view aBytes)
{
  std::size_t offset = 0;
  return UnpackBounded<Message>(aBytes, offset);
}

}

// MessagePack representation: each message is an array of its members in the
// order given here.
MSGPACK_ADD_ENUM(almondspoke::WorkKind)
MSGPACK_ADD_ENUM(almondspoke::ClaimOutcome)

namespace msgpack {
MSGPACK_API_VERSION_NAMESPACE(MSGPACK_DEFAULT_API_NS)
{
  namespace adaptor {

/** \brief Packs and unpacks a message as the array of its members. */
#define ALMONDSPOKE_PACK_AS_ARRAY(Type, ...)                                   \
  template<>                                                                   \
  struct pack<Type>                                                            \
  {                                                                            \
    template<typename Stream>                                                  \
    packer<Stream>& operator()(packer<Stream>& aPacker, const Type& m) const   \
    {                                                                          \
      msgpack::type::make_define_array(__VA_ARGS__).msgpack_pack(aPacker);     \
      return aPacker;                                                          \
    }                                                                          \
  };                                                                           \
  template<>                                                                   \
  struct convert<Type>                                                         \
  {                                                                            \
    const msgpack::object& operator()(const msgpack::object& aObject,          \
                                      Type& m) const                           \
    {                                                                          \
      auto members = msgpack::type::make_define_array(__VA_ARGS__);            \
      members.msgpack_unpack(aObject);                                         \
      return aObject;                                                          \
    }                                                                          \
  };

  ALMONDSPOKE_PACK_AS_ARRAY(almondspoke::KeyHash, m.mHigh, m.mLow)
  ALMONDSPOKE_PACK_AS_ARRAY(almondspoke::SubmissionLimits,
                            m.mMaxClaims,
                            m.mMaxPlainKeys,
                            m.mRetentionMs,
                            m.mPlainKeyRefusalMs,
                            m.mMaxAnswerBytes,
                            m.mMaxTotalAnswerBytes)
  ALMONDSPOKE_PACK_AS_ARRAY(almondspoke::RegisterExecutorCommand,
                            m.mInstance,
                            m.mNonce)
  ALMONDSPOKE_PACK_AS_ARRAY(almondspoke::ClaimCommand,
                            m.mKey,
                            m.mKeyEpoch,
                            m.mBodyHash,
                            m.mKind,
                            m.mClaimant,
                            m.mExecutor)
  ALMONDSPOKE_PACK_AS_ARRAY(almondspoke::RecordAnswerCommand,
                            m.mKey,
                            m.mExecutor,
                            m.mIncludesAnswer,
                            m.mAnswer)
  ALMONDSPOKE_PACK_AS_ARRAY(almondspoke::ReleaseClaimCommand,
                            m.mKey,
                            m.mKeyEpoch,
                            m.mClaimant)
  ALMONDSPOKE_PACK_AS_ARRAY(almondspoke::ExecutorLostCommand, m.mExecutor)
  ALMONDSPOKE_PACK_AS_ARRAY(almondspoke::AdvanceClockCommand,
                            m.mElapsedMs,
                            m.mLimits)
  ALMONDSPOKE_PACK_AS_ARRAY(almondspoke::ClaimResponse,
                            m.mOutcome,
                            m.mExecutor,
                            m.mAnswer,
                            m.mCurrentKeyEpoch)
  ALMONDSPOKE_PACK_AS_ARRAY(almondspoke::RegisterExecutorResponse, m.mEpoch)
  ALMONDSPOKE_PACK_AS_ARRAY(almondspoke::LookupRequest, m.mKey, m.mKeyEpoch)
  ALMONDSPOKE_PACK_AS_ARRAY(almondspoke::RenewRequest, m.mEpoch, m.mForwarded)
  ALMONDSPOKE_PACK_AS_ARRAY(almondspoke::RenewResponse,
                            m.mDurationMs,
                            m.mIdleDurationMs)

#undef ALMONDSPOKE_PACK_AS_ARRAY

  }
}
}
