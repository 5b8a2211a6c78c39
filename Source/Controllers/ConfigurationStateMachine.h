#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "Consensus/StateMachine.h"
#include "Controllers/Configuration.h"
#include "Controllers/ConfigurationObserver.h"
#include "Controllers/RulesTextHistory.h"

namespace almondspoke {

/** \brief Limits of the state that the configuration group stores. They must be
 * equal on all instances so that the replicas stay identical. */
struct ConfigurationLimits
{
  /** Maximum number of request ids whose responses are stored for retries. */
  std::size_t mMaxRequestIds = 10000;
  /** Maximum number of changes in the history. */
  std::size_t mMaxChanges = 1000;
  /** Maximum size of the deltas to earlier rules texts, which are stored for
   * rollback. */
  std::size_t mMaxTextBytes = std::size_t{ 8 } << 20;
};

/** \brief The replicated configuration: the current rules, their history and
 * the responses to recent changes.
 *
 * A change is a compare-and-set on the base version and idempotent by its
 * request id. Versions only increase; a rollback creates a new version. */
class ConfigurationStateMachine : public StateMachine
{
public:
  ConfigurationStateMachine(ConfigurationLimits aLimits,
                            ConfigurationObserver& aObserver);

  std::string Apply(LogIndex aIndex, std::string_view aCommand) override;
  std::string TakeSnapshot() const override;
  Result<void> RestoreSnapshot(std::string_view aSnapshot) override;
  void BeginBatch() override;
  void EndBatch() override;

  /** The current version and its text. Thread-safe. */
  RulesText Current() const;

  /** A version and its text, if the text is still stored. Thread-safe. */
  std::optional<RulesText> TextOf(RulesVersion aVersion) const;

  /** The latest changes, newest first. Thread-safe. */
  std::vector<ChangeRecord> History(std::size_t aLimit) const;

private:
  /** \brief The stored response to a request id. */
  struct Answer
  {
    std::string mRequestId;
    /** Hash of the change, excluding its time and author. */
    std::uint64_t mDigest = 0;
    ChangeResponse mResponse;

    MSGPACK_DEFINE(mRequestId, mDigest, mResponse)
  };

  /** \brief The contents of a snapshot. */
  struct State
  {
    std::uint32_t mFormat = 0;
    RulesTextHistory mTexts;
    /** Accepted changes, oldest first. */
    std::deque<ChangeRecord> mHistory;
    /** Stored responses, oldest first. */
    std::deque<Answer> mAnswers;

    MSGPACK_DEFINE(mFormat, mTexts, mHistory, mAnswers)
  };

  void Publish();
  ChangeResponse ApplyCommand(const ChangeCommand& aCommand);
  ChangeResponse Change(const ChangeCommand& aCommand);
  ChangeResponse Conflict(RulesVersion aBaseVersion) const;
  Result<std::string> NewTextOf(const ChangeCommand& aCommand) const;
  void Accept(const ChangeCommand& aCommand, std::string aText);
  void StoreAnswer(const ChangeCommand& aCommand,
                   const ChangeResponse& aResponse);
  std::optional<ChangeRecord> FindChange(RulesVersion aVersion) const;

  const ConfigurationLimits mLimits;
  ConfigurationObserver& mObserver;

  /** Not guarded by mMutex: only used by the calls of the group, which are
   * sequential. */
  bool mInBatch = false;
  bool mHasUnpublishedVersion = false;

  mutable std::mutex mMutex;
  State mState;
  /** Number of responses removed from the front of mState.mAnswers. */
  std::uint64_t mRemovedAnswers = 0;
  /** Sequence number of the response for each request id. Its index in
   * mState.mAnswers is this number minus mRemovedAnswers. */
  std::unordered_map<std::string, std::uint64_t> mAnswerNumbers;
};

}
