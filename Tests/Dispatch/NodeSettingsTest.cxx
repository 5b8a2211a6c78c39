#include <filesystem>
#include <fstream>

#include <catch2/catch.hpp>
#include <unistd.h>

#include "Dispatch/FileWatch.h"
#include "Dispatch/NodeSettings.h"
#include "Dispatch/PeerNames.h"

using namespace almondspoke;
using namespace almondspoke::dispatch;

namespace {

const std::string kCoordinatorSettings =
  "[node]\n"
  "name = c1\n"
  "data-centre = zagreb\n"
  "address = 10.1.0.15\n"
  "peer-port = 7720\n"
  "seeds = 10.1.0.15:8166, 10.2.0.32:8166\n"
  "role = coordinator\n"
  "control = 10.1.0.15:8166\n"
  "data-folder = /data\n"
  "may-found = true\n"
  "tolerated-losses = 2\n"
  "max-hold-ms = 900\n";

std::string
SettingsWithout(const std::string& aKey)
{
  std::string text = kCoordinatorSettings;
  const std::size_t start = text.find("\n" + aKey + " =") + 1;
  text.erase(start, text.find('\n', start) - start + 1);
  return text;
}

}

TEST_CASE("Node settings: all keys are read")
{
  const auto settings = ParseNodeSettings("f.ini", kCoordinatorSettings);
  REQUIRE(settings);
  CHECK(settings.value().mRole == NodeRole::Coordinator);
  CHECK(settings.value().mToleratedLosses == 2);
  CHECK(settings.value().mMayCreateGroup);
  CHECK(settings.value().mMaxLease.count() == 900);
  CHECK(SeedNamesOf(settings.value()) ==
        std::vector<InstanceName>{ "10.1.0.15:7720", "10.2.0.32:7720" });
}

TEST_CASE("Node settings: times may have a fraction")
{
  const auto settings =
    ParseNodeSettings("f.ini",
                      SettingsWithout("max-hold-ms") + "grace-s = 6.5\n" +
                        "max-hold-ms = 1000.0\n");
  REQUIRE(settings);
  CHECK(settings.value().mShutdownGracePeriod.count() == 6500);
  CHECK(settings.value().mMaxLease.count() == 1000);
}

// A deployment whose settings lack these keys must be served as before.
TEST_CASE("Node settings: new parts are off unless the settings name them")
{
  const auto absent = ParseNodeSettings("f.ini", kCoordinatorSettings);
  REQUIRE(absent);
  CHECK(absent.value().mMemoryMegabytes == 0);
  CHECK(absent.value().mMaxDescriptors == 0);
  CHECK(absent.value().mDataCentres.empty());
  CHECK_FALSE(absent.value().mLearnRunTimes);
  CHECK(absent.value().mSpreadFactor == 1.0);
  CHECK(absent.value().mAdmission == AdmissionPolicy::Fixed);

  const auto present =
    ParseNodeSettings("f.ini",
                      kCoordinatorSettings + "memory-mb = 256\n"
                                             "max-descriptors = 4096\n"
                                             "data-centres = zagreb,sisak\n"
                                             "learn-run-times = yes\n"
                                             "spread-factor = 1.5\n"
                                             "admission = expected-end\n");
  REQUIRE(present);
  CHECK(present.value().mMemoryMegabytes == 256);
  CHECK(present.value().mMaxDescriptors == 4096);
  CHECK(present.value().mDataCentres ==
        std::vector<std::string>{ "zagreb", "sisak" });
  CHECK(present.value().mLearnRunTimes);
  CHECK(present.value().mSpreadFactor == 1.5);
  CHECK(present.value().mAdmission == AdmissionPolicy::ExpectedEnd);
}

TEST_CASE("Node settings: a changed file is noticed once, an empty one is not")
{
  const std::filesystem::path path =
    std::filesystem::temp_directory_path() /
    ("almondspoke-node-" + std::to_string(getpid()) + ".ini");
  std::ofstream(path) << kCoordinatorSettings;
  FileWatch watch(path.string());
  CHECK_FALSE(watch.HasChanged());
  std::ofstream(path) << "";
  CHECK_FALSE(watch.HasChanged());
  std::ofstream(path) << kCoordinatorSettings << "seeds = 10.3.0.1:8166\n";
  CHECK(watch.HasChanged());
  CHECK_FALSE(watch.HasChanged());
  std::filesystem::remove(path);
  CHECK_FALSE(watch.HasChanged());
}

TEST_CASE("Node settings: an error names the line and the allowed values")
{
  struct Row
  {
    const char* mLine;
    const char* mExpectedText;
  };
  for (const Row& row : { Row{ "role = boss", "coordinator, gateway" },
                          Row{ "peer-port = 0", "1 to 65535" },
                          Row{ "peer-port = x", "1 to 65535" },
                          Row{ "may-found = yes", "true, false" },
                          Row{ "tolerated-losses = 9", "0 to 8" },
                          Row{ "max-hold-ms = 0", "1 to 600000" },
                          Row{ "max-hold-ms = 1e3", "1 to 600000" },
                          Row{ "max-hold-ms = nan", "1 to 600000" },
                          Row{ "grace-s = 601", "1 to 600000" },
                          Row{ "memory-mb = 15", "16 to 100000000" },
                          Row{ "max-descriptors = x", "16 to 100000000" },
                          Row{ "learn-run-times = true", "yes, no" },
                          Row{ "spread-factor = 0.5", "1 to 100" },
                          Row{ "spread-factor = inf", "1 to 100" },
                          Row{ "admission = all", "fixed, expected-end" },
                          Row{ "colour = red", "unknown key" } }) {
    INFO(row.mLine);
    const auto settings =
      ParseNodeSettings("f.ini", kCoordinatorSettings + row.mLine + "\n");
    REQUIRE_FALSE(settings);
    CHECK(settings.error().Message().find("f.ini:13") != std::string::npos);
    CHECK(settings.error().Message().find(row.mExpectedText) !=
          std::string::npos);
  }
}

TEST_CASE("Node settings: each required key is reported if missing")
{
  for (const char* key :
       { "name", "address", "peer-port", "seeds", "control", "data-folder" }) {
    INFO(key);
    const auto settings = ParseNodeSettings("f.ini", SettingsWithout(key));
    REQUIRE_FALSE(settings);
    CHECK(settings.error().Message().find(std::string(key) + " is missing") !=
          std::string::npos);
  }
}

TEST_CASE("Peer names: a name is an IP address and port")
{
  CHECK(PeerNameOf("10.1.0.2", 7720) == "10.1.0.2:7720");
  REQUIRE(PeerEndpointOf("10.1.0.2:7720"));
  CHECK(PeerEndpointOf("10.1.0.2:7720")->port() == 7720);
  for (const char* name : { "",
                            "zagreb-1",
                            "10.1.0.2",
                            "10.1.0.2:",
                            "10.1.0.2:0",
                            "x:1",
                            "10.1.0.2:99999",
                            "10.1.0.2:12x" }) {
    INFO(name);
    CHECK_FALSE(PeerEndpointOf(name));
  }
}
