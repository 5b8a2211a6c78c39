#pragma once

#include <string>

namespace almondspoke::testing {

/** Returns the environment variable, as NAME=VALUE, that loads the fault
 * injection library of FaultyDisk.cxx into a program under test. */
std::string
FaultyDiskVariable();

}
