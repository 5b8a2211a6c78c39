#include "Bench/BenchReport.h"

#include <algorithm>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace almondspoke::bench {

namespace {

using Json = nlohmann::ordered_json;

constexpr double kMedian = 0.5;
constexpr double kP99 = 0.99;
constexpr double kP999 = 0.999;
constexpr double kMicrosecondsPerMillisecond = 1000;

double
Milliseconds(std::uint64_t aMicroseconds)
{
  return static_cast<double>(aMicroseconds) / kMicrosecondsPerMillisecond;
}

double
Ratio(const Histogram& aRatio, double aQuantile)
{
  return static_cast<double>(aRatio.ValueAt(aQuantile)) /
         static_cast<double>(StreamStatistics::kRatioScale);
}

/** Returns the length of the period in which arrivals of a stream are measured.
 */
double
MeasuredSeconds(const Experiment& aExperiment, const StreamSettings& aStream)
{
  const auto start = std::max(aExperiment.mWarmUp, aStream.mStart);
  const auto stop = std::min(aExperiment.mDuration,
                             aStream.mStop.value_or(aExperiment.mDuration));
  constexpr double kShortest = 0.001;
  return std::max(kShortest,
                  std::chrono::duration<double>(stop - start).count());
}

double
Share(std::uint64_t aPart, std::uint64_t aWhole)
{
  return aWhole == 0 ? 0
                     : static_cast<double>(aPart) / static_cast<double>(aWhole);
}

Json
QuantilesJson(const Histogram& aHistogram, double aScale)
{
  const auto at = [&](double aQuantile) {
    return static_cast<double>(aHistogram.ValueAt(aQuantile)) / aScale;
  };
  return Json{ { "count", aHistogram.Count() },
               { "mean", aHistogram.Mean() / aScale },
               { "p50", at(kMedian) },
               { "p99", at(kP99) },
               { "p999", at(kP999) },
               { "max", static_cast<double>(aHistogram.Max()) / aScale } };
}

Json
ErrorsJson(const StreamCounts& aCounts)
{
  Json errors = Json::array();
  for (const auto& [name, error] : aCounts.mErrors) {
    errors.push_back({ { "kind", name },
                       { "ran", NameOf(error.mRan) },
                       { "count", error.mCount } });
  }
  return errors;
}

std::string
ErrorsText(const StreamCounts& aCounts)
{
  std::string text;
  for (const auto& [name, error] : aCounts.mErrors) {
    text += fmt::format("{}{} {} (ran {})",
                        text.empty() ? "" : ", ",
                        error.mCount,
                        name,
                        NameOf(error.mRan));
  }
  return text.empty() ? "none" : text;
}

Json
StreamJson(const Experiment& aExperiment,
           const StreamSettings& aSettings,
           const StreamCounts& aCounts)
{
  const double seconds = MeasuredSeconds(aExperiment, aSettings);
  return Json{
    { "stream", aSettings.mName },
    { "service", aSettings.mService },
    { "kind", aSettings.mKind },
    { "urgency", aSettings.mUrgency },
    { "measuredSeconds", seconds },
    { "offered", aCounts.mOffered },
    { "completed", aCounts.mCompleted },
    { "completedInRun", aCounts.mCompletedInRun },
    { "cancelled", aCounts.mCancelled },
    { "goodputPerSecond", static_cast<double>(aCounts.mCompleted) / seconds },
    { "completedShare", Share(aCounts.mCompleted, aCounts.mOffered) },
    { "ratioToIdeal",
      QuantilesJson(aCounts.mRatio,
                    static_cast<double>(StreamStatistics::kRatioScale)) },
    { "latencyMs",
      QuantilesJson(aCounts.mLatency, kMicrosecondsPerMillisecond) },
    { "errors", ErrorsJson(aCounts) }
  };
}

Json
AuditJson(const RunResult& aResult)
{
  const StartAudit& audit = *aResult.mAudit;
  const std::uint64_t completed = aResult.CompletedInRun();
  return Json{ { "starts", audit.mStarts },
               { "completedInRun", completed },
               { "startsForEachCompleted", Share(audit.mStarts, completed) },
               { "repeatedKeys", audit.mRepeatedKeys },
               { "untrueNotRun", audit.mFalseNotRun },
               { "unreadableLines", audit.mUnreadableLines },
               { "unchecked", audit.mUnchecked } };
}

}

