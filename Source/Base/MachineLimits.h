#pragma once

#include <cstddef>

namespace almondspoke {

/** \brief What the system gives this process. */
struct MachineLimits
{
  /** Memory of the machine, or less if the control group or a resource limit
   * (RLIMIT_AS, RLIMIT_DATA) allows less. */
  std::size_t mMemoryBytes = 0;
  /** File descriptors (RLIMIT_NOFILE). */
  std::size_t mDescriptors = 0;
};

MachineLimits
ReadMachineLimits();

}
