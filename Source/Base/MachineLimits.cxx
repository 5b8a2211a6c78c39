#include "Base/MachineLimits.h"

#include <algorithm>
#include <fstream>
#include <limits>
#include <string>

#include <sys/resource.h>
#include <sys/sysinfo.h>

namespace almondspoke {

namespace {

constexpr std::size_t kUnlimited = std::numeric_limits<std::size_t>::max();

template<auto kResource>
std::size_t
ResourceLimit()
{
  rlimit limit{};
  if (::getrlimit(kResource, &limit) != 0 || limit.rlim_cur == RLIM_INFINITY) {
    return kUnlimited;
  }
  return limit.rlim_cur;
}

std::size_t
MachineMemory()
{
  struct sysinfo info
  {};
  return ::sysinfo(&info) == 0 ? info.totalram * info.mem_unit : kUnlimited;
}

/** Limit of the control group (version 2) of this process. */
std::size_t
ControlGroupMemory()
{
  constexpr const char* kPrefix = "0::";
  std::ifstream groups("/proc/self/cgroup");
  std::string line;
  while (std::getline(groups, line)) {
    if (line.rfind(kPrefix, 0) != 0) {
      continue;
    }
    std::ifstream file("/sys/fs/cgroup" + line.substr(3) + "/memory.max");
    std::size_t bytes = 0;
    if (file >> bytes) {
      return bytes;
    }
  }
  return kUnlimited;
}

}

MachineLimits
ReadMachineLimits()
{
  MachineLimits limits;
  limits.mMemoryBytes = std::min({ MachineMemory(),
                                   ControlGroupMemory(),
                                   ResourceLimit<RLIMIT_AS>(),
                                   ResourceLimit<RLIMIT_DATA>() });
  limits.mDescriptors = ResourceLimit<RLIMIT_NOFILE>();
  return limits;
}

}
