#include <chrono>
#include <cstdint>
#include <thread>
#include <vector>

#include <catch2/catch.hpp>

#include "Rules/TimeWindow.h"

using namespace almondspoke;
using std::chrono::minutes;

namespace {

Clock::Wall
At(std::int64_t aUnixSeconds)
{
  return Clock::Wall(std::chrono::seconds(aUnixSeconds));
}

constexpr minutes
Minutes(int aHours, int aMinutes)
{
  return minutes(aHours * 60 + aMinutes);
}

/** \brief A time and the expected local time in a zone. */
struct LocalTimeCase
{
  const char* mZone;
  std::int64_t mUnixSeconds;
  minutes mLocal;
};

// Both zones set clocks forward at 01:00 UTC on 2026-03-29 and back at 01:00
// UTC on 2026-10-25.
constexpr std::int64_t kClocksForwardUnixSeconds = 1774746000;
constexpr std::int64_t kClocksBackUnixSeconds = 1792890000;
constexpr std::int64_t kSecondsPerHour = 3600;

const LocalTimeCase kLocalTimes[] = {
  { "Europe/Zagreb", kClocksForwardUnixSeconds - 60, Minutes(1, 59) },
  { "Europe/Zagreb", kClocksForwardUnixSeconds, Minutes(3, 0) },
  { "Europe/Riga", kClocksForwardUnixSeconds - 60, Minutes(2, 59) },
  { "Europe/Riga", kClocksForwardUnixSeconds, Minutes(4, 0) },
  { "Europe/Zagreb", kClocksBackUnixSeconds - kSecondsPerHour, Minutes(2, 0) },
  { "Europe/Zagreb", kClocksBackUnixSeconds - 60, Minutes(2, 59) },
  { "Europe/Zagreb", kClocksBackUnixSeconds, Minutes(2, 0) },
  { "Europe/Zagreb", kClocksBackUnixSeconds + kSecondsPerHour, Minutes(3, 0) },
  { "Europe/Riga", kClocksBackUnixSeconds - 60, Minutes(3, 59) },
  { "Europe/Riga", kClocksBackUnixSeconds, Minutes(3, 0) },
  { "Europe/Riga", kClocksBackUnixSeconds + kSecondsPerHour, Minutes(4, 0) },
  { "UTC", kClocksBackUnixSeconds, Minutes(1, 0) },
};

}

TEST_CASE("Time zone: local time follows both daylight saving changes")
{
  for (const LocalTimeCase& item : kLocalTimes) {
    CAPTURE(item.mZone, item.mUnixSeconds);
    const auto zone = TimeZone::Find(item.mZone);
    REQUIRE(zone);
    CHECK(zone->MinuteOfDay(At(item.mUnixSeconds)) == item.mLocal);
  }
}

TEST_CASE("Time zone: an unknown name gives a null pointer")
{
  for (const char* name : { "", "Zagreb", "Europe/Zagrb", "../passwd", "/" }) {
    CHECK(TimeZone::Find(name) == nullptr);
  }
}

TEST_CASE("Time zone: conversion is thread-safe")
{
  std::vector<std::thread> threads;
  std::vector<int> wrong(4, 0);
  threads.reserve(wrong.size());
  for (int& count : wrong) {
    threads.emplace_back([&count] {
      for (int round = 0; round < 200; ++round) {
        for (const LocalTimeCase& item : kLocalTimes) {
          const auto zone = TimeZone::Find(item.mZone);
          count += zone->MinuteOfDay(At(item.mUnixSeconds)) != item.mLocal;
        }
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  CHECK(wrong == std::vector<int>(4, 0));
}

TEST_CASE(
  "Time window: includes a repeated hour twice and a skipped hour never")
{
  const TimeWindow window(
    Minutes(2, 0), Minutes(3, 0), TimeZone::Find("Europe/Zagreb"));
  // The skipped hour: 01:59 is followed by 03:00.
  CHECK_FALSE(window.Contains(At(kClocksForwardUnixSeconds - 1)));
  CHECK_FALSE(window.Contains(At(kClocksForwardUnixSeconds)));
  // The repeated hour: 02:00 to 03:00 occurs twice.
  CHECK_FALSE(
    window.Contains(At(kClocksBackUnixSeconds - kSecondsPerHour - 1)));
  CHECK(window.Contains(At(kClocksBackUnixSeconds - kSecondsPerHour)));
  CHECK(window.Contains(At(kClocksBackUnixSeconds - 1)));
  CHECK(window.Contains(At(kClocksBackUnixSeconds)));
  CHECK(window.Contains(At(kClocksBackUnixSeconds + kSecondsPerHour - 1)));
  CHECK_FALSE(window.Contains(At(kClocksBackUnixSeconds + kSecondsPerHour)));
}

TEST_CASE(
  "Time window: a window that ends before it begins extends past midnight")
{
  const auto zone = TimeZone::Find("UTC");
  const TimeWindow night(Minutes(19, 0), Minutes(7, 0), zone);
  const TimeWindow day(Minutes(7, 0), Minutes(19, 0), zone);
  const std::int64_t midnight = 1796342400;
  for (int hour = 0; hour < 24; ++hour) {
    const Clock::Wall time = At(midnight + hour * kSecondsPerHour);
    CHECK(day.Contains(time) == (hour >= 7 && hour < 19));
    CHECK(night.Contains(time) == !day.Contains(time));
  }
  CHECK_FALSE(day.Overlaps(night));
  CHECK(day.Overlaps({ Minutes(18, 59), Minutes(20, 0), zone }));
  CHECK(night.Overlaps({ Minutes(6, 59), Minutes(8, 0), zone }));
  CHECK_FALSE(night.Overlaps({ Minutes(8, 0), Minutes(9, 0), zone }));
}

TEST_CASE("Time window: 24:00 is the end of the day")
{
  const TimeWindow window(
    Minutes(20, 0), Minutes(24, 0), TimeZone::Find("UTC"));
  const std::int64_t midnight = 1796342400;
  CHECK(window.Contains(At(midnight - 1)));
  CHECK_FALSE(window.Contains(At(midnight)));
  CHECK(window.ToString() == "20:00-24:00 UTC");
}
