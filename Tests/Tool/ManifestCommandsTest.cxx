#include <filesystem>
#include <fstream>
#include <string>

#include <catch2/catch.hpp>
#include <unistd.h>

#include "Tool/FakeHttpClient.h"
#include "Tool/ToolFixture.h"

using namespace almondspoke;
using almondspoke::testing::FakeHttpClient;
using almondspoke::testing::ToolFixture;

namespace {

dispatch::Manifest
ManifestOf(std::uint64_t aVersion, std::uint32_t aTimeoutMs)
{
  dispatch::Manifest manifest;
  manifest.mVersion = aVersion;
  dispatch::Queue queue;
  queue.mName = "quotes";
  queue.mHost = "h.example";
  queue.mPathPrefix = "/quotes/";
  queue.mPool = "desk";
  queue.mTimeoutMs = aTimeoutMs;
  queue.mLatencyTargetMs = 60;
  manifest.mQueues = { queue };
  manifest.mPools = { { "desk", false, 64 } };
  return manifest;
}

std::string
FileWith(const std::string& aText)
{
  const std::filesystem::path path =
    std::filesystem::temp_directory_path() /
    ("almondspoke-" + aText + std::to_string(getpid()));
  std::ofstream(path) << aText;
  return path.string();
}

}

// Guards against a check that passes what a coordinator would refuse, or that
// hides what the manifest changes.
TEST_CASE("Manifest check: exit code and output say what was found")
{
  FakeHttpClient http;
  ToolFixture tool(http);
  tool.mManifests = { { "current", ManifestOf(3, 1500) },
                      { "next", ManifestOf(4, 2000) },
                      { "contradictory", ManifestOf(5, 50) } };
  const std::string current = FileWith("current");
  const std::string next = FileWith("next");

  CHECK(tool.Run({ "manifest", "check", next }) == 0);
  CHECK(tool.Out().find("no findings") != std::string::npos);

  CHECK(tool.Run({ "manifest", "check", next, "--in-force", current }) == 0);
  CHECK(tool.Out().find("timeout ms: '1500' to '2000'") != std::string::npos);

  CHECK(tool.Run({ "manifest", "check", current, "--in-force", next }) != 0);
  CHECK(tool.Out().find("not higher than version 4") != std::string::npos);

  CHECK(tool.Run({ "manifest", "check", FileWith("contradictory") }) != 0);
  CHECK(tool.Out().find("longer than the timeout of 50 ms") !=
        std::string::npos);

  const std::string broken = FileWith("broken");
  CHECK(tool.Run({ "manifest", "check", broken }) != 0);
  CHECK(tool.Err().find(broken + ": not a manifest") != std::string::npos);
}
