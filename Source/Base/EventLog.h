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

/** \brief Output of an EventLog. */
class LogSink
{
public:
  virtual ~LogSink() = default;

  /** Writes as many bytes as possible without blocking and returns their
   * number. */
  virtual std::size_t Write(std::string_view aBytes) = 0;
};

/** \brief Writes to a file descriptor without blocking, also if the descriptor
 * is in blocking mode. */
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

/** \brief Limits on the rate and the memory of an EventLog. */
struct EventLogLimits
{
  /** Maximum lines per event and second; further lines are dropped and counted.
   * Three times the run starts per second of a leader with 50 workers. */
  std::uint32_t mLinesPerSecond = 1500;
  /** Maximum bytes buffered until the sink accepts them; further lines are
   * dropped and counted. */
  std::size_t mBufferBytes = 512UL * 1024UL;
};

/** \brief Writes structured lines `time event=NAME key=value ...`.
 *
 * Lines are buffered and written by Flush(), which never blocks. Each event
 * has its own limit on lines per second, so that frequent events do not crowd
 * out rare ones. The number of lines that this limit dropped is logged as an
 * event `log-lines-dropped`. Thread-safe. */
class EventLog
{
public:
  EventLog(const Clock& aClock, LogSink& aSink, EventLogLimits aLimits = {});

  /** Counts one line against the event's limit. Returns false, and counts the
   * line as dropped, if the limit for this second is reached. */
  bool Admit(std::string_view aEvent);

  /** Adds one line for which Admit() returned true. The line is dropped and
   * counted if the buffer is full.
   * \param aFields `key=value` pairs, separated by spaces */
  void Append(std::string_view aEvent, std::string_view aFields);

  /** Writes as much of the buffer as the sink accepts without blocking. */
  void Flush();

  /** Returns the number of lines dropped so far. */
  std::uint64_t DroppedLines() const;
  /** Returns the number of bytes added to the buffer so far. */
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
  /** Unix time that mSecondText shows, in seconds; mSecondText caches its
   * formatted form. */
  std::int64_t mSecond = -1;
  std::string mSecondText;
  std::uint64_t mDroppedLines = 0;
  std::uint64_t mAppendedBytes = 0;
};

/** \brief Builds one line of an EventLog and adds it in the destructor. Empty
 * values and values with white space, quotes or "=" are quoted. */
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
