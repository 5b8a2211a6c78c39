#include <filesystem>
#include <fstream>
#include <string>
#include <vector>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <unistd.h>

#include "Support/TextFile.h"
#include "Tool/Command.h"
#include "Tool/FakeHttpClient.h"
#include "Tool/SettingsCheck.h"
#include "Tool/ToolFixture.h"

using namespace almondspoke;
using almondspoke::testing::FakeHttpClient;
using almondspoke::testing::ReadTextFile;
using almondspoke::testing::ToolFixture;

namespace {

/** \brief Invalid arguments and the text that the error must contain. */
struct UsageCase
{
  std::vector<std::string> mArguments;
  std::string mExpectedText;
};

const UsageCase kUsageCases[] = {
  { {}, "no command" },
  { { "rulez" }, "unknown command 'rulez'" },
  { { "rules" }, "unknown command 'rules'" },
  { { "rules", "chek", "x" }, "unknown command 'rules chek'" },
  { { "help", "nothing" }, "unknown command 'nothing'" },
  { { "rules", "check" }, "FILE" },
  { { "rules", "check", "a", "b" }, "b" },
  { { "rules", "show", "--versoin", "3" }, "--versoin" },
  { { "rules", "show", "--version", "three", "--operators", "x" },
    "invalid value 'three' of version" },
  { { "rules", "show", "--version", "-1", "--operators", "x" },
    "invalid value '-1' of version" },
  { { "rules", "show" }, "ALMONDSPOKE_OPERATORS" },
  { { "jobs", "show", "key" }, "ALMONDSPOKE_CALLERS" },
  { { "status", "--operators", "x", "--timeout-ms", "0" },
    "invalid timeout of 0 ms" },
  { { "rules", "rollback", "3", "--operators", "x" }, "no base version" },
};

}

TEST_CASE("Tool: an invalid command line is reported with exit code 2")
{
  FakeHttpClient http;
  ToolFixture fixture(http);
  for (const UsageCase& item : kUsageCases) {
    CAPTURE(item.mExpectedText);
    CHECK(fixture.Run(item.mArguments) == 2);
    CHECK(fixture.Out().empty());
    CHECK(fixture.Err().find(item.mExpectedText) != std::string::npos);
    CHECK(fixture.Err().find("allowed:") != std::string::npos);
  }
  CHECK(http.mRequests.empty());
}

TEST_CASE("Tool: help lists every command, and version prints the version")
{
  FakeHttpClient http;
  ToolFixture fixture(http);
  REQUIRE(fixture.Run({ "help" }) == 0);
  for (const tool::Command& command : tool::AllCommands()) {
    CHECK(fixture.Out().find("almondspoke " + std::string(command.mName)) !=
          std::string::npos);
  }
  CHECK(fixture.Run({ "rules", "apply", "--help" }) == 0);
  CHECK(fixture.Out().find("almondspoke rules apply FILE --base N") == 0);
  CHECK(fixture.Run({ "version" }) == 0);
  CHECK(fixture.Out() == "almondspoke " ALMONDSPOKE_VERSION "\n");
}

TEST_CASE("Tool: rules check reports every error without an instance")
{
  FakeHttpClient http;
  ToolFixture fixture(http);
  CHECK(fixture.Run({ "rules", "check", "../Rules/Cases/Valid.rules" }) == 0);
  CHECK(fixture.Out() == "../Rules/Cases/Valid.rules: 12 rules, no errors\n");

  const std::string path = "../Rules/Cases/Syntax.rules";
  CHECK(fixture.Run({ "rules", "check", path }) == 2);
  CHECK(fixture.Err() == "almondspoke: invalid-rules: " + path + ":\n" +
                           ReadTextFile("../Rules/Cases/Syntax.expected"));

  CHECK(fixture.Run({ "rules", "check", path, "--json" }) == 2);
  const auto output = nlohmann::json::parse(fixture.Out());
  CHECK(output["errors"].size() == 9);
  CHECK(output["errors"][1]["line"] == 2);
  CHECK(output["errors"][1]["column"] == 8);
  CHECK(ErrorFromJson(fixture.Err())->Kind() == ErrorKind::InvalidRules);

  fixture.mIn.str("idempotent quote # office\n");
  CHECK(fixture.Run({ "rules", "check", "-" }) == 0);
  CHECK(fixture.Run({ "rules", "check", "no/such/file" }) == 2);
  CHECK(fixture.Err().find("no/such/file: cannot be read") !=
        std::string::npos);
  CHECK(http.mRequests.empty());
}

TEST_CASE("Tool: rules explain reads a file without an instance")
{
  FakeHttpClient http;
  ToolFixture fixture(http);
  REQUIRE(fixture.Run(
            { "rules", "explain", "--file", "../Rules/Cases/Valid.rules" }) ==
          0);
  CHECK(fixture.Out() == ReadTextFile("../Rules/Cases/Explanation.expected"));
}

TEST_CASE("Tool: settings check prints the result of the settings loader")
{
  FakeHttpClient http;
  ToolFixture fixture(http);
  CHECK(fixture.Run({ "settings", "check", "a.ini" }) == 0);
  CHECK(fixture.Out() == "a.ini: no errors\n");
  fixture.mSettingsResult = Error(ErrorKind::InvalidSettings, "a.ini:3: bad");
  CHECK(fixture.Run({ "settings", "check", "a.ini" }) == 2);
  CHECK(fixture.Err() == "almondspoke: invalid-settings: a.ini:3: bad\n");
}

TEST_CASE("Tool: the shell completion lists every command")
{
  const std::string completion =
    ReadTextFile("../../Utilities/completion/almondspoke.bash");
  for (const tool::Command& command : tool::AllCommands()) {
    CHECK(completion.find("\"" + std::string(command.mName) + "\"") !=
          std::string::npos);
  }
}

TEST_CASE("Tool: settings are checked as the daemon checks them")
{
  const std::string path =
    (std::filesystem::temp_directory_path() /
     ("almondspoke-settings-" + std::to_string(getpid()) + ".ini"))
      .string();
  const std::string valid = "[instance]\nname = zagreb-1\n"
                            "data-centre = zagreb\n"
                            "[listen]\ncallers = 127.0.0.1:8080\n"
                            "[endpoints]\nallowed-networks = 127.0.0.0/8\n";
  std::ofstream(path) << valid;
  CHECK(tool::CheckSettingsFile(path));
  std::ofstream(path) << valid + "[limits]\nbodyy = 1KiB\n";
  const Result<void> faulty = tool::CheckSettingsFile(path);
  std::filesystem::remove(path);
  REQUIRE_FALSE(faulty);
  CHECK(faulty.error().Kind() == ErrorKind::InvalidSettings);
  CHECK(faulty.error().Message().find(path + ":9: unknown key 'bodyy'") !=
        std::string::npos);
}
