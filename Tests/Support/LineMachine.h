#pragma once

#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include "Consensus/StateMachine.h"

namespace almondspoke::testing {

/** \brief A StateMachine that appends each command to a text as one line. */
class LineMachine : public StateMachine
{
public:
  std::string Apply(LogIndex, std::string_view aCommand) override
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    mAppliedOutsideBatch += mInBatch ? 0 : 1;
    mLines.append(aCommand).push_back('\n');
    ++mCount;
    return "line " + std::to_string(mCount);
  }

  void BeginBatch() override
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    mInBatch = true;
  }

  void EndBatch() override
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    mInBatch = false;
  }

  std::string TakeSnapshot() const override
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    return mLines;
  }

  Result<void> RestoreSnapshot(std::string_view aSnapshot) override
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    mLines = aSnapshot;
    mCount = 0;
    for (const char character : mLines) {
      mCount += character == '\n' ? 1 : 0;
    }
    return Success();
  }

  std::string Lines() const
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    return mLines;
  }

  std::size_t Count() const
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    return mCount;
  }

  bool InBatch() const
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    return mInBatch;
  }

  std::size_t AppliedOutsideBatch() const
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    return mAppliedOutsideBatch;
  }

private:
  mutable std::mutex mMutex;
  std::string mLines;
  std::size_t mCount = 0;
  bool mInBatch = false;
  std::size_t mAppliedOutsideBatch = 0;
};

}
