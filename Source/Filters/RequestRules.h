#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace almondspoke {

/** Urgency level; lower values are served first. */
using UrgencyLevel = std::uint8_t;

inline constexpr UrgencyLevel kUrgencyFirst = 0;
inline constexpr UrgencyLevel kUrgencyNormal = 1;
inline constexpr UrgencyLevel kUrgencyLast = 2;

/** \brief Whether work may be repeated after it may have run.
 */
enum class RepeatRule
{
  /** As declared by the caller's header; not repeated if there is none. */
  ByCaller,
  Allowed,
  Never
};

/** \brief Policy of the current rules for a request. */
struct RequestPolicy
{
  std::uint64_t mRulesVersion = 0;
  /** Set if a rule gives the kind an urgency. */
  std::optional<UrgencyLevel> mUrgency;
  std::optional<std::chrono::milliseconds> mTimeout;
  RepeatRule mRepeat = RepeatRule::ByCaller;
};

/** \brief The current rules, as used by the request filters; thread-safe. */
class RequestRules
{
public:
  virtual ~RequestRules() = default;

  /** False until a version of the rules is known. */
  virtual bool AreKnown() const = 0;

  virtual RequestPolicy PolicyOf(std::string_view aKind) const = 0;
};

}
