#include "Daemon/AbsentGroup.h"

#include <utility>

namespace almondspoke {

AbsentGroup::AbsentGroup(std::string aName)
  : mName(std::move(aName))
{
}

void
AbsentGroup::Propose(std::string, Done aDone)
{
  aDone(Error(ErrorKind::NoQuorum,
              "no voters are configured for group '" + mName +
                "' (add a line `" + mName + " = INSTANCE, ...` to [groups])"));
}

void
AbsentGroup::Barrier(std::function<void(Result<void>)> aDone)
{
  aDone(Success());
}

}
