#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "Base/InstanceIdentity.h"
#include "Base/Result.h"
#include "Jobs/SubmissionKey.h"

namespace almondspoke {

/** Number of one registration of an executor in a submission group. Each
 * registration gets a higher number than all earlier ones. */
using ExecutorEpoch = std::uint64_t;

/** Random number that identifies one attempt to claim a key. */
using ClaimantToken = std::uint64_t;

/** \brief Durations of an executor lease, counted from the grant. */
struct LeaseGrant
{
  /** Active lease, for an epoch with open claims. */
  std::chrono::milliseconds mDuration{ 0 };
  /** Idle lease, for an epoch without open claims. Zero from a granter that
   * applies mDuration to all epochs. */
  std::chrono::milliseconds mIdleDuration{ 0 };
};

/** \brief Kind of work that a submission starts. */
enum class WorkKind : std::uint8_t
{
  Request = 0,
  Job = 1
};

/** \brief Limits of the state of a submission group. They are replicated, so
 * that all replicas apply the same ones. */
struct SubmissionLimits
{
  /** Stored claims, including open ones. */
  std::uint32_t mMaxClaims = 200'000;
  /** Stored plain keys: those with a claim and expired ones. */
  std::uint32_t mMaxPlainKeys = 500'000;
  /** Time for which a claim and its answer are stored, in milliseconds after
   * the claim. */
  std::uint64_t mRetentionMs = 3'600'000;
  /** Time for which an expired plain key is refused, in milliseconds after its
   * claim was dropped. */
  std::uint64_t mPlainKeyRefusalMs = 24 * 3'600'000ULL;
  /** Size of the largest answer that is stored, in bytes. */
  std::uint32_t mMaxAnswerBytes = 256 * 1024;
  /** Total size of stored answers, in bytes; the oldest are dropped first. */
  std::uint64_t mMaxTotalAnswerBytes = 16'777'216;
};

/** \brief Registers an instance under a new executor epoch. A repeated command
 * with the same nonce returns the epoch of the first one. */
struct RegisterExecutorCommand
{
  InstanceName mInstance;
  std::uint64_t mNonce = 0;
};

/** \brief Claims a key for an executor. */
struct ClaimCommand
{
  KeyHash mKey;
  std::uint32_t mKeyEpoch = 0;
  std::uint64_t mBodyHash = 0;
  WorkKind mKind = WorkKind::Request;
  ClaimantToken mClaimant = 0;
  ExecutorEpoch mExecutor = 0;
};

struct RecordAnswerCommand
{
  KeyHash mKey;
  ExecutorEpoch mExecutor = 0;
  /** False if the answer was too large to be replicated; mAnswer is then
   * empty. */
  bool mIncludesAnswer = true;
  std::string mAnswer;
};

/** \brief Releases a claim whose work certainly did not start. */
struct ReleaseClaimCommand
{
  KeyHash mKey;
  std::uint32_t mKeyEpoch = 0;
  ClaimantToken mClaimant = 0;
};

/** \brief Declares an executor epoch lost, after which its open claims have an
 * unknown outcome. */
struct ExecutorLostCommand
{
  ExecutorEpoch mExecutor = 0;
};

/** \brief Advances the replicated clock by the time elapsed at the leader, and
 * sets the limits. */
struct AdvanceClockCommand
{
  std::uint64_t mElapsedMs = 0;
  SubmissionLimits mLimits;
};

/** \brief Outcome of a command or lookup on a key. */
enum class ClaimOutcome : std::uint8_t
{
  /** The claimant of the command holds the claim. */
  Won = 0,
  /** A claim on the key is open, and the command did not win it. */
  InProgress = 1,
  /** The answer is stored. */
  Answered = 2,
  /** The work was done; its answer was too large to be stored or has been
   * dropped. */
  AnswerNotKept = 3,
  /** The executor was lost; it is unknown whether the work was done. */
  ExecutorLost = 4,
  /** The key was used with another body. */
  Conflict = 5,
  /** The claim on the key, if there was one, has been dropped. */
  Expired = 6,
  /** The key epoch has not been issued yet. */
  EpochNotIssued = 7,
  /** The executor epoch of the command was declared lost. */
  ExecutorFenced = 8,
  /** The claim has been released; its claimant cannot win it again. */
  Released = 9,
  /** The limit of claims is reached and none can be dropped. */
  TooManyOpenClaims = 10,
  /** The limit of stored plain keys is reached. */
  TooManyPlainKeys = 11,
  /** There is no claim on the key. */
  Unknown = 12,
  /** The answer is recorded. */
  Recorded = 13,
  /** The command could not be decoded. */
  Malformed = 14
};

/** \brief Response to a command or lookup on a key. */
struct ClaimResponse
{
  ClaimOutcome mOutcome = ClaimOutcome::Unknown;
  /** Instance that holds the claim, for InProgress. */
  InstanceName mExecutor;
  /** The stored answer, for Answered. */
  std::string mAnswer;
  /** Key epoch to use in new keys. */
  std::uint32_t mCurrentKeyEpoch = 0;
};

struct RegisterExecutorResponse
{
  ExecutorEpoch mEpoch = 0;
};

std::string
Encode(const RegisterExecutorCommand& aCommand);
std::string
Encode(const ClaimCommand& aCommand);
std::string
Encode(const RecordAnswerCommand& aCommand);
std::string
Encode(const ReleaseClaimCommand& aCommand);
std::string
Encode(const ExecutorLostCommand& aCommand);
std::string
Encode(const AdvanceClockCommand& aCommand);
std::string
Encode(const ClaimResponse& aResponse);
std::string
Encode(const RegisterExecutorResponse& aResponse);

/** Decodes a response. Error: Internal if it is malformed. */
Result<ClaimResponse>
DecodeClaimResponse(std::string_view aBytes);
Result<RegisterExecutorResponse>
DecodeRegisterExecutorResponse(std::string_view aBytes);

/** \brief Receives the decoded form of a command. */
class SubmissionCommandVisitor
{
public:
  virtual ~SubmissionCommandVisitor() = default;
  virtual std::string Visit(const RegisterExecutorCommand& aCommand) = 0;
  virtual std::string Visit(const ClaimCommand& aCommand) = 0;
  virtual std::string Visit(const RecordAnswerCommand& aCommand) = 0;
  virtual std::string Visit(const ReleaseClaimCommand& aCommand) = 0;
  virtual std::string Visit(const ExecutorLostCommand& aCommand) = 0;
  virtual std::string Visit(const AdvanceClockCommand& aCommand) = 0;
};

/** Decodes a command, passes it to the visitor and returns the encoded
 * response. A malformed command is not passed on; its response is
 * ClaimOutcome::Malformed. */
std::string
DecodeCommand(std::string_view aBytes, SubmissionCommandVisitor& aVisitor);

}
