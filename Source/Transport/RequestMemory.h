#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "Base/EnumNames.h"
#include "Base/Error.h"

namespace almondspoke {

/** \brief The limit for which a server refuses a request. */
enum class RequestLimit : std::uint8_t
{
  Memory,
  Time
};

inline constexpr std::array<EnumName<RequestLimit>, 2> kRequestLimitNames = { {
  { RequestLimit::Memory, "memory" },
  { RequestLimit::Time, "time" },
} };

/** \brief Limits on each request of a server. */
struct RequestLimits
{
  /** Limit for the texts of the header together. */
  std::size_t mMaxHeaderBytes = std::numeric_limits<std::size_t>::max();
  std::size_t mMaxBodyBytes = std::numeric_limits<std::size_t>::max();
  /** Maximum times from the first byte of a request to the end of its header,
   * and to its end. They end a request behind an earlier one only once that is
   * answered. */
  std::chrono::milliseconds mHeaderTimeout{ 60000 };
  std::chrono::milliseconds mRequestTimeout{ 60000 };
};

/** \brief One request that a server refused for one of its limits. */
struct RequestRefusal
{
  RequestLimit mLimit = RequestLimit::Memory;
  /** Memory of the refused request. */
  std::size_t mBytes = 0;
  /** Memory of all requests and answers of the server at that time. */
  std::size_t mHeldBytes = 0;
};

using RequestRefusalObserver = std::function<void(const RequestRefusal&)>;

/** \brief What a server holds for requests, and how often it refused one. */
struct RequestMemoryCounters
{
  std::uint64_t mRefusedForMemory = 0;
  std::uint64_t mRefusedForTime = 0;
  std::size_t mHeldBytes = 0;
};

namespace detail {

/** \brief Account of the memory of a server's requests and answers.
 *
 * An unfinished request is charged as its bytes arrive, a finished one and its
 * answer until the answer is written. If the account is exhausted, the largest
 * unfinished request is refused; a request that itself is the largest is
 * refused instead. Finished requests are never removed from the account. An
 * eighth of it is reserved for small requests, so that large ones cannot keep
 * out reports, queries and operators. Thread-safe. */
class RequestMemory
{
public:
  using Time = std::chrono::steady_clock::time_point;

  /** A request of up to this size may use the reserve. */
  static constexpr std::size_t kSmallRequestBytes = 32768;
  /** Unit in which unfinished requests are charged. */
  static constexpr std::size_t kBlockBytes = 4096;

  /** \brief An unfinished request. Must be removed before it is destroyed. */
  class Request
  {
  public:
    Request() = default;
    Request(const Request&) = delete;
    Request& operator=(const Request&) = delete;
    virtual ~Request() = default;

    /** Whether the connection has no earlier request in progress, whose answer
     * would be lost with it. */
    virtual bool MayBeRefused() const = 0;

    /** Starts to answer the request with the error, and to close its
     * connection. Without an error, the connection is closed without an answer.
     * Must not call the account. */
    virtual void Refuse(std::optional<Error> aError) = 0;

  private:
    friend class RequestMemory;
    std::size_t mCharged = 0;
    Time mDeadline{};
    bool mIsListed = false;
    bool mIsRefused = false;
    bool mIsCandidate = false;
  };

  /** \param aObserver called for each refusal; may be empty */
  explicit RequestMemory(
    std::size_t aMaxBytes = std::numeric_limits<std::size_t>::max(),
    RequestRefusalObserver aObserver = {});

  /** Sets the size and the deadline of an unfinished request. This or another
   * request is refused if there is not enough memory. */
  void Update(Request& aRequest, std::size_t aBytes, Time aDeadline);

  /** Ends the charge of a request that is finished or closed. */
  void Remove(Request& aRequest);

  /** Memory that a finished request takes until it is answered: its text, its
   * state, and the copies of it that are decoded, passed on and queued. Of a
   * large one, only one copy is made at a time. */
  static std::size_t InProgressBytes(std::size_t aBytes);

  /** Charges a finished request. \return false if there is not enough memory;
   * then nothing is charged. */
  bool Acquire(std::size_t aBytes);

  /** Charges an answer, also if there is not enough memory: its request has
   * run already. */
  void Hold(std::size_t aBytes);

  /** Ends a charge made by Acquire() or Hold(). */
  void Release(std::size_t aBytes);

  /** Refuses the requests whose deadline has passed. */
  void RefuseExpired(Time aNow);

  RequestMemoryCounters Counters() const;

  /** The error with which a request is refused for want of memory. */
  static Error ExhaustedError();

private:
  using Refusals = std::vector<RequestRefusal>;

  bool MakeRoom(std::size_t aGrowth, std::size_t aTotal, Refusals& aRefusals);
  void RefuseRequest(Request& aRequest,
                     RequestLimit aLimit,
                     Refusals& aRefusals);
  void List(Request& aRequest);
  void Unlist(Request& aRequest);
  void Notify(const Refusals& aRefusals) const;

  const std::size_t mMaxBytes;
  const RequestRefusalObserver mObserver;
  mutable std::mutex mMutex;
  std::size_t mHeldBytes = 0;
  /** Part of mHeldBytes whose requests are refused and about to be closed. */
  std::size_t mReturningBytes = 0;
  std::uint64_t mRefusedForMemory = 0;
  std::uint64_t mRefusedForTime = 0;
  std::set<std::pair<std::size_t, Request*>> mBySize;
  std::set<std::pair<Time, Request*>> mByDeadline;
};

/** \brief The charge of a finished request or of an answer. */
class HeldMemory
{
public:
  /** Takes over a charge that was made before. */
  HeldMemory(std::shared_ptr<RequestMemory> aMemory, std::size_t aBytes)
    : mMemory(std::move(aMemory))
    , mBytes(aBytes)
  {
  }
  HeldMemory(const HeldMemory&) = delete;
  HeldMemory& operator=(const HeldMemory&) = delete;
  ~HeldMemory() { mMemory->Release(mBytes); }

private:
  const std::shared_ptr<RequestMemory> mMemory;
  const std::size_t mBytes;
};

}
}
