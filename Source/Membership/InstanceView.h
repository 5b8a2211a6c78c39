#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "Base/InstanceIdentity.h"

namespace almondspoke {

/** \brief State of an instance according to the membership protocol. */
enum class InstanceHealth
{
  Alive,
  /** Did not answer a probe; becomes dead unless it refutes this in time. */
  Suspected,
  Dead,
  /** Announced its shutdown. */
  Left
};

/** True for instances that may be running. Includes suspected ones, since they
 * may still refute the suspicion. */
constexpr bool
IsLive(InstanceHealth aHealth)
{
  return aHealth == InstanceHealth::Alive ||
         aHealth == InstanceHealth::Suspected;
}

/** \brief Status of an instance as known to this one. */
struct InstanceStatus
{
  InstanceIdentity mIdentity;
  InstanceHealth mHealth = InstanceHealth::Alive;
  bool mDraining = false;
  /** Version of the rules that the instance reports it applies. */
  std::uint64_t mRulesVersion = 0;
};

/** \brief Read access to the known instances; thread-safe. */
class InstanceView
{
public:
  virtual ~InstanceView() = default;

  virtual InstanceIdentity Self() const = 0;

  /** Returns all known instances, including this one. */
  virtual std::vector<InstanceStatus> Instances() const = 0;

  /** Returns the names of the live instances of a data centre, sorted. */
  virtual std::vector<InstanceName> LiveInstances(
    const DataCentreName& aDataCentre) const = 0;
};

}
