#include "Processes/FaultyDisk.h"

#include <catch2/catch.hpp>

namespace almondspoke::testing {

std::string
FaultyDiskVariable()
{
  return "LD_PRELOAD=" FAULTY_DISK_PATH;
}

}

TEST_CASE("Faulty disk: the path of the library is absolute")
{
  using almondspoke::testing::FaultyDiskVariable;
  CHECK(FaultyDiskVariable().find("=/") != std::string::npos);
}
