#pragma once

#include <atomic>
#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>

#include "Base/Error.h"
#include "Transport/ConnectionTable.h"
#include "Transport/RequestMemory.h"

namespace almondspoke::detail {

/** \brief The RequestLimits of a server, which may change while it runs.
 * Thread-safe. */
class ArrivalLimits
{
public:
  explicit ArrivalLimits(const RequestLimits& aLimits) { Set(aLimits); }

  void Set(const RequestLimits& aLimits)
  {
    mMaxHeaderBytes = aLimits.mMaxHeaderBytes;
    mMaxBodyBytes = aLimits.mMaxBodyBytes;
    mHeaderTimeout = aLimits.mHeaderTimeout;
    mRequestTimeout = aLimits.mRequestTimeout;
  }

  std::size_t MaxHeaderBytes() const { return mMaxHeaderBytes; }
  std::size_t MaxBodyBytes() const { return mMaxBodyBytes; }
  std::chrono::milliseconds HeaderTimeout() const { return mHeaderTimeout; }
  std::chrono::milliseconds RequestTimeout() const { return mRequestTimeout; }

private:
  std::atomic<std::size_t> mMaxHeaderBytes{ 0 };
  std::atomic<std::size_t> mMaxBodyBytes{ 0 };
  std::atomic<std::chrono::milliseconds> mHeaderTimeout{};
  std::atomic<std::chrono::milliseconds> mRequestTimeout{};
};

/** \brief The request that one connection is receiving.
 *
 * The parser counts its bytes; Settle() charges them after each read. Begin()
 * to Settle() are called on the thread of the connection only. */
class ArrivingRequest
  : public RequestMemory::Request
  , public std::enable_shared_from_this<ArrivingRequest>
{
public:
  using Task = std::function<void()>;
  using Post = std::function<void(Task)>;

  ArrivingRequest(std::shared_ptr<RequestMemory> aMemory,
                  std::shared_ptr<ConnectionState> aConnection,
                  std::shared_ptr<const ArrivalLimits> aLimits);
  ArrivingRequest(const ArrivingRequest&) = delete;
  ArrivingRequest& operator=(const ArrivingRequest&) = delete;
  ~ArrivingRequest() override;

  /** \brief Makes a request the one that the current thread parses. */
  class Scope
  {
  public:
    explicit Scope(ArrivingRequest& aRequest);
    Scope(const Scope&) = delete;
    Scope& operator=(const Scope&) = delete;
    ~Scope();

  private:
    ArrivingRequest* const mPrevious;
  };

  /** The request that the current thread parses; null if there is none. */
  static ArrivingRequest* Current();

  void Begin();
  /** Counts memory that is not text of the request. */
  void AddRecord(std::size_t aBytes) { mBytes += aBytes; }
  /** Counts text of the header. Returns false if it exceeds its limit. */
  bool AddHeader(std::size_t aBytes);
  /** Counts text of the body. Returns false if it exceeds its limit. */
  bool AddBody(std::size_t aBytes);
  std::size_t MaxBodyBytes() const { return mLimits->MaxBodyBytes(); }
  void EndHeader() { mHasHeader = true; }

  /** Ends the charge of a request that has arrived completely.
   * \return its size */
  std::size_t Finish();

  /** Charges what has arrived. */
  void Settle();

  /** Sets how a task is run on the thread of the connection, and how its
   * pending reads and writes are cancelled. */
  void Attach(Post aPost, Task aCancel);
  bool IsAttached() const;

  /** Ends the charge; the connection is closed. */
  void Detach();

  /** \brief A refusal that the connection must carry out. */
  struct Refusal
  {
    std::optional<Error> mError;
  };

  /** Returns and clears the refusal of this request. */
  std::optional<Refusal> TakeRefusal();

  bool MayBeRefused() const override;
  void Refuse(std::optional<Error> aError) override;

  /** Closes the connection, unless a request arrives completely before that.
   * Thread-safe. */
  void Displace();

  /** Continues to do so after a read that has ended no request. */
  void ContinueDisplacement();

  /** Returns and clears whether the connection must be closed for that. */
  bool TakeDisplacement();

private:
  void PostCancel(bool (ArrivingRequest::*aMayCancel)() const);
  bool IsRefused() const { return mRefusal.has_value(); }
  bool MayBeDisplaced() const
  {
    return mIsDisplaced && !mConnection->HasUnanswered();
  }

  const std::shared_ptr<RequestMemory> mMemory;
  const std::shared_ptr<ConnectionState> mConnection;
  const std::shared_ptr<const ArrivalLimits> mLimits;
  bool mHasBegun = false;
  bool mHasHeader = false;
  bool mIsCharged = false;
  std::size_t mBytes = 0;
  std::size_t mHeaderBytes = 0;
  std::size_t mBodyBytes = 0;
  RequestMemory::Time mBeganAt{};

  mutable std::mutex mMutex;
  Post mPost;
  Task mCancel;
  bool mIsDetached = false;
  std::optional<Refusal> mRefusal;
  std::atomic<bool> mIsDisplaced{ false };
};

}
