#include "Consensus/JournalWriter.h"

#include <iterator>
#include <utility>

#include "Consensus/Journal.h"

namespace almondspoke {

JournalWriter::JournalWriter(Journal& aJournal,
                             std::chrono::milliseconds aReopenInterval,
                             Callbacks aCallbacks)
  : mJournal(aJournal)
  , mReopenInterval(aReopenInterval)
  , mCallbacks(std::move(aCallbacks))
{
}

JournalWriter::~JournalWriter()
{
  Stop();
}

void
JournalWriter::Start()
{
  mThread = std::thread([this] { Run(); });
}

void
JournalWriter::Stop()
{
  if (!mThread.joinable()) {
    return;
  }
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    mStopping = true;
  }
  mChanged.notify_all();
  mThread.join();
}

void
JournalWriter::Write(std::vector<JournalWrite> aWrites)
{
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    if (mState != State::Writing) {
      return;
    }
    std::move(aWrites.begin(), aWrites.end(), std::back_inserter(mQueue));
  }
  mChanged.notify_all();
}

void
JournalWriter::Reopen()
{
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    mQueue.clear();
    mState = State::Reopening;
  }
  mChanged.notify_all();
}

void
JournalWriter::Run()
{
  while (true) {
    const std::vector<JournalWrite> writes = AwaitWrites();
    if (!writes.empty()) {
      WriteBatch(writes);
      continue;
    }
    if (IsStopping()) {
      return;
    }
    TryToReopen();
  }
}

std::vector<JournalWrite>
JournalWriter::AwaitWrites()
{
  std::unique_lock<std::mutex> lock(mMutex);
  mChanged.wait(lock, [this] {
    return mStopping || mState == State::Reopening || !mQueue.empty();
  });
  return std::exchange(mQueue, {});
}

void
JournalWriter::WriteBatch(const std::vector<JournalWrite>& aWrites)
{
  const Result<void> written = mJournal.Write(aWrites);
  if (written) {
    mCallbacks.mOnWritten(aWrites.back().mSequence);
    return;
  }
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    mQueue.clear();
    mState = State::Failed;
  }
  mCallbacks.mOnFailed(written.error());
}

void
JournalWriter::TryToReopen()
{
  {
    std::unique_lock<std::mutex> lock(mMutex);
    if (mChanged.wait_for(
          lock, mReopenInterval, [this] { return mStopping; })) {
      return;
    }
  }
  Result<StoredState> opened = mCallbacks.mOpen();
  if (!opened) {
    return;
  }
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    mState = State::Writing;
  }
  mCallbacks.mOnReopened(std::move(opened.value()));
}

bool
JournalWriter::IsStopping()
{
  const std::lock_guard<std::mutex> lock(mMutex);
  return mStopping;
}

}
