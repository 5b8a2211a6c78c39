#include "Base/EventLog.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <ctime>

#include <poll.h>
#include <unistd.h>

namespace almondspoke {

namespace {

/** Bytes that a write to a pipe accepts without blocking when poll() reports it
 * as writable (PIPE_BUF on Linux). */
constexpr std::size_t kPipeWriteBytes = 4096;

std::int64_t
MillisecondsOf(Clock::Wall aTime)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           aTime.time_since_epoch())
    .count();
}

constexpr std::int64_t kMillisecondsPerSecond = 1000;

std::string
FormatSecond(std::int64_t aSecond)
{
  const auto seconds = static_cast<std::time_t>(aSecond);
  std::tm parts{};
  ::gmtime_r(&seconds, &parts);
  std::array<char, 40> text{};
  std::strftime(text.data(), text.size(), "%FT%T", &parts);
  return text.data();
}

bool
NeedsQuotes(std::string_view aValue)
{
  return aValue.empty() ||
         aValue.find_first_of(" \"=\n\r\t") != std::string_view::npos;
}

}

std::size_t
DescriptorSink::Write(std::string_view aBytes)
{
  std::size_t written = 0;
  while (written < aBytes.size()) {
    pollfd watched{ mDescriptor, POLLOUT, 0 };
    if (::poll(&watched, 1, 0) != 1 || (watched.revents & POLLOUT) == 0) {
      break;
    }
    const std::size_t part = std::min(kPipeWriteBytes, aBytes.size() - written);
    const ssize_t count = ::write(mDescriptor, aBytes.data() + written, part);
    if (count <= 0) {
      break;
    }
    written += static_cast<std::size_t>(count);
  }
  return written;
}

EventLog::EventLog(const Clock& aClock, LogSink& aSink, EventLogLimits aLimits)
  : mClock(aClock)
  , mSink(aSink)
  , mLimits(aLimits)
{
}

bool
EventLog::Admit(std::string_view aEvent)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  const auto found = mBudgets.find(aEvent);
  Budget& budget =
    found != mBudgets.end() ? found->second : mBudgets[std::string(aEvent)];
  const std::int64_t second = std::chrono::duration_cast<std::chrono::seconds>(
                                mClock.MonotonicNow().time_since_epoch())
                                .count();
  if (second != budget.mSecond) {
    budget.mSecond = second;
    budget.mLines = 0;
    ReportDropped(aEvent, budget);
  }
  if (++budget.mLines > mLimits.mLinesPerSecond) {
    ++budget.mDropped;
    ++mDroppedLines;
    return false;
  }
  return true;
}

void
EventLog::Append(std::string_view aEvent, std::string_view aFields)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  AppendLine(aEvent, aFields);
}

void
EventLog::ReportDropped(std::string_view aEvent, Budget& aBudget)
{
  if (aBudget.mDropped == 0) {
    return;
  }
  AppendLine("log-lines-dropped",
             "of=" + std::string(aEvent) +
               " count=" + std::to_string(aBudget.mDropped));
  aBudget.mDropped = 0;
}

void
EventLog::AppendLine(std::string_view aEvent, std::string_view aFields)
{
  // Upper bound for the time stamp, " event=" and the separators.
  constexpr std::size_t kOverhead = 48;
  const std::size_t size = aEvent.size() + aFields.size() + kOverhead;
  if (mBuffer.size() + size > mLimits.mBufferBytes) {
    ++mDroppedLines;
    return;
  }
  const std::size_t before = mBuffer.size();
  AppendTime();
  mBuffer += " event=";
  mBuffer += aEvent;
  mBuffer += aFields.empty() ? "" : " ";
  mBuffer += aFields;
  mBuffer += '\n';
  mAppendedBytes += mBuffer.size() - before;
}

void
EventLog::AppendTime()
{
  const std::int64_t now = MillisecondsOf(mClock.WallNow());
  if (now / kMillisecondsPerSecond != mSecond) {
    mSecond = now / kMillisecondsPerSecond;
    mSecondText = FormatSecond(mSecond);
  }
  constexpr int kDecimalBase = 10;
  const auto fraction = static_cast<int>(now % kMillisecondsPerSecond);
  mBuffer += mSecondText;
  mBuffer += '.';
  mBuffer += static_cast<char>('0' + fraction / (kDecimalBase * kDecimalBase));
  mBuffer += static_cast<char>('0' + fraction / kDecimalBase % kDecimalBase);
  mBuffer += static_cast<char>('0' + fraction % kDecimalBase);
  mBuffer += 'Z';
}

void
EventLog::Flush()
{
  const std::lock_guard<std::mutex> lock(mMutex);
  if (mBuffer.empty()) {
    return;
  }
  mBuffer.erase(0, mSink.Write(mBuffer));
}

std::uint64_t
EventLog::DroppedLines() const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  return mDroppedLines;
}

std::uint64_t
EventLog::AppendedBytes() const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  return mAppendedBytes;
}

EventLine::EventLine(EventLog& aLog, std::string_view aEvent)
  : mLog(aLog)
  , mEvent(aEvent)
  , mAdmitted(aLog.Admit(aEvent))
{
}

EventLine::~EventLine()
{
  if (mAdmitted) {
    mLog.Append(mEvent, mFields);
  }
}

EventLine&
EventLine::With(std::string_view aKey, std::string_view aValue)
{
  if (!mAdmitted) {
    return *this;
  }
  if (!mFields.empty()) {
    mFields += ' ';
  }
  mFields += aKey;
  mFields += '=';
  if (!NeedsQuotes(aValue)) {
    mFields += aValue;
    return *this;
  }
  mFields += '"';
  for (const char character : aValue) {
    const bool control = character == '\n' || character == '\r';
    if (character == '"') {
      mFields += '\\';
    }
    mFields += control ? ' ' : character;
  }
  mFields += '"';
  return *this;
}

EventLine&
EventLine::With(std::string_view aKey, const char* aValue)
{
  return With(aKey, std::string_view(aValue));
}

EventLine&
EventLine::With(std::string_view aKey, const std::string& aValue)
{
  return With(aKey, std::string_view(aValue));
}

EventLine&
EventLine::With(std::string_view aKey, std::int64_t aValue)
{
  return mAdmitted ? With(aKey, std::string_view(std::to_string(aValue)))
                   : *this;
}

EventLine&
EventLine::With(std::string_view aKey, std::uint64_t aValue)
{
  return mAdmitted ? With(aKey, std::string_view(std::to_string(aValue)))
                   : *this;
}

EventLine&
EventLine::With(std::string_view aKey, int aValue)
{
  return With(aKey, std::int64_t{ aValue });
}

EventLine&
EventLine::With(std::string_view aKey, unsigned aValue)
{
  return With(aKey, std::uint64_t{ aValue });
}

EventLine&
EventLine::With(std::string_view aKey, bool aValue)
{
  return With(aKey, std::string_view(aValue ? "yes" : "no"));
}

}
