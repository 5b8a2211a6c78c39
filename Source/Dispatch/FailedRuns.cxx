#include "Dispatch/FailedRuns.h"

#include <algorithm>

namespace almondspoke::dispatch {

bool
FailedRuns::Add(RunNumber aRun)
{
  if (Contains(aRun)) {
    return false;
  }
  mNumbers.push_back(aRun);
  return true;
}

bool
FailedRuns::Contains(RunNumber aRun) const
{
  return std::find(mNumbers.begin(), mNumbers.end(), aRun) != mNumbers.end();
}

}
