#include "Daemon/UnconfiguredGroup.h"

#include <utility>

namespace almondspoke {

UnconfiguredGroup::UnconfiguredGroup(std::string aName)
  : mName(std::move(aName))
{
}

void
UnconfiguredGroup::Propose(std::string, Done aDone)
{
  aDone(Error(ErrorKind::NoQuorum,
              "no voters are configured for group '" + mName +
                "' (add a line `" + mName + " = INSTANCE, ...` to [groups])"));
}

void
UnconfiguredGroup::Barrier(std::function<void(Result<void>)> aDone)
{
  aDone(Success());
}

}
