#pragma once

#include <array>

#include "Base/EnumNames.h"

namespace almondspoke {

/** \brief Urgency of queued work; more urgent work is served first. */
enum class Urgency
{
  First,
  Normal,
  Last
};

/** Names of the urgency levels in rules files and headers. */
inline constexpr std::array<EnumName<Urgency>, 3> kUrgencyNames = { {
  { Urgency::First, "first" },
  { Urgency::Normal, "normal" },
  { Urgency::Last, "last" },
} };

}
