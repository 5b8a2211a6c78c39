#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "Base/Clock.h"
#include "Dispatch/Evacuations.h"

namespace almondspoke::dispatch {

/** \brief Names of the data centres that a coordinator knows, from its settings
 * and from workers' reports. Not thread-safe. */
class DataCentreDirectory
{
public:
  using TimePoint = Clock::Monotonic;

  /** Number of names that are kept from reports. Bounds what reports with
   * made-up names cost. */
  static constexpr std::size_t kMaxReported = 64;

  /** Adds names from settings; they are kept for good. */
  void AddConfigured(const std::vector<std::string>& aNames);
  /** Adds the name in a worker's report. If there are too many, the name that
   * has not been reported for the longest time is removed. */
  void OnReported(const std::string& aName, TimePoint aNow);

  bool IsKnown(const std::string& aName) const;
  DataCentreNames All() const;

private:
  DataCentreNames mConfigured;
  /** Names from reports, with the time of the latest one. */
  std::map<std::string, TimePoint> mReported;
};

}
