#pragma once

#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "Base/Result.h"
#include "Controllers/Configuration.h"

namespace almondspoke {

/** \brief A request to replace the rules. */
struct ApplyRequest
{
  std::string mRequestId;
  RulesVersion mBaseVersion = 0;
  std::string mText;
  std::string mAuthor;
};

/** \brief A request to restore the rules text of an earlier version. */
struct RollbackRequest
{
  std::string mRequestId;
  RulesVersion mBaseVersion = 0;
  RulesVersion mTargetVersion = 0;
  std::string mAuthor;
};

/** \brief Operator interface to the rules. Thread-safe. */
class RulesService
{
public:
  using Done = std::function<void(Result<RulesVersion>)>;

  virtual ~RulesService() = default;

  /** Replaces the rules.
   *
   * \param aDone receives the new version. Errors: InvalidRules,
   * InvalidArgument, VersionConflict (names the change that was accepted
   * instead), KeyConflict (the request id was used for another change),
   * NoQuorum and NotLeader (nothing was changed), OutcomeUnknown (retry with
   * the same request id). May be called on any thread. */
  virtual void Apply(ApplyRequest aRequest, Done aDone) = 0;

  /** Restores an earlier text as a new version. Errors as for Apply, and
   * NotFound if the text is no longer stored. */
  virtual void Rollback(RollbackRequest aRequest, Done aDone) = 0;

  /** The rules of a version, or the ones that this instance currently uses if
   * no version is given. Errors: NotFound. */
  virtual Result<RulesText> Show(
    std::optional<RulesVersion> aVersion) const = 0;

  /** The latest changes, newest first. */
  virtual std::vector<ChangeRecord> History(std::size_t aLimit) const = 0;

  /** True if the version of the rules is confirmed and this instance is not
   * behind a newer version for too long. */
  virtual bool IsReady() const = 0;
};

}
