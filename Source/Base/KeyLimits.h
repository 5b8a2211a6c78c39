#pragma once

#include <cstddef>

namespace almondspoke {

/** Maximum length of an idempotency key, in bytes. */
inline constexpr std::size_t kMaxKeyBytes = 200;

}
