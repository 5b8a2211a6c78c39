#pragma once

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

/** \brief Maximum times from the first byte of a request. */
struct ArrivalTimeouts
{
  std::chrono::milliseconds mHeader{ 60000 };
  std::chrono::milliseconds mRequest{ 60000 };
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
                  ArrivalTimeouts aTimeouts);
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
  void AddBytes(std::size_t aBytes) { mBytes += aBytes; }
  void EndHeader() { mHasHeader = true; }

  /** Ends the charge of a request that has arrived completely.
   * \return its size */
  std::size_t Finish();

  /** Charges what has arrived. */
  void Settle();

  /** Sets how a task is run on the thread of the connection, and how its
   * pending read is cancelled. */
  void Attach(Post aPost, Task aCancelRead);
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

private:
  void CancelRead();

  const std::shared_ptr<RequestMemory> mMemory;
  const std::shared_ptr<ConnectionState> mConnection;
  const ArrivalTimeouts mTimeouts;
  bool mHasBegun = false;
  bool mHasHeader = false;
  bool mIsCharged = false;
  std::size_t mBytes = 0;
  RequestMemory::Time mBeganAt{};

  mutable std::mutex mMutex;
  Post mPost;
  Task mCancelRead;
  bool mIsDetached = false;
  std::optional<Refusal> mRefusal;
};

}
