#pragma once

#include <cstddef>
#include <cstdint>
#include <map>

#include "Dispatch/JobSubmission.h"

namespace almondspoke::dispatch {

/** \brief The largest cores, memory and number of accelerators of a set of
 * workers, each by itself. */
class LargestCapacity
{
public:
  /** Returns whether the largest amounts have changed. */
  bool Add(const Resources& aCapacity);
  /** Removes a capacity that was added. Returns whether the largest amounts
   * have changed. */
  bool Remove(const Resources& aCapacity);

  /** Returns whether the needs exceed what every worker has; false without
   * workers. */
  bool IsExceededBy(const Resources& aNeeds) const;

private:
  /** Returns the largest amounts; zero without workers. */
  Resources Largest() const;

  using Counts = std::map<std::uint32_t, std::size_t>;

  Counts mCores;
  Counts mMemory;
  Counts mAccelerators;
};

}
