#pragma once

#include <cstdint>
#include <string>
#include <tuple>

namespace almondspoke {

/** \brief Kind of resource that the slots of a pool belong to. */
enum class PoolType : std::uint8_t
{
  EndpointSlots = 0,
  EndpointConnections = 1,
  TeamSlots = 2
};

/** \brief Identifies a resource whose slots are divided between instances. */
struct PoolId
{
  PoolType mType = PoolType::EndpointSlots;
  /** Name of the endpoint or team. */
  std::string mName;

  bool operator<(const PoolId& aOther) const
  {
    return std::tie(mType, mName) < std::tie(aOther.mType, aOther.mName);
  }
  bool operator==(const PoolId& aOther) const
  {
    return mType == aOther.mType && mName == aOther.mName;
  }
};

}
