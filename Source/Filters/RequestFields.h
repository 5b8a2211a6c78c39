#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <string>
#include <string_view>

#include "Base/EnumNames.h"
#include "Base/Error.h"
#include "Base/KeyLimits.h"
#include "Filters/RequestRules.h"

namespace almondspoke {

/** Path prefix before the service name. */
inline constexpr std::string_view kServicesPrefix = "/v1/services/";

inline constexpr std::string_view kIdempotencyKeyField = "Idempotency-Key";
inline constexpr std::string_view kIdempotentField = "Almondspoke-Idempotent";
inline constexpr std::string_view kUrgencyField = "Almondspoke-Urgency";
inline constexpr std::string_view kKindField = "Almondspoke-Kind";
inline constexpr std::string_view kTeamField = "Almondspoke-Team";
inline constexpr std::string_view kTimeoutField = "Almondspoke-Timeout-Ms";
inline constexpr std::string_view kRequestIdField = "Almondspoke-Request-Id";

/** Data centre of the instance that forwarded the request because it has no
 * endpoint of the service. */
inline constexpr std::string_view kSpilledFromField =
  "Almondspoke-Spilled-From";
/** Idempotency key of a forwarded request; already claimed by the forwarding
 * instance. */
inline constexpr std::string_view kSpilledKeyField = "Almondspoke-Spilled-Key";

inline constexpr std::string_view kRulesVersionField =
  "Almondspoke-Rules-Version";

inline constexpr std::size_t kMaxNameBytes = 64;
inline constexpr std::chrono::milliseconds kMaxTimeout{ 3600000 };

/** Values of the urgency header. */
inline constexpr std::array<EnumName<UrgencyLevel>, 3> kUrgencyLevelNames = { {
  { kUrgencyFirst, "first" },
  { kUrgencyNormal, "normal" },
  { kUrgencyLast, "last" },
} };

/** True for 1 to kMaxNameBytes letters, digits, '.', '_' or '-'. */
bool
IsName(std::string_view aText);

/** True for 1 to kMaxKeyBytes printable ASCII characters without spaces. */
bool
IsKey(std::string_view aText);

/** Returns the error for a name that IsName() rejects. */
Error
InvalidName(std::string_view aWhat, std::string_view aName);

/** Returns the error for an invalid field value. */
Error
InvalidValue(std::string_view aField,
             std::string_view aValue,
             std::string_view aAllowed);

}
