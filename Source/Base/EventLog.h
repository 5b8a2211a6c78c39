#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <string_view>

#include "Base/Clock.h"

namespace almondspoke {

/** \brief Where an EventLog hands its text on. */
class LogSink
{
public:
  virtual ~LogSink() = default;

  /** Takes as many bytes as it can without blocking and returns how many. */
  virtual std::size_t Write(std::string_view aBytes) = 0;
};

/** \brief Writes to a file descriptor only what it takes at once. */
class DescriptorSink : public LogSink
{
public:
  explicit DescriptorSink(int aDescriptor)
    : mDescriptor(aDescriptor)
  {
  }

  std::size_t Write(std::string_view aBytes) override;

private:
  const int mDescriptor;
};

/** \brief How much an EventLog takes up. */
struct EventLogLimits
{
  /** Lines of one event in one second; more are counted, not written. Three
   * times the starts of a leader with 50 workers. */
  std::uint32_t mLinesPerSecond = 1500;
  /** Bytes that wait for a reader; lines beyond are counted, not kept. */
  std::size_t mBufferBytes = 512UL * 1024UL;
};

/** \brief Writes structured lines `time event=NAME key=value ...`.
 *
 * Lines are collected and written by Flush(), which never blocks. Each event
 * has its own bound on lines a second, so that frequent events do not displace
 * rare ones; what was dropped is counted in a line of its own. Thread-safe. */
class EventLog
{
public:
  EventLog(const Clock& aClock, LogSink& aSink, EventLogLimits aLimits = {});

  /** Takes one line of the event's bound; false if none is left in this second,
   * and the line is counted as dropped. */
  bool Admit(std::string_view aEvent);

  /** Adds one admitted line.
   * \param aFields `key=value` pairs, separated by spaces */
  void Append(std::string_view aEvent, std::string_view aFields);

  /** Writes what the sink takes at once. */
  void Flush();

  /** Lines that were not written since the start. */
  std::uint64_t DroppedLines() const;
  /** Bytes that were added since the start. */
  std::uint64_t AppendedBytes() const;

private:
  struct Budget
  {
    std::int64_t mSecond = 0;
    std::uint32_t mLines = 0;
    std::uint64_t mDropped = 0;
  };

  void AppendLine(std::string_view aEvent, std::string_view aFields);
  void AppendTime();
  void ReportDropped(std::string_view aEvent, Budget& aBudget);

  const Clock& mClock;
  LogSink& mSink;
  const EventLogLimits mLimits;
  mutable std::mutex mMutex;
  std::map<std::string, Budget, std::less<>> mBudgets;
  std::string mBuffer;
  /** Second that mSecondText names. */
  std::int64_t mSecond = -1;
  std::string mSecondText;
  std::uint64_t mDroppedLines = 0;
  std::uint64_t mAppendedBytes = 0;
};

/** \brief Builds one line of an EventLog and adds it when it goes out of
 * scope. Values with spaces are quoted. */
class EventLine
{
public:
  EventLine(EventLog& aLog, std::string_view aEvent);
  ~EventLine();
  EventLine(const EventLine&) = delete;
  EventLine& operator=(const EventLine&) = delete;

  EventLine& With(std::string_view aKey, std::string_view aValue);
  EventLine& With(std::string_view aKey, const char* aValue);
  EventLine& With(std::string_view aKey, const std::string& aValue);
  EventLine& With(std::string_view aKey, std::int64_t aValue);
  EventLine& With(std::string_view aKey, std::uint64_t aValue);
  EventLine& With(std::string_view aKey, int aValue);
  EventLine& With(std::string_view aKey, unsigned aValue);
  EventLine& With(std::string_view aKey, bool aValue);

private:
  EventLog& mLog;
  const std::string_view mEvent;
  const bool mAdmitted;
  std::string mFields;
};

}
