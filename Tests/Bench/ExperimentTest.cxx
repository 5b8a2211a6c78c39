#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "Bench/Experiment.h"
#include "Support/TextFile.h"

using namespace almondspoke;
using namespace almondspoke::bench;
using almondspoke::testing::ReadTextFile;
using std::chrono::milliseconds;

namespace {

const std::string kMinimal = "[experiment]\n"
                             "name = a\n"
                             "duration = 10s\n"
                             "[stream quotes]\n"
                             "service = desk\n";

/** Lines added to the minimal experiment; each causes one error. */
const std::vector<std::string> kFaults = {
  "speed = 5\n",
  "[streams]\nservice = desk\n",
  "[stream a/b]\nservice = desk\n",
  "service = desk\n",
  "kind = a desk\n",
  "urgency = soon\n",
  "repeat = twice\n",
  "rate = 0\n",
  "rate = -1\n",
  "rate = 1e9\n",
  "rate = nan\n",
  "load = 80\n",
  "load = 0%\n",
  "run-time = 1s-50ms\n",
  "run-time = 50-100\n",
  "run-time = 0ms\n",
  "tail-share = 101%\n",
  "cancel-share = half\n",
  "start = 5\n",
  "stop = 0ms\n",
  "timeout = 2h\n",
  "load = 50%\n",
  "kind = quote\n",
  "rate = 5\nstart = 10s\n",
  "rate = 5\n[experiment]\nwarm-up = 10s\n",
  "rate = 5\n[experiment]\ntargets = localhost:80\n",
  "rate = 5\n[experiment]\ncapacity = none\n",
  "rate = 5\n[experiment]\nseed = -1\n",
  "rate = 5\n[experiment]\nspeed = 1\n",
  "rate = 5\n[stream deposits]\nrate = 5\n",
  "no equals sign\n",
};

std::string
MessageOf(const std::string& aText)
{
  const Result<Experiment> experiment = ParseExperiment("a.ini", aText);
  if (!experiment.has_error()) {
    return "accepted: " + aText;
  }
  CHECK(experiment.error().Kind() == ErrorKind::InvalidSettings);
  return experiment.error().Message();
}

}

TEST_CASE(
  "Experiment: an error names the file, the line and the allowed values")
{
  std::string actual;
  for (const std::string& fault : kFaults) {
    actual += MessageOf(kMinimal + fault) + '\n';
  }
  actual += MessageOf("") + '\n';
  actual += MessageOf("[experiment]\nname = a\nduration = 1s\n") + '\n';
  CHECK(actual == ReadTextFile("Cases/Experiment.expected"));
  CHECK(LoadExperiment("/no/such/file.ini").has_error());
}

TEST_CASE("Experiment: values and defaults")
{
  const Result<Experiment> parsed =
    ParseExperiment("a.ini",
                    kMinimal + "load = 80%\n"
                               "run-time = 100ms\n"
                               "repeat = keyed\n"
                               "stop = 8s\n"
                               "[experiment]\n"
                               "capacity = 96\n"
                               "targets = 127.0.0.1:1 127.0.0.1:2\n");
  REQUIRE_FALSE(parsed.has_error());
  const Experiment& experiment = parsed.value();
  CHECK(experiment.mTargets ==
        std::vector<std::string>{ "127.0.0.1:1", "127.0.0.1:2" });
  REQUIRE(experiment.mStreams.size() == 1);
  const StreamSettings& stream = experiment.mStreams.front();
  CHECK(stream.mRate == Approx(0.8 * 96 / 0.1));
  CHECK(stream.mKind == "desk");
  CHECK(stream.mUrgency == "normal");
  CHECK(stream.mRepetition == Repetition::Keyed);
  CHECK(stream.mStop == milliseconds(8000));
}

TEST_CASE("Experiment: targets are IP numbers with ports")
{
  CHECK(ParseTargets("127.0.0.1:1,127.0.0.1:2").value().size() == 2);
  CHECK(ParseTargets("").has_error());
  CHECK(ParseTargets("somewhere:80").error().Message() ==
        "target 'somewhere:80' is not allowed (allowed: IP number and port, as "
        "127.0.0.1:8080)");
}
