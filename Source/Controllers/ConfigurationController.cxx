#include "Controllers/ConfigurationController.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

namespace almondspoke {

namespace {

bool
IsPrintable(const std::string& aText)
{
  return std::all_of(aText.begin(), aText.end(), [](unsigned char aCharacter) {
    return aCharacter >= ' ' && aCharacter < 0x7f;
  });
}

Result<void>
CheckField(const char* aName, const std::string& aValue, std::size_t aMaxBytes)
{
  if (aValue.empty() || aValue.size() > aMaxBytes || !IsPrintable(aValue)) {
    return Error(ErrorKind::InvalidArgument,
                 fmt::format("invalid {} of {} bytes (allowed: 1 to {} "
                             "printable ASCII characters)",
                             aName,
                             aValue.size(),
                             aMaxBytes));
  }
  return Success();
}

Result<void>
CheckOrigin(const ChangeCommand& aCommand)
{
  BOOST_OUTCOME_TRYV(
    CheckField("requestId", aCommand.mRequestId, kMaxRequestIdBytes));
  return CheckField("author", aCommand.mAuthor, kMaxAuthorBytes);
}

Error
ConflictError(const ChangeCommand& aCommand, const ChangeResponse& aResponse)
{
  if (aResponse.mWinner) {
    const ChangeRecord& winner = *aResponse.mWinner;
    return Error(
      ErrorKind::VersionConflict,
      fmt::format("version {} on the same base {} was made by '{}' (request "
                  "id '{}'); version {} is in force",
                  winner.mVersion,
                  aCommand.mBaseVersion,
                  winner.mAuthor,
                  winner.mRequestId,
                  aResponse.mVersion));
  }
  return Error(ErrorKind::VersionConflict,
               fmt::format("base version {} is not the current version {}",
                           aCommand.mBaseVersion,
                           aResponse.mVersion));
}

Result<RulesVersion>
ToResult(const ChangeCommand& aCommand, const ChangeResponse& aResponse)
{
  switch (aResponse.mOutcome) {
    case ChangeOutcome::Accepted:
      return aResponse.mVersion;
    case ChangeOutcome::VersionConflict:
      return ConflictError(aCommand, aResponse);
    case ChangeOutcome::UnknownVersion:
      return Error(
        ErrorKind::NotFound,
        fmt::format("the text of version {} is no longer stored; version "
                    "{} is in force",
                    aCommand.mTargetVersion,
                    aResponse.mVersion));
    case ChangeOutcome::RequestIdReused:
      return Error(ErrorKind::KeyConflict,
                   fmt::format("request id '{}' was used for another change",
                               aCommand.mRequestId));
    case ChangeOutcome::DeltaMismatch:
      return Error(
        ErrorKind::Internal,
        fmt::format("the edits of the change do not apply to the text of "
                    "base version {}; nothing was changed",
                    aCommand.mBaseVersion));
    case ChangeOutcome::Malformed:
      break;
  }
  return Error(ErrorKind::Internal,
               "the configuration group could not decode the change");
}

}

ConfigurationController::ConfigurationController(
  Replicator& aReplicator,
  const ConfigurationStateMachine& aStateMachine,
  RulesPublisher& aPublisher,
  const Clock& aClock)
  : mReplicator(aReplicator)
  , mStateMachine(aStateMachine)
  , mPublisher(aPublisher)
  , mClock(aClock)
{
}

void
ConfigurationController::ConfirmThroughGroup()
{
  mReplicator.Barrier([&publisher = mPublisher](const Result<void>& aResult) {
    if (aResult) {
      publisher.ConfirmHighestKnownVersion();
    }
  });
}

void
ConfigurationController::Apply(ApplyRequest aRequest, Done aDone)
{
  const auto checked = RuleSet::FromText(0, aRequest.mText);
  if (!checked) {
    aDone(checked.error());
    return;
  }
  ChangeCommand command;
  command.mKind = ChangeKind::Apply;
  command.mRequestId = std::move(aRequest.mRequestId);
  command.mBaseVersion = aRequest.mBaseVersion;
  SetText(command,
          std::move(aRequest.mText),
          mStateMachine.TextOf(aRequest.mBaseVersion));
  command.mAuthor = std::move(aRequest.mAuthor);
  Propose(std::move(command), std::move(aDone));
}

void
ConfigurationController::Rollback(RollbackRequest aRequest, Done aDone)
{
  ChangeCommand command;
  command.mKind = ChangeKind::Rollback;
  command.mRequestId = std::move(aRequest.mRequestId);
  command.mBaseVersion = aRequest.mBaseVersion;
  command.mTargetVersion = aRequest.mTargetVersion;
  command.mAuthor = std::move(aRequest.mAuthor);
  Propose(std::move(command), std::move(aDone));
}

void
ConfigurationController::Propose(ChangeCommand aCommand, Done aDone)
{
  if (const Result<void> checked = CheckOrigin(aCommand); !checked) {
    aDone(checked.error());
    return;
  }
  aCommand.mWallMilliseconds =
    std::chrono::duration_cast<std::chrono::milliseconds>(
      mClock.WallNow().time_since_epoch())
      .count();
  std::string encoded = EncodeCommand(aCommand);
  mReplicator.Propose(std::move(encoded),
                      [command = std::move(aCommand),
                       done = std::move(aDone)](Result<std::string> aResponse) {
                        if (!aResponse) {
                          done(aResponse.error());
                          return;
                        }
                        const Result<ChangeResponse> response =
                          DecodeResponse(aResponse.value());
                        if (!response) {
                          done(response.error());
                          return;
                        }
                        done(ToResult(command, response.value()));
                      });
}

Result<RulesText>
ConfigurationController::Show(std::optional<RulesVersion> aVersion) const
{
  const PublishedRules published = mPublisher.CurrentWithText();
  if (!aVersion || *aVersion == published.mRuleSet->Version()) {
    return RulesText{ published.mRuleSet->Version(), published.mText };
  }
  std::optional<RulesText> text = mStateMachine.TextOf(*aVersion);
  if (!text) {
    return Error(
      ErrorKind::NotFound,
      fmt::format("the text of version {} is no longer stored; version {} "
                  "is in force",
                  *aVersion,
                  published.mRuleSet->Version()));
  }
  return std::move(*text);
}

std::vector<ChangeRecord>
ConfigurationController::History(std::size_t aLimit) const
{
  return mStateMachine.History(aLimit);
}

}
