#include "Routing/Work.h"

#include <cstddef>

namespace almondspoke {

namespace {

constexpr std::array<OutcomeTraits, 8> kOutcomes = { {
  { AttemptOutcome::Succeeded,
    "succeeded",
    true,
    false,
    true,
    ErrorKind::Internal },
  { AttemptOutcome::ErrorAnswered,
    "error-answered",
    true,
    true,
    true,
    ErrorKind::TaskFailed },
  { AttemptOutcome::Refused,
    "refused",
    false,
    true,
    false,
    ErrorKind::EndpointRefused },
  { AttemptOutcome::Unreachable,
    "unreachable",
    false,
    true,
    false,
    ErrorKind::EndpointUnreachable },
  { AttemptOutcome::Failed,
    "failed",
    true,
    true,
    false,
    ErrorKind::EndpointFailed },
  { AttemptOutcome::TimedOut,
    "timed-out",
    true,
    true,
    false,
    ErrorKind::EndpointTimeout },
  { AttemptOutcome::ConnectionLost,
    "connection-lost",
    true,
    true,
    false,
    ErrorKind::ConnectionLost },
  { AttemptOutcome::Abandoned,
    "abandoned",
    true,
    false,
    false,
    ErrorKind::CancelledAfterStart },
} };

}

const OutcomeTraits&
OutcomeTraitsOf(AttemptOutcome aOutcome)
{
  return kOutcomes[static_cast<std::size_t>(aOutcome)];
}

Error
AttemptError(ErrorKind aKind,
             std::uint32_t aAttempt,
             const EndpointName& aEndpoint)
{
  return { aKind,
           "attempt " + std::to_string(aAttempt) + " at endpoint '" +
             aEndpoint + "' ended as " +
             std::string(ErrorTraitsOf(aKind).mName) };
}

}
