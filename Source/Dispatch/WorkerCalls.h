#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include <msgpack.hpp>

#include "Base/EnumNames.h"
#include "Dispatch/JobSubmission.h"
#include "Dispatch/WorkerReport.h"

namespace almondspoke::dispatch {

/** Fencing token of a leader: a worker refuses an order whose fence is lower
 * than the highest one it has seen. */
using Fence = std::uint64_t;

/** Number of a run of a task; increases with each start. */
using RunNumber = std::uint64_t;

/** Time on a worker's own clock in milliseconds. */
using WorkerTime = std::int64_t;

/** \brief Identifies a run, which is one start of a task. */
struct RunId
{
  TaskId mTask;
  RunNumber mNumber = 0;

  MSGPACK_DEFINE(mTask, mNumber)
};

/** \brief Worker that an order is for, and the fence of the leader that gives
 * it. */
struct OrderTarget
{
  WorkerBoot mBoot;
  std::string mAddress;
  std::uint32_t mMaxConnections = 64;
  Fence mFence = 0;
  std::string mDataCentre;

  MSGPACK_DEFINE(mBoot, mAddress, mMaxConnections, mFence, mDataCentre)
};

/** \brief Order to start a task. */
struct StartOrder
{
  OrderTarget mTarget;
  RunId mRun;
  std::string mPayload;
  /** Progress of an earlier run to continue from; empty for none. */
  std::string mCheckpoint;
  /** New end of the worker's lease, which covers all its runs. */
  WorkerTime mLeaseEnd = 0;
};

/** \brief Order to stop a run; it may arrive before the order to start it. */
struct StopOrder
{
  OrderTarget mTarget;
  RunId mRun;
};

/** \brief Order that renews the worker's lease and requests the lists of its
 * running and ended runs. */
struct HoldOrder
{
  OrderTarget mTarget;
  /** New end of the lease; zero leaves it unchanged. */
  WorkerTime mLeaseEnd = 0;
  /** The worker may drop ended runs up to this number (EndedRun::mNumber) from
   * its list. */
  std::uint64_t mAcknowledgedEnds = 0;
  /** Longest time that the worker delays the answer until the next run ends. */
  std::chrono::milliseconds mMaxWait{ 0 };
};

/** \brief Outcome of an order. */
enum class OrderOutcome : std::uint8_t
{
  Done,
  /** Refused: a higher fence has been seen. */
  Fenced,
  /** Refused: this run, or a later one of the task, has already ended or been
   * stopped on the worker. */
  Superseded,
  /** Refused: the lease in the order had ended when it arrived. */
  LeaseExpired,
  /** Refused: the worker lacks the capacity. */
  NoRoom,
  /** Refused without effect by a worker that is unhealthy. */
  Unhealthy,
  /** Another boot than the addressed one has answered. */
  OtherBoot,
  /** The order was certainly not sent. */
  NotSent,
  /** No answer: the order may have been executed, or may still be. */
  Unknown,
  /** The answer cannot be interpreted. */
  Failed
};

inline constexpr std::array<EnumName<OrderOutcome>, 10> kOrderOutcomeNames = { {
  { OrderOutcome::Done, "done" },
  { OrderOutcome::Fenced, "fenced" },
  { OrderOutcome::Superseded, "superseded" },
  { OrderOutcome::LeaseExpired, "late" },
  { OrderOutcome::NoRoom, "no-room" },
  { OrderOutcome::Unhealthy, "unhealthy" },
  { OrderOutcome::OtherBoot, "other-boot" },
  { OrderOutcome::NotSent, "not-sent" },
  { OrderOutcome::Unknown, "unknown" },
  { OrderOutcome::Failed, "failed" },
} };

inline std::string_view
NameOf(OrderOutcome aOutcome)
{
  return NameOf(kOrderOutcomeNames, aOutcome);
}

/** \brief Answer to a start or a stop. */
struct OrderResult
{
  OrderOutcome mOutcome = OrderOutcome::Unknown;
  /** The worker's clock, or zero if the answer has none. */
  WorkerTime mClock = 0;

  MSGPACK_DEFINE(mOutcome, mClock)
};

/** \brief How a run ended on its worker. */
enum class RunEnd : std::uint8_t
{
  Done,
  Failed,
  Stopped,
  /** The worker's lease ended. */
  LeaseExpired,
  /** Another member of its gang ended. */
  GangMemberEnded,
  /** The other members of its gang did not start in time. */
  GangIncomplete
};

inline constexpr std::array<EnumName<RunEnd>, 6> kRunEndNames = { {
  { RunEnd::Done, "done" },
  { RunEnd::Failed, "failed" },
  { RunEnd::Stopped, "stopped" },
  { RunEnd::LeaseExpired, "lapsed" },
  { RunEnd::GangMemberEnded, "broken" },
  { RunEnd::GangIncomplete, "alone" },
} };

inline std::string_view
NameOf(RunEnd aEnd)
{
  return NameOf(kRunEndNames, aEnd);
}

/** \brief A run that is in progress on a worker. */
struct ActiveRun
{
  RunId mRun;
  std::string mCheckpoint;
  /** Completed part of the work in percent. */
  std::uint32_t mPercent = 0;

  MSGPACK_DEFINE(mRun, mCheckpoint, mPercent)
};

/** \brief A run that has ended on a worker. */
struct EndedRun
{
  /** Counts the ended runs of a boot from 1. */
  std::uint64_t mNumber = 0;
  RunId mRun;
  RunEnd mEnd = RunEnd::Failed;
  std::string mCheckpoint;

  MSGPACK_DEFINE(mNumber, mRun, mEnd, mCheckpoint)
};

/** \brief Answer to a HoldOrder. */
struct HoldResult
{
  OrderOutcome mOutcome = OrderOutcome::Unknown;
  WorkerTime mClock = 0;
  /** Start time of the boot that answered (see WorkerBoot); zero if the answer
   * lacks it. */
  std::uint64_t mStartTimeMs = 0;
  std::vector<ActiveRun> mRunning;
  std::vector<EndedRun> mEnded;
  /** False if an entry of the list of running runs could not be read. Such a
   * list does not show that any run is gone. */
  bool mIsRunningListComplete = true;
  /** False if the worker may have ended more runs than it lists at a time. Runs
   * of the further ends stand in neither list. */
  bool mIsEndListComplete = true;

  MSGPACK_DEFINE(mOutcome,
                 mClock,
                 mStartTimeMs,
                 mRunning,
                 mEnded,
                 mIsRunningListComplete,
                 mIsEndListComplete)
};

/** \brief Sends orders to workers.
 *
 * Each callback is called exactly once, and only after the function that it was
 * passed to has returned. */
class WorkerCalls
{
public:
  using OrderDone = std::function<void(const OrderResult&)>;
  using HoldDone = std::function<void(const HoldResult&)>;

  virtual ~WorkerCalls() = default;

  virtual void Start(const StartOrder& aOrder,
                     std::chrono::milliseconds aTimeout,
                     OrderDone aDone) = 0;
  virtual void Stop(const StopOrder& aOrder,
                    std::chrono::milliseconds aTimeout,
                    OrderDone aDone) = 0;
  virtual void Hold(const HoldOrder& aOrder,
                    std::chrono::milliseconds aTimeout,
                    HoldDone aDone) = 0;
  /** Returns whether orders would be sent now, as opposed to ended as NotSent
   * since this instance may not lead any more. */
  virtual bool MaySend() const { return true; }
};

}

MSGPACK_ADD_ENUM(almondspoke::dispatch::OrderOutcome)
MSGPACK_ADD_ENUM(almondspoke::dispatch::RunEnd)
