#include "Daemon/Readiness.h"

namespace almondspoke {

std::optional<std::string>
Readiness::NotReadyReason() const
{
  if (mDraining) {
    return "draining";
  }
  for (const Condition& condition : mConditions) {
    if (std::optional<std::string> reason = condition()) {
      return reason;
    }
  }
  return std::nullopt;
}

}
