#pragma once

#include <cstdint>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include <msgpack.hpp>

#include "Base/InstanceIdentity.h"
#include "Consensus/Replicator.h"
#include "Routing/PoolId.h"

MSGPACK_ADD_ENUM(almondspoke::PoolType)

namespace msgpack {
MSGPACK_API_VERSION_NAMESPACE(MSGPACK_DEFAULT_API_NS)
{
  namespace adaptor {

  /** \brief Reads a PoolId as an array of type and name. */
  template<>
  struct convert<almondspoke::PoolId>
  {
    const msgpack::object& operator()(const msgpack::object& aObject,
                                      almondspoke::PoolId& aPool) const
    {
      std::tuple<almondspoke::PoolType, std::string> fields;
      aObject.convert(fields);
      std::tie(aPool.mType, aPool.mName) = std::move(fields);
      return aObject;
    }
  };

  /** \brief Writes a PoolId as an array of type and name. */
  template<>
  struct pack<almondspoke::PoolId>
  {
    template<typename Stream>
    packer<Stream>& operator()(msgpack::packer<Stream>& aPacker,
                               const almondspoke::PoolId& aPool) const
    {
      return aPacker.pack(std::make_tuple(aPool.mType, aPool.mName));
    }
  };

  }
}
}

namespace almondspoke {

/** \brief What a holder says of one pool: only pools that changed are named.
 */
struct PoolReport
{
  PoolId mPool;
  /** Slots that the holder may use now. */
  std::uint32_t mHeld = 0;
  std::uint32_t mInUse = 0;
  /** Slots that waiting work could use beyond those held. */
  std::uint32_t mWanted = 0;
  /** Version of the last grant that the holder applied. */
  std::uint64_t mGrantVersion = 0;

  MSGPACK_DEFINE(mPool, mHeld, mInUse, mWanted, mGrantVersion)
};

/** \brief Renewal of an instance's lease with the changes of its pools. */
struct SlotRequest
{
  InstanceName mInstance;
  std::uint64_t mIncarnation = 0;
  /** Term of the grantor that the holder follows. */
  Term mTerm = 0;
  /** Grows with each request of an incarnation. */
  std::uint64_t mSequence = 0;
  /** True if mPools names every pool of which something is held. */
  bool mIsFull = false;
  std::vector<PoolReport> mPools;

  MSGPACK_DEFINE(mInstance, mIncarnation, mTerm, mSequence, mIsFull, mPools)
};

/** \brief New absolute size of a holder's share of one pool. */
struct PoolGrant
{
  PoolId mPool;
  std::uint32_t mGranted = 0;
  /** Grows with each grant of a term; the holder drops older ones. */
  std::uint64_t mVersion = 0;

  MSGPACK_DEFINE(mPool, mGranted, mVersion)
};

/** \brief Asks a holder to give back idle slots until mTarget is reached. */
struct PoolRecall
{
  PoolId mPool;
  std::uint32_t mTarget = 0;
  /** Version of the grant that the recall is about. */
  std::uint64_t mVersion = 0;

  MSGPACK_DEFINE(mPool, mTarget, mVersion)
};

/** \brief Answer to a SlotRequest, or news that the grantor sends unasked. */
struct SlotReply
{
  InstanceName mInstance;
  std::uint64_t mIncarnation = 0;
  Term mTerm = 0;
  /** Sequence of the last request handled; the lease counts from the time at
   * which the holder sent that request. */
  std::uint64_t mSequence = 0;
  std::uint32_t mLeaseMilliseconds = 0;
  /** True if the grantor knows nothing of the holder's pools. */
  bool mNeedsFullReport = false;
  std::vector<PoolGrant> mGrants;
  std::vector<PoolRecall> mRecalls;

  MSGPACK_DEFINE(mInstance,
                 mIncarnation,
                 mTerm,
                 mSequence,
                 mLeaseMilliseconds,
                 mNeedsFullReport,
                 mGrants,
                 mRecalls)
};

}
