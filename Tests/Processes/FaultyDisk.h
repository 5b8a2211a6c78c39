#pragma once

#include <string>

namespace almondspoke::testing {

/** The environment variable, with its value, by which a program under test
 * loads the library that makes its disk fail. */
std::string
FaultyDiskVariable();

}
