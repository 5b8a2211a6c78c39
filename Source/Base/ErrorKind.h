#pragma once

#include <optional>
#include <string_view>
#include <vector>

namespace almondspoke {

/** \brief Whether the work of a failed call was started. */
enum class Ran
{
  No,
  Yes,
  Unknown
};

/** \brief All kinds of errors that the system reports.
 *
 * ErrorTraitsOf() maps each kind to its HTTP status, its `ran` value and the
 * exit code of the command-line tool. The traits are looked up by position, so
 * the table in ErrorKind.cxx has the order of this enumeration. */
enum class ErrorKind
{
  MalformedRequest,
  InvalidArgument,
  HeaderTooLarge,
  BodyTooLarge,
  MethodNotAllowed,
  NotFound,
  UnknownService,
  UnknownJob,
  KeyRequired,
  KeyInvalid,
  KeyConflict,
  KeyExpired,
  AnswerNotKept,
  HomeUnreachable,
  KeyStateUnknown,
  QuotaExceeded,
  KindCeilingReached,
  QueueFull,
  DeadlineUnreachable,
  DeadlineExpiredInQueue,
  NoEndpoint,
  ResourcesUnsatisfiable,
  EndpointRefused,
  EndpointUnreachable,
  EndpointFailed,
  EndpointTimeout,
  ConnectionLost,
  ExecutorLost,
  OutcomeUnknown,
  TaskFailed,
  CancelledBeforeStart,
  CancelledAfterStart,
  CallerGone,
  AddressNotAllowed,
  LeaseExpired,
  StaleIncarnation,
  TooManyEndpoints,
  VersionConflict,
  InvalidRules,
  InvalidSettings,
  NotLeader,
  NoQuorum,
  PeerUnreachable,
  PeerTimeout,
  StorageFailed,
  StorageCorrupt,
  Draining,
  NotReady,
  Usage,
  Internal
};

/** \brief The name, HTTP status, `ran` value and exit code of an error kind. */
struct ErrorTraits
{
  ErrorKind mKind;
  std::string_view mName;
  int mHttpStatus;
  Ran mRan;
  int mExitCode;
};

const ErrorTraits&
ErrorTraitsOf(ErrorKind aKind);

/** Returns the kind with that name, or std::nullopt if there is none. */
std::optional<ErrorKind>
ErrorKindOf(std::string_view aName);

/** Returns the traits of all kinds, in the order of the enumeration. */
const std::vector<ErrorTraits>&
AllErrorTraits();

/** Returns "no", "yes" or "unknown". */
std::string_view
NameOf(Ran aRan);

/** Parses "no", "yes" or "unknown"; std::nullopt for any other text. */
std::optional<Ran>
RanOf(std::string_view aName);

}
