#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <msgpack.hpp>

#include "Base/EnumNames.h"
#include "Dispatch/JobSubmission.h"
#include "Dispatch/Manifest.h"
#include "Dispatch/PeerTime.h"

namespace almondspoke::dispatch {

/** \brief Kind of a caller's request to a queue. */
enum class JobCallKind : std::uint8_t
{
  Submit = 0,
  /** Asks for the state of a job or, if the path names a queue, for the number
   * of accepted jobs that have not started. */
  Query = 1,
  Cancel = 2
};

inline constexpr std::array<EnumName<JobCallKind>, 3> kJobCallNames = { {
  { JobCallKind::Submit, "submit" },
  { JobCallKind::Query, "query" },
  { JobCallKind::Cancel, "cancel" },
} };

inline std::string_view
NameOf(JobCallKind aKind)
{
  return NameOf(kJobCallNames, aKind);
}

/** \brief A caller's request as a gateway sends it to the leader. */
struct JobCall
{
  JobCallKind mKind = JobCallKind::Query;
  std::string mHost;
  std::string mPath;
  /** Set for Submit only. The leader derives the job's id from the path. */
  JobSubmission mJob;
  /** Time in milliseconds for which the caller still waits for the reply. */
  std::uint32_t mWaitMs = 0;
  /** Number of leaders that received this call earlier and may have acted on
   * it. */
  std::uint32_t mEarlierSends = 0;
  /** True if the call is for the local leader of the data centre (see
   * LocalLeadership.h), not for an elected leader. */
  bool mForLocalLeader = false;
  /** Highest manifest version in the answers that the gateway has received. The
   * call must not be served with an older manifest. */
  std::uint64_t mManifestVersion = 0;

  MSGPACK_DEFINE(mKind,
                 mHost,
                 mPath,
                 mJob,
                 mWaitMs,
                 mEarlierSends,
                 mForLocalLeader,
                 mManifestVersion)
};

/** Key of the job or queue of a call; does not depend on the gateway. */
inline std::string
CallKeyOf(const JobCall& aCall)
{
  return aCall.mHost + aCall.mPath;
}

/** \brief State of a job as reported to its caller. */
enum class JobState : std::uint8_t
{
  Queued = 0,
  Running = 1,
  Completed = 2,
  Failed = 3,
  Cancelled = 4
};

/** \brief How a call ends. */
enum class JobReplyKind : std::uint8_t
{
  /** The job is stored, or it has ended and mState says how. */
  Accepted = 0,
  /** Reply to a Query for a job: mState is its state. */
  State = 1,
  /** Reply to a Query for a queue: mPending is the number of accepted jobs that
   * have not started. */
  Count = 2,
  UnknownQueue = 3,
  UnknownJob = 4,
  Malformed = 5,
  /** The job was not accepted and does not run; mRetryAfterMs is the time after
   * which capacity is expected. */
  Refused = 6,
  /** The call cannot be served now and had no effect. */
  Unavailable = 7,
  /** The job may have run, completely or in part; the caller may send it again.
   */
  Unknown = 8
};

inline constexpr std::array<EnumName<JobReplyKind>, 9> kJobReplyNames = { {
  { JobReplyKind::Accepted, "accepted" },
  { JobReplyKind::State, "state" },
  { JobReplyKind::Count, "count" },
  { JobReplyKind::UnknownQueue, "unknown-queue" },
  { JobReplyKind::UnknownJob, "unknown-job" },
  { JobReplyKind::Malformed, "malformed" },
  { JobReplyKind::Refused, "refused" },
  { JobReplyKind::Unavailable, "unavailable" },
  { JobReplyKind::Unknown, "unknown" },
} };

inline constexpr std::array<EnumName<JobState>, 5> kJobStateNames = { {
  { JobState::Queued, "queued" },
  { JobState::Running, "running" },
  { JobState::Completed, "completed" },
  { JobState::Failed, "failed" },
  { JobState::Cancelled, "cancelled" },
} };

inline std::string_view
NameOf(JobReplyKind aKind)
{
  return NameOf(kJobReplyNames, aKind);
}

inline std::string_view
NameOf(JobState aState)
{
  return NameOf(kJobStateNames, aState);
}

/** \brief The answer to a JobCall. */
struct JobReply
{
  JobReplyKind mKind = JobReplyKind::Unavailable;
  JobState mState = JobState::Queued;
  std::uint32_t mPending = 0;
  std::uint32_t mRetryAfterMs = 0;
  std::string mMessage;
  /** Manifest version in force at the leader that answered. */
  std::uint64_t mManifestVersion = 0;

  MSGPACK_DEFINE(mKind,
                 mState,
                 mPending,
                 mRetryAfterMs,
                 mMessage,
                 mManifestVersion)
};

/** \brief Tells the leader that the caller of a submission has closed its
 * connection. */
struct CallerLeft
{
  std::string mHost;
  std::string mPath;
  /** True if the caller left well before its own timeout, so that it probably
   * does not want the result any more. */
  bool mBeforeTimeout = false;

  MSGPACK_DEFINE(mHost, mPath, mBeforeTimeout)
};

/** \brief What a coordinator knows about the leader. */
struct LeaderStatus
{
  /** True if the answering coordinator is the elected leader and not draining.
   */
  bool mLeads = false;
  std::uint64_t mTerm = 0;
  /** Elected leader; empty if none is known. */
  std::string mLeader;
  /** Coordinators that the answering one knows, itself included. */
  std::vector<std::string> mMembers;
  /** True while the answering coordinator is the local leader of its data
   * centre. */
  bool mLeadsLocally = false;
  std::string mDataCentre;
  /** True if the answering coordinator sends orders for a leader (see
   * OrderRelay). */
  bool mRelaysOrders = false;
  /** Clock of the answering coordinator. */
  PeerTime mClock = 0;
  /** Version and limits of the manifest in force at the answering coordinator;
   * zero if it has none. */
  std::uint64_t mManifestVersion = 0;
  CallerLimits mCallerLimits;

  MSGPACK_DEFINE(mLeads,
                 mTerm,
                 mLeader,
                 mMembers,
                 mLeadsLocally,
                 mDataCentre,
                 mRelaysOrders,
                 mClock,
                 mManifestVersion,
                 mCallerLimits)
};

/** \brief Requests the LeaderStatus of a coordinator. */
struct LeaderQuery
{
  /** True if the sender is a coordinator. */
  bool mFromCoordinator = false;
  std::string mDataCentre;
  /** True if the sender is a gateway that has found no elected leader for some
   * time and asks the receiver to become the local leader. */
  bool mWantsLocalLeader = false;
  /** Keys (CallKeyOf) of the calls that an elected leader may still act on. A
   * local leader must not run them. */
  std::vector<std::string> mUnresolvedCalls;

  MSGPACK_DEFINE(mFromCoordinator,
                 mDataCentre,
                 mWantsLocalLeader,
                 mUnresolvedCalls)
};

/** RPC methods between instances. */
inline constexpr const char* kJobCallMethod = "dispatch.call";
inline constexpr const char* kCallerLeftMethod = "dispatch.caller-left";
inline constexpr const char* kLeaderStatusMethod = "dispatch.leader";
inline constexpr const char* kReportsMethod = "dispatch.reports";

}

MSGPACK_ADD_ENUM(almondspoke::dispatch::JobCallKind)
MSGPACK_ADD_ENUM(almondspoke::dispatch::JobState)
MSGPACK_ADD_ENUM(almondspoke::dispatch::JobReplyKind)
