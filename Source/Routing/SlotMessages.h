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

  /** \brief Decodes a PoolId from an array of type and name. */
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

  /** \brief Encodes a PoolId as an array of type and name. */
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

/** \brief State of one pool as its holder reports it. Requests contain only
 * changed pools, unless they are full. */
struct PoolReport
{
  PoolId mPool;
  /** Slots that the holder may use now. */
  std::uint32_t mHeld = 0;
  std::uint32_t mInUse = 0;
  /** Additional slots that waiting work could use. */
  std::uint32_t mWanted = 0;
  /** Version of the last grant that the holder applied. */
  std::uint64_t mGrantVersion = 0;

  MSGPACK_DEFINE(mPool, mHeld, mInUse, mWanted, mGrantVersion)
};

/** \brief Renews the lease of an instance and reports changes of its pools. */
struct SlotRequest
{
  InstanceName mInstance;
  std::uint64_t mIncarnation = 0;
  /** Term of the latest grantor known to the holder. */
  Term mTerm = 0;
  /** Increases with each request of an incarnation. */
  std::uint64_t mSequence = 0;
  /** True if mPools contains every pool of which the holder has slots. */
  bool mIsFull = false;
  std::vector<PoolReport> mPools;

  MSGPACK_DEFINE(mInstance, mIncarnation, mTerm, mSequence, mIsFull, mPools)
};

/** \brief New absolute size of the share that a holder has of one pool. */
struct PoolGrant
{
  PoolId mPool;
  std::uint32_t mGranted = 0;
  /** Increases with each grant of a term; the holder ignores older grants. */
  std::uint64_t mVersion = 0;

  MSGPACK_DEFINE(mPool, mGranted, mVersion)
};

/** \brief Asks a holder to return idle slots until its share is mTarget. */
struct PoolRecall
{
  PoolId mPool;
  std::uint32_t mTarget = 0;
  /** Version of the grant that the recall applies to. */
  std::uint64_t mVersion = 0;

  MSGPACK_DEFINE(mPool, mTarget, mVersion)
};

/** \brief Reply to a SlotRequest, or an unsolicited message about changed
 * shares. */
struct SlotReply
{
  InstanceName mInstance;
  std::uint64_t mIncarnation = 0;
  Term mTerm = 0;
  /** Sequence of the last request that was handled. The lease starts when the
   * holder sent that request. */
  std::uint64_t mSequence = 0;
  std::uint32_t mLeaseMilliseconds = 0;
  /** True if the grantor does not know the pools of the holder, so that the
   * next request must be full. */
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
