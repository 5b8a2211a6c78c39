#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "Base/EnumNames.h"
#include "Dispatch/JobSubmission.h"
#include "Dispatch/WorkerReport.h"

namespace almondspoke::dispatch {

/** Orders of a leader are refused once a worker has seen a higher fence. */
using Fence = std::uint64_t;

/** Number of one start of a task; rises with each start. */
using RunNumber = std::uint64_t;

/** A time on a worker's own clock, in milliseconds. */
using WorkerTime = std::int64_t;

/** \brief One start of a task. */
struct RunId
{
  TaskId mTask;
  RunNumber mNumber = 0;
};

/** \brief Where an order goes and under whose lead. */
struct OrderTarget
{
  WorkerBoot mBoot;
  std::string mAddress;
  std::uint32_t mMaxConnections = 64;
  Fence mFence = 0;
};

/** \brief Order to start a task. */
struct StartOrder
{
  OrderTarget mTarget;
  RunId mRun;
  std::string mPayload;
  /** Progress of an earlier run to go on from; empty for none. */
  std::string mCheckpoint;
  /** End of the lease of everything on the worker. */
  WorkerTime mLeaseUntil = 0;
};

/** \brief Order to stop a run, also one that has not arrived yet. */
struct StopOrder
{
  OrderTarget mTarget;
  RunId mRun;
};

/** \brief Renews the lease and asks for the lists of runs. */
struct HoldOrder
{
  OrderTarget mTarget;
  /** End of the lease, or zero to leave it as it is. */
  WorkerTime mLeaseUntil = 0;
  /** Ends up to this number may be forgotten. */
  std::uint64_t mAcknowledged = 0;
  /** Time that the answer waits for the next end. */
  std::chrono::milliseconds mWait{ 0 };
};

/** \brief How an order ended. */
enum class OrderOutcome : std::uint8_t
{
  Done,
  /** Refused: a higher fence has been seen. */
  Fenced,
  /** Refused: that run, or a higher one, has ended or was stopped there. */
  Superseded,
  /** Refused: the order's lease had ended. */
  Late,
  /** Refused for want of room. */
  NoRoom,
  /** Refused without effect by a worker that is not well. */
  Unhealthy,
  /** The worker is another boot than the one addressed. */
  OtherBoot,
  /** Surely not sent. */
  NotSent,
  /** No answer: the order may have been, or may yet be, carried out. */
  Unknown,
  /** An answer that this instance cannot make sense of. */
  Failed
};

inline constexpr std::array<EnumName<OrderOutcome>, 10> kOrderOutcomeNames = { {
  { OrderOutcome::Done, "done" },
  { OrderOutcome::Fenced, "fenced" },
  { OrderOutcome::Superseded, "superseded" },
  { OrderOutcome::Late, "late" },
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
};

/** \brief How a run ended. */
enum class RunEnd : std::uint8_t
{
  Done,
  Failed,
  Stopped,
  /** Its lease ended. */
  Lapsed,
  /** Another member of its gang ended. */
  Broken,
  /** It waited in vain for the rest of its gang. */
  Alone
};

inline constexpr std::array<EnumName<RunEnd>, 6> kRunEndNames = { {
  { RunEnd::Done, "done" },
  { RunEnd::Failed, "failed" },
  { RunEnd::Stopped, "stopped" },
  { RunEnd::Lapsed, "lapsed" },
  { RunEnd::Broken, "broken" },
  { RunEnd::Alone, "alone" },
} };

inline std::string_view
NameOf(RunEnd aEnd)
{
  return NameOf(kRunEndNames, aEnd);
}

/** \brief One run that is on a worker. */
struct ListedRun
{
  RunId mRun;
  std::string mCheckpoint;
  /** Part of the work that is done, in percent. */
  std::uint32_t mPercent = 0;
};

/** \brief One run that has ended on a worker. */
struct ListedEnd
{
  /** Grows from 1 in each boot. */
  std::uint64_t mNumber = 0;
  RunId mRun;
  RunEnd mEnd = RunEnd::Failed;
  std::string mCheckpoint;
};

/** \brief Answer to a HoldOrder. */
struct HoldResult
{
  OrderOutcome mOutcome = OrderOutcome::Unknown;
  WorkerTime mClock = 0;
  /** Start of the boot that answered; zero if the answer does not say. */
  std::uint64_t mBornMs = 0;
  std::vector<ListedRun> mRunning;
  std::vector<ListedEnd> mEnded;
};

/** \brief Sends orders to workers.
 *
 * Each callback is called exactly once, and never from within the call that
 * it is given to. */
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
};

}
