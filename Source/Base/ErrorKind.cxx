#include "Base/ErrorKind.h"

#include <array>
#include <cstddef>

#include "Base/EnumNames.h"

namespace almondspoke {

namespace {

// Exit codes of the command-line tool, documented in its manual page.
constexpr int kExitFailed = 1;
constexpr int kExitUsage = 2;
constexpr int kExitRefused = 3;
constexpr int kExitUnknown = 4;
constexpr int kExitConflict = 5;
constexpr int kExitUnavailable = 6;

const std::vector<ErrorTraits> kTraits = {
  { ErrorKind::MalformedRequest,
    "malformed-request",
    400,
    Ran::No,
    kExitUsage },
  { ErrorKind::InvalidArgument, "invalid-argument", 400, Ran::No, kExitUsage },
  { ErrorKind::HeaderTooLarge, "header-too-large", 431, Ran::No, kExitUsage },
  { ErrorKind::BodyTooLarge, "body-too-large", 413, Ran::No, kExitUsage },
  { ErrorKind::MethodNotAllowed,
    "method-not-allowed",
    405,
    Ran::No,
    kExitUsage },
  { ErrorKind::NotFound, "not-found", 404, Ran::No, kExitFailed },
  { ErrorKind::UnknownService, "unknown-service", 404, Ran::No, kExitFailed },
  { ErrorKind::UnknownJob, "unknown-job", 404, Ran::No, kExitFailed },
  { ErrorKind::KeyRequired, "key-required", 400, Ran::No, kExitUsage },
  { ErrorKind::KeyInvalid, "key-invalid", 400, Ran::No, kExitUsage },
  { ErrorKind::KeyConflict, "key-conflict", 409, Ran::No, kExitConflict },
  { ErrorKind::KeyExpired, "key-expired", 410, Ran::Unknown, kExitUnknown },
  { ErrorKind::AnswerNotKept, "answer-not-kept", 410, Ran::Yes, kExitFailed },
  { ErrorKind::HomeUnreachable,
    "home-unreachable",
    503,
    Ran::No,
    kExitUnavailable },
  { ErrorKind::KeyStateUnknown,
    "key-state-unknown",
    503,
    Ran::Unknown,
    kExitUnknown },
  { ErrorKind::QuotaExceeded, "quota-exceeded", 429, Ran::No, kExitRefused },
  { ErrorKind::KindCeilingReached,
    "kind-ceiling-reached",
    429,
    Ran::No,
    kExitRefused },
  { ErrorKind::QueueFull, "queue-full", 503, Ran::No, kExitRefused },
  { ErrorKind::DeadlineUnreachable,
    "deadline-unreachable",
    503,
    Ran::No,
    kExitRefused },
  { ErrorKind::DeadlineExpiredInQueue,
    "deadline-expired-in-queue",
    504,
    Ran::No,
    kExitRefused },
  { ErrorKind::NoEndpoint, "no-endpoint", 503, Ran::No, kExitUnavailable },
  { ErrorKind::ResourcesUnsatisfiable,
    "resources-unsatisfiable",
    422,
    Ran::No,
    kExitRefused },
  { ErrorKind::EndpointRefused,
    "endpoint-refused",
    503,
    Ran::No,
    kExitRefused },
  { ErrorKind::EndpointUnreachable,
    "endpoint-unreachable",
    502,
    Ran::No,
    kExitUnavailable },
  { ErrorKind::EndpointFailed,
    "endpoint-failed",
    502,
    Ran::Unknown,
    kExitUnknown },
  { ErrorKind::EndpointTimeout,
    "endpoint-timeout",
    504,
    Ran::Unknown,
    kExitUnknown },
  { ErrorKind::ConnectionLost,
    "connection-lost",
    502,
    Ran::Unknown,
    kExitUnknown },
  { ErrorKind::ExecutorLost, "executor-lost", 502, Ran::Unknown, kExitUnknown },
  { ErrorKind::OutcomeUnknown,
    "outcome-unknown",
    502,
    Ran::Unknown,
    kExitUnknown },
  { ErrorKind::TaskFailed, "task-failed", 502, Ran::Yes, kExitFailed },
  { ErrorKind::CancelledBeforeStart, "cancelled", 409, Ran::No, kExitFailed },
  { ErrorKind::CancelledAfterStart,
    "cancelled-after-start",
    409,
    Ran::Unknown,
    kExitUnknown },
  { ErrorKind::CallerGone, "caller-gone", 499, Ran::No, kExitFailed },
  { ErrorKind::AddressNotAllowed,
    "address-not-allowed",
    403,
    Ran::No,
    kExitUsage },
  { ErrorKind::LeaseExpired, "lease-expired", 410, Ran::No, kExitRefused },
  { ErrorKind::StaleIncarnation,
    "stale-incarnation",
    409,
    Ran::No,
    kExitConflict },
  { ErrorKind::TooManyEndpoints,
    "too-many-endpoints",
    507,
    Ran::No,
    kExitRefused },
  { ErrorKind::VersionConflict,
    "version-conflict",
    409,
    Ran::No,
    kExitConflict },
  { ErrorKind::InvalidRules, "invalid-rules", 422, Ran::No, kExitUsage },
  { ErrorKind::InvalidSettings, "invalid-settings", 400, Ran::No, kExitUsage },
  { ErrorKind::NotLeader, "not-leader", 503, Ran::No, kExitUnavailable },
  { ErrorKind::NoQuorum, "no-quorum", 503, Ran::No, kExitUnavailable },
  { ErrorKind::PeerUnreachable,
    "peer-unreachable",
    503,
    Ran::No,
    kExitUnavailable },
  { ErrorKind::PeerTimeout, "peer-timeout", 504, Ran::Unknown, kExitUnknown },
  { ErrorKind::StorageFailed,
    "storage-failed",
    500,
    Ran::Unknown,
    kExitUnknown },
  { ErrorKind::StorageCorrupt, "storage-corrupt", 500, Ran::No, kExitFailed },
  { ErrorKind::Draining, "draining", 503, Ran::No, kExitUnavailable },
  { ErrorKind::NotReady, "not-ready", 503, Ran::No, kExitUnavailable },
  { ErrorKind::Usage, "usage", 400, Ran::No, kExitUsage },
  { ErrorKind::Internal, "internal", 500, Ran::Unknown, kExitUnknown },
};

constexpr std::array<EnumName<Ran>, 3> kRanNames = { {
  { Ran::No, "no" },
  { Ran::Yes, "yes" },
  { Ran::Unknown, "unknown" },
} };

}

const ErrorTraits&
ErrorTraitsOf(ErrorKind aKind)
{
  return kTraits[static_cast<std::size_t>(aKind)];
}

std::optional<ErrorKind>
ErrorKindOf(std::string_view aName)
{
  for (const ErrorTraits& traits : kTraits) {
    if (traits.mName == aName) {
      return traits.mKind;
    }
  }
  return std::nullopt;
}

const std::vector<ErrorTraits>&
AllErrorTraits()
{
  return kTraits;
}

std::string_view
NameOf(Ran aRan)
{
  return NameOf(kRanNames, aRan);
}

std::optional<Ran>
RanOf(std::string_view aName)
{
  return ValueOf(kRanNames, aName);
}

}
