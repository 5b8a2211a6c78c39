#include <fstream>
#include <string>

#include <catch2/catch.hpp>

#include "Bench/StartLogAudit.h"
#include "Support/ChildProcess.h"

using namespace almondspoke;
using namespace almondspoke::bench;
using almondspoke::testing::TemporaryFolder;

namespace {

void
Append(const std::string& aPath, const std::string& aText)
{
  std::ofstream(aPath, std::ios::app) << aText;
}

}

TEST_CASE("Start logs: a false `ran: no` and a repeated key are detected")
{
  const TemporaryFolder folder;
  const std::string path = folder.File("started");
  Append(path, "old/1 run-quotes-1 runner-1 1\n");
  StartLogAudit audit({ path });
  audit.RecordNotRun("refused-and-started");
  audit.RecordNotRun("refused");
  Append(path,
         "refused-and-started/7 - runner-1 2\n"
         "refused-and-started/8 - runner-2 3\n"
         "a/9 run-quotes-1 runner-1 4\n"
         "b/10 run-quotes-2 runner-1 5\n"
         "c/11 run-quotes-2 runner-2 6\n"
         "d/12 run-quotes-2 runner-2 7\n"
         "e/13 other-1 runner-2 8\n"
         "f/14 other-1 runner-2 9\n"
         "half a li\n");
  const Result<StartAudit> read = audit.Read("run-");
  REQUIRE_FALSE(read.has_error());
  CHECK(read.value().mStarts == 8);
  CHECK(read.value().mFalseNotRun == 1);
  CHECK(read.value().mRepeatedKeys == 2);
  CHECK(read.value().mUnreadableLines == 1);
  CHECK(read.value().mUnchecked == 0);
}

TEST_CASE("Start logs: several logs are combined, and correct responses pass")
{
  const TemporaryFolder folder;
  StartLogAudit audit({ folder.File("a"), folder.File("b") });
  audit.RecordNotRun("refused");
  Append(folder.File("a"), "x/1 run-1 runner-1 2\n");
  Append(folder.File("b"), "y/1 run-1 runner-2 3\nz/2 run-2 runner-2 3\n");
  const StartAudit read = audit.Read("run-").value();
  CHECK(read.mStarts == 3);
  CHECK(read.mRepeatedKeys == 1);
  CHECK(read.mFalseNotRun == 0);
}

TEST_CASE("Start logs: a log that cannot be read is an error")
{
  StartLogAudit audit({ "/no/such/log" });
  const Result<StartAudit> read = audit.Read("run-");
  REQUIRE(read.has_error());
  CHECK(read.error().Message() == "/no/such/log: the start log cannot be read");
  CHECK_FALSE(StartLogAudit({}).HasLogs());
}
