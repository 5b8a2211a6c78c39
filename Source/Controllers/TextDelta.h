#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <msgpack.hpp>

#include "Base/Result.h"

namespace almondspoke {

/** \brief Replaces a range of lines of a base text with other lines. */
struct LineEdit
{
  /** First replaced line of the base text, counted from 0. */
  std::uint32_t mFirstLine = 0;
  std::uint32_t mRemovedLines = 0;
  /** The new lines, including line breaks. */
  std::string mInserted;

  MSGPACK_DEFINE(mFirstLine, mRemovedLines, mInserted)
};

/** \brief The edits that turn a base text into a result text. */
struct TextDelta
{
  /** Sorted by position in the base text, not overlapping. */
  std::vector<LineEdit> mEdits;
  /** HashOf() the result text, and its size. */
  std::uint64_t mResultHash = 0;
  std::uint64_t mResultBytes = 0;

  MSGPACK_DEFINE(mEdits, mResultHash, mResultBytes)
};

/** Lines including their line breaks, as views into a text owned by the caller.
 */
using Lines = std::vector<std::string_view>;

Lines
SplitLines(std::string_view aText);

std::string
JoinLines(const Lines& aLines);

/** Hash that verifies the result of a delta. */
std::uint64_t
HashOf(std::string_view aText);

/** Size of a delta in memory and in a message, in bytes. */
std::size_t
SizeOf(const TextDelta& aDelta);

/** Returns a small delta between two texts. The edits may differ between
 * releases, so replicas must not compute it independently of each other. */
TextDelta
DiffLines(std::string_view aBase, std::string_view aResult);

/** Returns a delta with a single edit that covers all changed lines. The result
 * must stay the same in all releases. */
TextDelta
DiffRange(std::string_view aBase, std::string_view aResult);

/** Applies the edits without checking the hash. Inserted lines are views into
 * aDelta. Errors: InvalidArgument if the edits are not valid for aBase. */
Result<Lines>
ApplyEdits(const Lines& aBase, const TextDelta& aDelta);

/** Applies a delta and checks the result. Errors: InvalidArgument if the edits
 * are not valid for aBase, or if the size or hash of the result differs from
 * the expected one. */
Result<std::string>
ApplyDelta(std::string_view aBase, const TextDelta& aDelta);

/** Returns the delta from the result back to aBase. aDelta must be valid for
 * aBase. */
TextDelta
InvertDelta(std::string_view aBase, const TextDelta& aDelta);

}
