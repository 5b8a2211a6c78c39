#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace almondspoke {

/** \brief One routing or placement decision, as logged and as kept for
 * `almondspoke explain`. */
struct Decision
{
  /** Id of the request or job that the decision is about. */
  std::string mRequestId;
  /** Processing step that made the decision, for example "admit", "pick" or
   * "place". */
  std::string mStage;
  /** Endpoints or values that were considered. */
  std::vector<std::string> mCandidates;
  /** The selected candidate or outcome. */
  std::string mChoice;
  /** Short reason for the choice. */
  std::string mReason;
  /** Wall-clock time of the decision, in milliseconds since the Unix epoch. */
  std::int64_t mWallMilliseconds = 0;
};

/** \brief Interface that receives decisions. */
class DecisionSink
{
public:
  virtual ~DecisionSink() = default;
  virtual void Record(Decision aDecision) = 0;
};

}
