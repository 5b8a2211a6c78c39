#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <unordered_map>

namespace almondspoke::detail {

/** \brief State of one caller's connection to a server.
 *
 * Counts the requests whose answers have not been written yet, and notifies the
 * observers of unanswered requests when the connection closes. */
class ConnectionState
{
public:
  using Observer = std::function<void()>;

  /** Counts a new request. Returns false if the connection is closed or its
   * last answer has already been given, so that the request cannot be answered.
   */
  bool BeginRequest();

  /** Counts a request as finished, whether or not its answer was written.
   * \return false if Close() has already counted it. */
  bool EndRequest();

  /** Marks the current answer as the connection's last one if aWantsClose is
   * true and no other answer is outstanding.
   * \return whether it is the last. */
  bool TryMarkLastAnswer(bool aWantsClose);

  /** Registers the observer of one request. If the connection is already
   * closed, the observer is called immediately. */
  void AddObserver(std::uint64_t aRequest, Observer aObserver);
  void RemoveObserver(std::uint64_t aRequest);

  /** Calls the observer once, as soon as no answer is outstanding. The call is
   * dropped if another request begins or the connection closes first. Replaces
   * the observer that was set before. */
  void CallWhenIdle(Observer aObserver);

  /** Marks the connection closed and calls the observers.
   * \return the number of requests that were outstanding. */
  std::size_t Close();

  std::size_t Outstanding() const;

  /** Counts a request as answered; the answer may not be written yet. */
  void MarkAnswered();

  /** Whether a request waits to be answered. */
  bool HasUnanswered() const;

private:
  mutable std::mutex mMutex;
  std::size_t mOutstanding = 0;
  std::size_t mUnanswered = 0;
  bool mLastAnswerGiven = false;
  bool mClosed = false;
  Observer mIdleObserver;
  std::unordered_map<std::uint64_t, Observer> mObservers;
};

/** \brief The open connections of a server by id, in shards. */
class ConnectionTable
{
public:
  std::shared_ptr<ConnectionState> Add(std::uint64_t aConnection);
  std::shared_ptr<ConnectionState> Find(std::uint64_t aConnection) const;
  std::shared_ptr<ConnectionState> Remove(std::uint64_t aConnection);

private:
  static constexpr std::size_t kShards = 16;

  struct Shard
  {
    mutable std::mutex mMutex;
    std::unordered_map<std::uint64_t, std::shared_ptr<ConnectionState>>
      mConnections;
  };

  std::array<Shard, kShards> mShards;
};

}
