#pragma once

#include <cstdint>
#include <string>

namespace almondspoke {

/** Name of an instance, unique within the installation. */
using InstanceName = std::string;

/** Name of a data centre. */
using DataCentreName = std::string;

/** \brief Identifies one run of an instance. The incarnation increases with
 * each start, so that messages from before a restart can be recognised. */
struct InstanceIdentity
{
  InstanceName mName;
  DataCentreName mDataCentre;
  std::uint64_t mIncarnation = 0;
};

}
