#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include <msgpack.hpp>

#include "Base/Result.h"
#include "Controllers/RulesText.h"
#include "Controllers/TextDelta.h"

namespace almondspoke {

/** Maximum sizes of the fields of a change request. */
inline constexpr std::size_t kMaxRequestIdBytes = 128;
inline constexpr std::size_t kMaxAuthorBytes = 128;

/** \brief Kind of a configuration change. */
enum class ChangeKind : std::uint8_t
{
  /** New rules text. */
  Apply = 0,
  /** The text of an earlier version, as a new version. */
  Rollback = 1
};

/** \brief Result of a change in the state machine. */
enum class ChangeOutcome : std::uint8_t
{
  /** The change was made; the response contains its version. */
  Accepted = 0,
  /** The base version is not the current version. */
  VersionConflict = 1,
  /** The text of the rollback target is no longer stored. */
  UnknownVersion = 2,
  /** The request id was already used for a different change. */
  RequestIdReused = 3,
  /** The command could not be decoded. */
  Malformed = 4,
  /** Applying the edits to the base text does not give the expected text. */
  DeltaMismatch = 5
};

}

MSGPACK_ADD_ENUM(almondspoke::ChangeKind)
MSGPACK_ADD_ENUM(almondspoke::ChangeOutcome)

namespace almondspoke {

/** \brief The replicated command: one change requested by an operator. */
struct ChangeCommand
{
  ChangeKind mKind = ChangeKind::Apply;
  /** Chosen by the operator; a retry of the same change reuses it. */
  std::string mRequestId;
  /** The version that the change is based on. */
  RulesVersion mBaseVersion = 0;
  /** New rules text, for Apply without mDelta. */
  std::string mText;
  /** Version whose text is restored, for Rollback. */
  RulesVersion mTargetVersion = 0;
  std::string mAuthor;
  /** Wall time of the request, ms since the epoch. */
  std::int64_t mWallMilliseconds = 0;
  /** For Apply: the new rules as a delta against the text of mBaseVersion. */
  std::optional<TextDelta> mDelta;

  MSGPACK_DEFINE(mKind,
                 mRequestId,
                 mBaseVersion,
                 mText,
                 mTargetVersion,
                 mAuthor,
                 mWallMilliseconds,
                 mDelta)
};

/** \brief History entry of one accepted change. */
struct ChangeRecord
{
  RulesVersion mVersion = 0;
  RulesVersion mBaseVersion = 0;
  /** Version whose text was restored; zero if the change is not a rollback. */
  RulesVersion mRollbackOf = 0;
  std::string mRequestId;
  std::string mAuthor;
  /** Wall time of the request, ms since the epoch. */
  std::int64_t mWallMilliseconds = 0;
  /** Size of the rules text. */
  std::uint64_t mBytes = 0;

  MSGPACK_DEFINE(mVersion,
                 mBaseVersion,
                 mRollbackOf,
                 mRequestId,
                 mAuthor,
                 mWallMilliseconds,
                 mBytes)
};

/** \brief Response of the state machine to a change. */
struct ChangeResponse
{
  ChangeOutcome mOutcome = ChangeOutcome::Malformed;
  /** The new version if the change was accepted; otherwise the current version.
   */
  RulesVersion mVersion = 0;
  /** For VersionConflict: the change that was accepted on the same base
   * version, if it is still in the history. */
  std::optional<ChangeRecord> mWinner;

  MSGPACK_DEFINE(mOutcome, mVersion, mWinner)
};

/** Sets the new rules text of a command. It is stored as a delta if aBase is
 * given and the delta is smaller than the text, and in full otherwise. */
void
SetText(ChangeCommand& aCommand,
        std::string aText,
        const std::optional<RulesText>& aBase);

/** Encodes a command as MessagePack. */
std::string
EncodeCommand(const ChangeCommand& aCommand);

/** Decodes a response. Errors: MalformedRequest. */
Result<ChangeResponse>
DecodeResponse(std::string_view aResponse);

/** Encodes a rules version and its text as MessagePack. */
std::string
EncodeRulesText(const RulesText& aRules);

/** Decodes the result of EncodeRulesText(). Errors: MalformedRequest. */
Result<RulesText>
DecodeRulesText(std::string_view aEncoded);

}
