#include <string>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "Bench/BenchPlots.h"
#include "Bench/BenchReport.h"
#include "Support/ChildProcess.h"
#include "Support/TextFile.h"

using namespace almondspoke;
using namespace almondspoke::bench;
using almondspoke::testing::ReadTextFile;
using std::chrono::microseconds;
using std::chrono::milliseconds;

namespace {

/** Returns a run of one stream, 1 s long, with 4 completed of 6 requests. */
RunResult
FabricatedRun()
{
  StreamSettings stream;
  stream.mName = "quotes";
  stream.mService = "desk";
  stream.mKind = "quote";
  stream.mUrgency = "first";
  StreamStatistics statistics(milliseconds(0), milliseconds(1000));
  RequestEnd end;
  end.mIdeal = milliseconds(100);
  end.mIsCompleted = true;
  for (const int latency : { 100, 100, 100, 150 }) {
    end.mLatency = milliseconds(latency);
    statistics.RecordArrival(end.mArrival);
    statistics.RecordEnd(end);
  }
  end.mIsCompleted = false;
  end.mError = "queue-full";
  end.mRan = Ran::No;
  statistics.RecordArrival(end.mArrival);
  statistics.RecordEnd(end);
  end.mIsCancelled = true;
  statistics.RecordArrival(end.mArrival);
  statistics.RecordEnd(end);
  RunResult result;
  result.mExperiment.mName = "fabricated";
  result.mExperiment.mDuration = milliseconds(1000);
  result.mExperiment.mTargets = { "127.0.0.1:1" };
  result.mExperiment.mStreams = { stream };
  result.mRoundTrip = microseconds(1250);
  result.mStreams = { statistics.Counts() };
  result.mFailovers = 2;
  result.mAudit = StartAudit{ 5, 0, 1, 0, 0 };
  return result;
}

}

TEST_CASE("Report: the Markdown table and the JSON object of a run")
{
  const RunResult result = FabricatedRun();
  CHECK(SummaryMarkdown(result) == ReadTextFile("Cases/Report.md"));
  CHECK(ReportJson(result).dump(2) + '\n' == ReadTextFile("Cases/Report.json"));
}

TEST_CASE("Report: a contradiction with the start logs is detected")
{
  RunResult result = FabricatedRun();
  CHECK(result.IsContradicted());
  result.mAudit = StartAudit{ 5, 0, 0, 0, 0 };
  CHECK_FALSE(result.IsContradicted());
  result.mAudit = StartAudit{ 5, 1, 0, 0, 0 };
  CHECK(result.IsContradicted());
  result.mAudit.reset();
  CHECK_FALSE(result.IsContradicted());
}

TEST_CASE("Plots: two SVG files with a line for each stream")
{
  const testing::TemporaryFolder folder;
  RunResult result = FabricatedRun();
  result.mExperiment.mStreams[0].mName = "a<b&c";
  REQUIRE_FALSE(WritePlots(result, folder.File("")).has_error());
  for (const char* name :
       { "fabricated-time.svg", "fabricated-percentile.svg" }) {
    const std::string svg = ReadTextFile(folder.File(name));
    CHECK(svg.find("<svg ") == 0);
    CHECK(svg.find("<polyline points=\"") != std::string::npos);
    CHECK(svg.find("a&lt;b&amp;c") != std::string::npos);
    CHECK(svg.find("nan") == std::string::npos);
    CHECK(svg.find("inf") == std::string::npos);
  }
  CHECK(WritePlots(result, "/no/such/folder").error().Message() ==
        "/no/such/folder/fabricated-time.svg: cannot be written (allowed: a "
        "file in an existing folder)");
}

TEST_CASE("Plots: a run without responses has axes only")
{
  RunResult result = FabricatedRun();
  result.mStreams = {
    StreamStatistics(milliseconds(0), milliseconds(1000)).Counts()
  };
  const std::string svg = LatencyByPercentile(result).ToSvg();
  CHECK(svg.find("points=\"\"") != std::string::npos);
  CHECK(svg.find("nan") == std::string::npos);
}
