#pragma once

#include <chrono>
#include <thread>

namespace almondspoke::testing {

/** Default timeout of Eventually(). Long enough that a slow machine fails no
 * test. */
inline constexpr std::chrono::seconds kEventuallyTimeout{ 60 };

/** Polls the condition until it is true. \return false on a timeout. */
template<typename Condition>
bool
Eventually(Condition aCondition,
           std::chrono::steady_clock::duration aTimeout = kEventuallyTimeout)
{
  const auto end = std::chrono::steady_clock::now() + aTimeout;
  while (!aCondition()) {
    if (std::chrono::steady_clock::now() >= end) {
      return false;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  return true;
}

}
