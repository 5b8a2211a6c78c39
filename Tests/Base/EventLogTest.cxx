#include <algorithm>
#include <array>

#include <fcntl.h>
#include <unistd.h>

#include <catch2/catch.hpp>

#include "Base/EventLog.h"
#include "Support/ManualClock.h"

using namespace almondspoke;
using almondspoke::testing::ManualClock;

namespace {

/** \brief Accepts at most mAllowed bytes. */
class LimitedSink : public LogSink
{
public:
  std::size_t Write(std::string_view aBytes) override
  {
    const std::size_t taken = std::min(mAllowed, aBytes.size());
    mText += aBytes.substr(0, taken);
    mAllowed -= taken;
    return taken;
  }

  std::string mText;
  std::size_t mAllowed = 1'000'000;
};

std::size_t
Lines(const std::string& aText)
{
  return static_cast<std::size_t>(std::count(aText.begin(), aText.end(), '\n'));
}

}

TEST_CASE("Event log: a line has time, event and fields")
{
  ManualClock clock;
  LimitedSink sink;
  EventLog log(clock, sink);
  EventLine(log, "job-refused")
    .With("job", "j1")
    .With("reason", "no room in time")
    .With("waited_ms", 17)
    .With("stored", false);
  CHECK(sink.mText.empty());
  log.Flush();
  CHECK(sink.mText.find("Z event=job-refused job=j1 reason=\"no room in time\" "
                        "waited_ms=17 stored=no\n") != std::string::npos);
}

TEST_CASE("Event log: a value cannot inject a line or a field")
{
  ManualClock clock;
  LimitedSink sink;
  EventLog log(clock, sink);
  EventLine(log, "e").With("job", "x\nevent=forged a=\"b\"");
  log.Flush();
  CHECK(Lines(sink.mText) == 1);
  CHECK(sink.mText.find("job=\"x event=forged a=\\\"b\\\"\"") !=
        std::string::npos);
}

TEST_CASE("Event log: the rate limit of one event does not affect others")
{
  ManualClock clock;
  LimitedSink sink;
  EventLogLimits limits;
  limits.mLinesPerSecond = 10;
  EventLog log(clock, sink, limits);
  for (int i = 0; i < 1000; ++i) {
    EventLine(log, "frequent").With("n", i);
  }
  EventLine(log, "rare").With("n", 1);
  log.Flush();
  CHECK(Lines(sink.mText) == 11);
  CHECK(sink.mText.find("event=rare") != std::string::npos);
  CHECK(log.DroppedLines() == 990);
  clock.Advance(std::chrono::seconds(1));
  EventLine(log, "frequent").With("n", 1001);
  log.Flush();
  CHECK(sink.mText.find("event=log-lines-dropped of=frequent count=990") !=
        std::string::npos);
}

TEST_CASE("Event log: a full pipe drops lines instead of blocking")
{
  ManualClock clock;
  EventLogLimits limits;
  limits.mBufferBytes = 20'000;
  limits.mLinesPerSecond = 100'000;
  std::array<int, 2> pipe{};
  REQUIRE(::pipe2(pipe.data(), O_CLOEXEC) == 0);
  DescriptorSink sink(pipe[1]);
  EventLog log(clock, sink, limits);
  // More bytes than the pipe can hold; a blocking write would never return.
  for (int i = 0; i < 20'000; ++i) {
    EventLine(log, "line").With("n", i);
    log.Flush();
  }
  CHECK(log.DroppedLines() > 0);
  ::close(pipe[0]);
  ::close(pipe[1]);
}
