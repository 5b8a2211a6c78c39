#pragma once

#include <cstddef>
#include <string>

#include "Base/Result.h"

namespace almondspoke {

/** Deepest nesting of arrays and objects in a body. Some operations of the JSON
 * libraries recurse, so that deeper ones could exhaust the stack. */
inline constexpr int kMaxJsonNesting = 32;

/** Maximum number of values in a body, so that decoding takes a bounded
 * multiple of its memory: "[{},{},...]" takes 30 times its size. A manifest of
 * the largest size with short names stays below it. */
inline constexpr std::size_t kMaxJsonValues = 262'144;

/** Checks the form of a body before it is decoded. Errors: MalformedRequest if
 * it nests more deeply, or has more values, than allowed. */
Result<void>
CheckJsonForm(const std::string& aBody);

}
