// Reports of another writer: none of them may be taken for a worker.
#include <chrono>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "Dispatch/WorkerReportCheck.h"
#include "Platform/OddReports.h"
#include "platform/WorkerCodec.h"

using namespace almondspoke;
using almondspoke::dispatch::FindDefect;
using almondspoke::dispatch::ReportDefect;
using almondspoke::testing::kOddIds;
using almondspoke::testing::kOddReports;
using nlohmann::json;

namespace {

/** A time of day after the start of the worker in the good report. */
const Clock::Wall kNow{ std::chrono::hours(24 * 365 * 50) };

/** Nesting that exhausts the stack of code that recurses over it. */
constexpr std::size_t kDeepNesting = 400'000;

json
GoodReport()
{
  return json::parse(R"({"service":"s","address":"10.128.0.9:8080",
    "zone":"riga-a","version":"v1","slots":8,"state":"ready",
    "cold_remaining_ms":5,"capacity":{"cpu":16000,"mem_mb":32768,"gpus":1},
    "labels":["a","r1-3"],"clock_ms":482113,"sequence":4,
    "born":1500000000000})");
}

bool
NamesWorker(const std::string& aId, const std::string& aBody)
{
  const auto report = platform::DecodeReport(aId, aBody);
  return report && FindDefect(report.value(), kNow) == ReportDefect::None;
}

std::string
Nested(std::size_t aDepth)
{
  return std::string(aDepth, '[') + std::string(aDepth, ']');
}

}

TEST_CASE("Odd reports: no field may be missing or have an impossible value")
{
  REQUIRE(NamesWorker("i-1", GoodReport().dump()));
  for (const auto& row : kOddReports) {
    INFO(row.mField << " = " << (row.mValue == nullptr ? "-" : row.mValue));
    json report = GoodReport();
    const json::json_pointer field(row.mField);
    // Written as text, since a number may be too large for the JSON type.
    report[field] = "REPLACED";
    std::string text = report.dump();
    const std::string marker = "\"REPLACED\"";
    if (row.mValue == nullptr) {
      report[field.parent_pointer()].erase(field.back());
      text = report.dump();
    } else {
      text.replace(text.find(marker), marker.size(), row.mValue);
    }
    CHECK_FALSE(NamesWorker("i-1", text));
  }
}

TEST_CASE("Odd reports: an id that names no worker is refused")
{
  for (const char* id : kOddIds) {
    INFO(id);
    CHECK_FALSE(NamesWorker(id, GoodReport().dump()));
  }
  CHECK_FALSE(NamesWorker(std::string(5000, 'x'), GoodReport().dump()));
}

TEST_CASE("Odd reports: long and deeply nested values are refused")
{
  json report = GoodReport();
  report["address"] = std::string(5000, '1') + ":80";
  CHECK_FALSE(NamesWorker("i-1", report.dump()));
  report = GoodReport();
  report["zone"] = std::string(5000, 'z');
  CHECK_FALSE(NamesWorker("i-1", report.dump()));
  report = GoodReport();
  report["labels"] = json(std::vector<std::string>(100'000, "a"));
  CHECK_FALSE(NamesWorker("i-1", report.dump()));
  std::string text = GoodReport().dump();
  text.insert(1, "\"future\":" + Nested(kDeepNesting) + ",");
  CHECK_FALSE(NamesWorker("i-1", text));
  CHECK_FALSE(NamesWorker("i-1", Nested(kDeepNesting)));
}

TEST_CASE("Odd answers: a deeply nested answer of a worker does no harm")
{
  const std::string nested = Nested(kDeepNesting);
  const auto lists = platform::DecodeHoldAnswer(
    200, R"({"clock_ms":5,"running":)" + nested + R"(,"finished":[]})");
  CHECK(lists.mOutcome != dispatch::OrderOutcome::Fenced);
  CHECK(lists.mRunning.empty());
  const auto order = platform::DecodeOrderAnswer(
    409, R"({"reason":"fence","x":)" + nested + "}");
  CHECK(order.mOutcome != dispatch::OrderOutcome::Done);
}

TEST_CASE("Odd answers: a list with an unreadable entry shows no run as gone")
{
  for (const char* row : { "5",
                           R"(["j.0.1"])",
                           R"(["j.0.1.2","x"])",
                           R"(["j.0.1.2",18446744073709551615])",
                           R"([["j.0.1.2"],1])" }) {
    INFO(row);
    const auto lists =
      platform::DecodeHoldAnswer(200,
                                 std::string(R"({"clock_ms":5,"running":[)") +
                                   row + R"(],"finished":[]})");
    CHECK(lists.mOutcome == dispatch::OrderOutcome::Done);
    CHECK_FALSE(lists.mIsRunningListComplete);
  }
  const auto huge = platform::DecodeHoldAnswer(
    200, R"({"running":[["j.0.1.2",1,"",1e300]],"finished":[]})");
  REQUIRE(huge.mRunning.size() == 1);
  CHECK(huge.mRunning.front().mPercent == 100);
  const auto end = platform::DecodeHoldAnswer(200, R"({"running":[],"finished":
    [[18446744073709551615,"j.0.1.2",1,"done",""]]})");
  CHECK(end.mEnded.empty());
}

TEST_CASE("Odd answers: a clock that no worker can show is not read")
{
  // A clock is never set back, so that one such value would end all leases.
  const std::string body = R"({"clock_ms":9223372036854775807})";
  CHECK(platform::DecodeOrderAnswer(200, body).mClock == 0);
  CHECK(platform::DecodeHoldAnswer(409, body).mClock == 0);
}
