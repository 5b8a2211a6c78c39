#pragma once

#include <vector>

namespace almondspoke::testing {

/** Returns free ports of the loopback address that no other test process uses
 * until this one exits. Throws if there are none. */
std::vector<int>
ReservePorts(int aCount);

}
