#pragma once

#include <cstddef>
#include <deque>
#include <optional>
#include <string>

#include <msgpack.hpp>

#include "Controllers/RulesTextPacking.h"
#include "Controllers/TextDelta.h"

namespace almondspoke {

/** \brief The current rules text and deltas to the earlier texts.
 *
 * The current text is stored in full. Each earlier text is stored as a reverse
 * delta against the version after it, so that the oldest one can be dropped
 * without recomputing others.
 */
class RulesTextHistory
{
public:
  const RulesText& Current() const { return mCurrent; }

  /** Adds the next version. aBackward is the delta from its text to the
   * previous text. */
  void Advance(std::string aText, TextDelta aBackward);

  /** Drops the oldest texts until at most aMaxCount earlier texts are left,
   * whose deltas take at most aMaxBytes in total. */
  void Trim(std::size_t aMaxCount, std::size_t aMaxBytes);

  /** The text of a version, if it is stored. */
  std::optional<std::string> Find(RulesVersion aVersion) const;

  /** Checks an unpacked history and recomputes its size. Errors: StorageCorrupt
   * if its versions are not consecutive. */
  Result<void> Restore();

  MSGPACK_DEFINE(mCurrent, mEarlier)

private:
  /** \brief An earlier version, as a delta against the next version. */
  struct EarlierText
  {
    RulesVersion mVersion = 0;
    TextDelta mDeltaFromNext;

    MSGPACK_DEFINE(mVersion, mDeltaFromNext)
  };

  RulesText mCurrent;
  /** Oldest first, up to the version before mCurrent. */
  std::deque<EarlierText> mEarlier;
  std::size_t mEarlierBytes = 0;
};

}
