#include <string>

#include <catch2/catch.hpp>

#include "Base/ErrorKind.h"
#include "Support/TextFile.h"
#include "Tool/Command.h"

using namespace almondspoke;
using almondspoke::testing::ReadTextFile;

namespace {

const std::string kPage = "../../docs/man/almondspoke.1.md";

}

TEST_CASE("Manual page: lists the exit code of every error kind")
{
  const std::string page = ReadTextFile(kPage);
  for (const ErrorTraits& traits : AllErrorTraits()) {
    const std::string row = "| `" + std::string(traits.mName) + "` | " +
                            std::to_string(traits.mExitCode) + " |";
    CAPTURE(row);
    CHECK(page.find(row) != std::string::npos);
  }
}

TEST_CASE("Manual page: lists every command with its arguments")
{
  const std::string page = ReadTextFile(kPage);
  for (const tool::Command& command : tool::AllCommands()) {
    std::string usage = "`almondspoke " + std::string(command.mName);
    if (command.mSynopsis[0] != '\0') {
      usage += " " + std::string(command.mSynopsis);
    }
    CAPTURE(usage);
    CHECK(page.find(usage + "`") != std::string::npos);
    CHECK(page.find(command.mSummary) != std::string::npos);
  }
}
