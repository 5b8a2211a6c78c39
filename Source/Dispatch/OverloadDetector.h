#pragma once

#include <array>
#include <chrono>
#include <cstdint>

#include "Base/EnumNames.h"

namespace almondspoke::dispatch {

/** \brief How far a leader's decisions are behind. */
enum class Overload : std::uint8_t
{
  None,
  /** Only new work of the most urgent queues is taken. */
  Partial,
  /** No new work is taken. */
  Full
};

inline constexpr std::array<EnumName<Overload>, 3> kOverloadNames = { {
  { Overload::None, "none" },
  { Overload::Partial, "partial" },
  { Overload::Full, "full" },
} };

inline std::string_view
NameOf(Overload aOverload)
{
  return NameOf(kOverloadNames, aOverload);
}

/** \brief Tells from the delay between the arrival of messages and their
 * handling whether a leader takes new work.
 *
 * Leases, ends of runs, drains and manifests wait in the same queue as new
 * work. Refusing new work early keeps their delay far below their time limits.
 * A single long delay, as after a pause of the process, does not count. */
class OverloadDetector
{
public:
  using Milliseconds = std::chrono::milliseconds;

  /** Records the delay of a periodic event behind its time.
   * \return true if the state has changed */
  bool Observe(Milliseconds aDelay);

  Overload State() const { return mState; }
  Milliseconds Delay() const { return mLast; }

private:
  Milliseconds mLast{ 0 };
  Overload mState = Overload::None;
};

}
