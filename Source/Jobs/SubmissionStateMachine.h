#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <tuple>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "Consensus/StateMachine.h"
#include "Jobs/SubmissionMessages.h"

namespace almondspoke {

/** \brief Registration of a live executor of a submission group. */
struct ExecutorRegistration
{
  InstanceName mInstance;
  ExecutorEpoch mEpoch = 0;
  std::uint64_t mNonce = 0;
  /** Open claims of the epoch; the same on all replicas. */
  std::uint64_t mOpenClaims = 0;
  /** Claims won under the epoch since this replica started or restored a
   * snapshot. Lets the leader detect claims that were opened and closed between
   * two checks. */
  std::uint64_t mClaimsWon = 0;
};

/** \brief Sizes of the state of a submission group, for metrics. */
struct SubmissionCounts
{
  std::size_t mClaims = 0;
  std::size_t mAnswers = 0;
  std::uint64_t mAnswerBytes = 0;
  std::size_t mExpiredPlainKeys = 0;
  std::uint32_t mKeyEpoch = 0;
  std::uint32_t mMinAcceptedKeyEpoch = 0;
};

/** \brief Replicated state machine of the claims and answers of one data
 * centre.
 *
 * A claim is open, answered or released. An open claim whose executor epoch is
 * no longer registered counts as lost. Claims are therefore not updated when an
 * executor is declared lost, which takes constant time. Time advances only by
 * AdvanceClockCommand, so that all replicas agree on it. The public const
 * functions may be called from any thread. */
class SubmissionStateMachine
  : public StateMachine
  , private SubmissionCommandVisitor
{
public:
  std::string Apply(LogIndex aIndex, std::string_view aCommand) override;
  std::string TakeSnapshot() const override;
  Result<void> RestoreSnapshot(std::string_view aSnapshot) override;

  /** Returns the state of a key. */
  ClaimResponse Lookup(const KeyHash& aKey, std::uint32_t aKeyEpoch) const;

  /** Returns the live executors. */
  std::vector<ExecutorRegistration> Executors() const;
  /** True if the epoch is registered and was not declared lost. */
  bool IsLive(ExecutorEpoch aEpoch) const;
  SubmissionCounts Counts() const;

private:
  enum class ClaimState : std::uint8_t
  {
    /** No answer is recorded. */
    Open = 0,
    /** The answer is in mAnswers. */
    Answered = 1,
    /** The work was done; the answer is not stored. */
    AnswerNotKept = 2,
    Released = 3
  };

  struct Claim
  {
    std::uint64_t mBodyHash = 0;
    ClaimantToken mClaimant = 0;
    ExecutorEpoch mExecutor = 0;
    std::uint64_t mClaimedAtMs = 0;
    std::uint32_t mKeyEpoch = 0;
    ClaimState mState = ClaimState::Open;
    WorkKind mKind = WorkKind::Request;
  };

  struct ExpiredPlainKey
  {
    /** KeyHash::mHigh of the key. */
    std::uint64_t mHash = 0;
    std::uint64_t mExpiredAtMs = 0;
  };

  using Claims = std::unordered_map<KeyHash, Claim, KeyHashHasher>;
  using Answers = std::unordered_map<KeyHash, std::string, KeyHashHasher>;

  std::string Visit(const RegisterExecutorCommand& aCommand) override;
  std::string Visit(const ClaimCommand& aCommand) override;
  std::string Visit(const RecordAnswerCommand& aCommand) override;
  std::string Visit(const ReleaseClaimCommand& aCommand) override;
  std::string Visit(const ExecutorLostCommand& aCommand) override;
  std::string Visit(const AdvanceClockCommand& aCommand) override;

  /** A claim in a snapshot: key hash (high, low), body hash, claimant,
   * executor, claim time, key epoch, state and kind. */
  using SnapshotClaim = std::tuple<std::uint64_t,
                                   std::uint64_t,
                                   std::uint64_t,
                                   ClaimantToken,
                                   ExecutorEpoch,
                                   std::uint64_t,
                                   std::uint32_t,
                                   std::uint8_t,
                                   WorkKind>;

  void ReadSnapshot(std::string_view aSnapshot);
  void ReadClaim(const SnapshotClaim& aFields);
  void CheckAnswersMatchClaims() const;

  std::string EncodeOutcome(ClaimOutcome aOutcome) const;
  ClaimResponse DescribeClaim(const KeyHash& aKey, const Claim& aClaim) const;
  /** Handles a claim on a key that has a claim already. */
  ClaimResponse ClaimExistingKey(const ClaimCommand& aCommand, Claim& aClaim);
  /** Returns Won if a key that has no claim may be claimed, otherwise the
   * reason. */
  ClaimOutcome CheckNewKey(const KeyHash& aKey, std::uint32_t aKeyEpoch) const;
  void CountClaimOpened(ExecutorEpoch aEpoch);
  void CountClaimClosed(ExecutorEpoch aEpoch);
  void InsertClaim(const KeyHash& aKey, const Claim& aClaim);
  /** Evicts a claim if the limit is reached; false if that is impossible. */
  bool MakeRoomForClaim();
  /** Evicts the oldest claim that is not open; false if none was found among
   * the claims examined. */
  bool EvictOldest();
  void Evict(Claims::iterator aClaim);
  void ExpireByTime();
  /** Drops the expired plain keys that need no longer be refused. */
  void DropOldExpiredKeys();
  void StoreAnswer(const KeyHash& aKey, const std::string& aAnswer);
  void DropAnswer(const KeyHash& aKey);
  void AdvanceKeyEpoch();
  /** IsLive() for callers that hold mMutex. */
  bool IsLiveLocked(ExecutorEpoch aEpoch) const;

  mutable std::mutex mMutex;
  SubmissionLimits mLimits;
  /** Sum of AdvanceClockCommand::mElapsedMs. */
  std::uint64_t mNowMs = 0;
  /** Key epoch to use in new keys. */
  std::uint32_t mKeyEpoch = 1;
  /** Keys with a lower key epoch and without a claim are expired. Does not
   * apply to plain keys. */
  std::uint32_t mMinAcceptedKeyEpoch = 1;
  std::uint64_t mKeyEpochStartedMs = 0;
  std::uint32_t mClaimsInKeyEpoch = 0;
  ExecutorEpoch mNextExecutorEpoch = 1;
  std::map<ExecutorEpoch, ExecutorRegistration> mExecutors;
  Claims mClaims;
  /** Keys of mClaims, oldest first. An open claim that eviction meets moves to
   * the end. */
  std::deque<KeyHash> mClaimOrder;
  /** Number of claims on plain keys. */
  std::size_t mPlainKeyClaims = 0;
  Answers mAnswers;
  /** Keys of mAnswers, oldest first. May contain keys whose answer has been
   * dropped. */
  std::deque<KeyHash> mAnswerOrder;
  std::uint64_t mAnswerBytes = 0;
  /** KeyHash::mHigh of plain keys whose claim was dropped and that are still
   * refused. */
  std::unordered_set<std::uint64_t> mExpiredPlainKeys;
  /** Entries of mExpiredPlainKeys, oldest first. */
  std::deque<ExpiredPlainKey> mExpiredPlainKeyOrder;
};

}