Json
ReportJson(const RunResult& aResult)
{
  const Experiment& experiment = aResult.mExperiment;
  Json streams = Json::array();
  for (std::size_t i = 0; i < aResult.mStreams.size(); ++i) {
    streams.push_back(
      StreamJson(experiment, experiment.mStreams[i], aResult.mStreams[i]));
  }
  Json report{ { "experiment", experiment.mName },
               { "seed", experiment.mSeed },
               { "durationMs", experiment.mDuration.count() },
               { "warmUpMs", experiment.mWarmUp.count() },
               { "targets", experiment.mTargets },
               { "roundTripMs",
                 Milliseconds(
                   static_cast<std::uint64_t>(aResult.mRoundTrip.count())) },
               { "sendLagMs",
                 QuantilesJson(aResult.mSendLag, kMicrosecondsPerMillisecond) },
               { "failovers", aResult.mFailovers },
               { "streams", streams } };
  if (aResult.mAudit) {
    report["startLogs"] = AuditJson(aResult);
  }
  return report;
}

const std::vector<std::string>&
SummaryColumns()
{
  static const std::vector<std::string> kColumns = {
    "stream", "kind",      "urgency",   "offered/s",   "done/s",
    "done",   "ratio p50", "ratio p99", "ratio p99.9", "p50 ms",
    "p99 ms", "cancelled", "not done"
  };
  return kColumns;
}

Json
SummaryRows(const RunResult& aResult)
{
  constexpr double kHundred = 100;
  Json rows = Json::array();
  for (std::size_t i = 0; i < aResult.mStreams.size(); ++i) {
    const StreamSettings& settings = aResult.mExperiment.mStreams[i];
    const StreamCounts& counts = aResult.mStreams[i];
    const double seconds = MeasuredSeconds(aResult.mExperiment, settings);
    const auto perSecond = [&](std::uint64_t aCount) {
      return fmt::format("{:.1f}", static_cast<double>(aCount) / seconds);
    };
    const auto ratio = [&](double aQuantile) {
      return fmt::format("{:.2f}", Ratio(counts.mRatio, aQuantile));
    };
    const auto latency = [&](double aQuantile) {
      return fmt::format("{:.0f}",
                         Milliseconds(counts.mLatency.ValueAt(aQuantile)));
    };
    rows.push_back(
      { { "stream", settings.mName },
        { "kind", settings.mKind },
        { "urgency", settings.mUrgency },
        { "offered/s", perSecond(counts.mOffered) },
        { "done/s", perSecond(counts.mCompleted) },
        { "done",
          fmt::format("{:.1f}%",
                      kHundred * Share(counts.mCompleted, counts.mOffered)) },
        { "ratio p50", ratio(kMedian) },
        { "ratio p99", ratio(kP99) },
        { "ratio p99.9", ratio(kP999) },
        { "p50 ms", latency(kMedian) },
        { "p99 ms", latency(kP99) },
        { "cancelled", std::to_string(counts.mCancelled) },
        { "not done", ErrorsText(counts) } });
  }
  return rows;
}

std::vector<std::string>
SummaryNotes(const RunResult& aResult)
{
  std::vector<std::string> notes;
  notes.push_back(fmt::format(
    "ideal: own run time + {:.2f} ms round trip; sent late by {:.2f} ms at p99",
    Milliseconds(static_cast<std::uint64_t>(aResult.mRoundTrip.count())),
    Milliseconds(aResult.mSendLag.ValueAt(kP99))));
  if (aResult.mFailovers > 0) {
    notes.push_back(
      fmt::format("{} requests went to another instance", aResult.mFailovers));
  }
  if (!aResult.mAudit) {
    notes.push_back("no start logs: starts were not checked");
    return notes;
  }
  const StartAudit& audit = *aResult.mAudit;
  const std::uint64_t completed = aResult.CompletedInRun();
  notes.push_back(fmt::format(
    "{} starts for {} completed requests ({:.3f} for each, least possible 1)",
    audit.mStarts,
    completed,
    Share(audit.mStarts, completed)));
  notes.push_back(
    fmt::format("{} keys started again, {} untrue `ran: no`, {} not checked",
                audit.mRepeatedKeys,
                audit.mFalseNotRun,
                audit.mUnchecked + audit.mUnreadableLines));
  return notes;
}

std::string
SummaryMarkdown(const RunResult& aResult)
{
  std::string header = "|";
  std::string rule = "|";
  for (const std::string& column : SummaryColumns()) {
    header += ' ' + column + " |";
    rule += "---|";
  }
  std::string text = header + '\n' + rule + '\n';
  for (const Json& row : SummaryRows(aResult)) {
    text += '|';
    for (const std::string& column : SummaryColumns()) {
      text += ' ' + row.at(column).get<std::string>() + " |";
    }
    text += '\n';
  }
  text += '\n';
  for (const std::string& note : SummaryNotes(aResult)) {
    text += "- " + note + '\n';
  }
  return text;
}

}
