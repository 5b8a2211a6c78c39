#pragma once

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

#include "Base/Result.h"
#include "Consensus/ConsensusTypes.h"

namespace almondspoke {

class Journal;

/** \brief Writes a Journal on a thread of its own, and opens it again after a
 * failed write.
 *
 * A failed write drops everything queued. The owner then stops using what the
 * journal has not confirmed and calls Reopen(). */
class JournalWriter
{
public:
  /** \brief What the writer reports; called on its thread. */
  struct Callbacks
  {
    /** All writes up to this sequence number are durable. */
    std::function<void(std::uint64_t)> mOnWritten;
    /** A write has failed; called once until the journal is open again. */
    std::function<void(const Error&)> mOnFailed;
    /** Opens the journal; called until it succeeds. */
    std::function<Result<StoredState>()> mOpen;
    /** The journal is open again and has this state. */
    std::function<void(StoredState)> mOnReopened;
  };

  /** \param aReopenInterval time before each attempt to open the journal. */
  JournalWriter(Journal& aJournal,
                std::chrono::milliseconds aReopenInterval,
                Callbacks aCallbacks);
  ~JournalWriter();
  JournalWriter(const JournalWriter&) = delete;
  JournalWriter& operator=(const JournalWriter&) = delete;

  void Start();

  /** Completes the queued writes, unless one has failed, and ends the
   * thread. */
  void Stop();

  void Write(std::vector<JournalWrite> aWrites);

  /** Drops all queued writes and opens the journal as soon as the disk allows
   * it. */
  void Reopen();

private:
  enum class State : std::uint8_t
  {
    Writing,
    /** Waits for Reopen(). */
    Failed,
    Reopening
  };

  void Run();
  /** Returns the queued writes, or none if the thread is to end or to open the
   * journal. */
  std::vector<JournalWrite> AwaitWrites();
  void WriteBatch(const std::vector<JournalWrite>& aWrites);
  void TryToReopen();
  bool IsStopping();

  Journal& mJournal;
  const std::chrono::milliseconds mReopenInterval;
  const Callbacks mCallbacks;

  std::mutex mMutex;
  std::condition_variable mChanged;
  std::vector<JournalWrite> mQueue;
  State mState = State::Writing;
  bool mStopping = false;
  std::thread mThread;
};

}
