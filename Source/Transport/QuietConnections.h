#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <list>
#include <memory>
#include <mutex>
#include <unordered_map>
#include <vector>

#include "Transport/ArrivingRequest.h"

namespace almondspoke::detail {

/** \brief The connections of a server on which no request waits to be answered,
 * in the order in which they became so.
 *
 * When nearly all connections are in use, those that have been quiet for the
 * longest time are closed, so that new callers do not wait in the listen queue:
 * a connection that sends nothing, sends slowly, or does not read its answers
 * is the least useful one. A connection whose caller waits for an answer is
 * never closed. Thread-safe. */
class QuietConnections
{
public:
  using Time = std::chrono::steady_clock::time_point;

  /** \param aMaxConnections connections that the server accepts */
  explicit QuietConnections(std::size_t aMaxConnections);

  void Add(std::uint64_t aConnection,
           std::weak_ptr<ArrivingRequest> aRequest,
           Time aNow);
  void Remove(std::uint64_t aConnection);

  /** Notes that a request of the connection waits to be answered. */
  void BeginRequest(std::uint64_t aConnection);
  /** Notes that it is answered, although the answer may not be written yet. */
  void EndRequest(std::uint64_t aConnection, Time aNow);

  /** Begins to close quiet connections if nearly all are in use. One that has
   * just become quiet is kept. */
  void MakePlaces(Time aNow);

  /** Number of connections that MakePlaces() has begun to close. */
  std::uint64_t Displaced() const;

private:
  using Order = std::list<std::uint64_t>;

  struct Connection
  {
    std::weak_ptr<ArrivingRequest> mRequest;
    std::size_t mUnanswered = 0;
    /** Whether it is being closed; the order does not hold it then. */
    bool mIsDisplaced = false;
    Time mQuietSince{};
    Order::iterator mPosition;
  };

  std::vector<std::shared_ptr<ArrivingRequest>> TakeQuietest(Time aNow);
  void Append(std::uint64_t aId, Connection& aConnection, Time aNow);
  void Unlist(Connection& aConnection);

  /** Number of connections from which on quiet ones are closed. */
  const std::size_t mMaxKept;
  mutable std::mutex mMutex;
  std::unordered_map<std::uint64_t, Connection> mConnections;
  Order mOrder;
  std::size_t mDisplacing = 0;
  std::uint64_t mDisplaced = 0;
};

}
