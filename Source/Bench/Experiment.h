#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "Base/EnumNames.h"
#include "Base/Result.h"

namespace almondspoke::bench {

/** \brief Distribution of run times: log-uniform between mMin and mMax, except
 * for mTailShare of the requests, which lie between mTailMin and mTailMax. */
struct RunTimeDistribution
{
  std::chrono::milliseconds mMin{ 50 };
  std::chrono::milliseconds mMax{ 1000 };
  double mTailShare = 0;
  std::chrono::milliseconds mTailMin{ 2000 };
  std::chrono::milliseconds mTailMax{ 5000 };

  /** Returns the mean run time in seconds. */
  double MeanSeconds() const;
};

/** \brief Whether the requests of a stream may be run more than once. */
enum class Repetition
{
  /** Not idempotent and without an idempotency key. */
  Never,
  /** Not idempotent, but each request has an idempotency key. */
  Keyed,
  Idempotent
};

inline constexpr std::array<EnumName<Repetition>, 3> kRepetitionNames = { {
  { Repetition::Never, "never" },
  { Repetition::Keyed, "keyed" },
  { Repetition::Idempotent, "idempotent" },
} };

/** \brief A section [stream NAME]: requests of one kind. */
struct StreamSettings
{
  std::string mName;
  std::string mService;
  std::string mKind;
  std::string mTeam;
  std::string mUrgency = "normal";
  Repetition mRepetition = Repetition::Never;
  /** Arrivals per second. */
  double mRate = 0;
  /** Share of the capacity that the stream requests; used to derive the rate if
   * none is given. */
  std::optional<double> mLoad;
  RunTimeDistribution mRunTime;
  std::chrono::milliseconds mStart{ 0 };
  std::optional<std::chrono::milliseconds> mStop;
  std::chrono::milliseconds mTimeout{ 10000 };
  double mCancelShare = 0;
  /** Time from the arrival to the cancellation. */
  std::chrono::milliseconds mCancelAfter{ 100 };
  int mLine = 0;
};

/** \brief A validated experiment. */
struct Experiment
{
  std::string mPath;
  std::string mName;
  std::chrono::milliseconds mDuration{ 10000 };
  /** Arrivals before this time are sent but not measured. */
  std::chrono::milliseconds mWarmUp{ 0 };
  std::uint64_t mSeed = 1;
  /** Entry instances, as IP:PORT. */
  std::vector<std::string> mTargets;
  /** Number of slots of the installation; StreamSettings::mLoad is a share of
   * it. */
  std::size_t mCapacity = 0;
  /** Round-trip time included in the ideal response time; measured if not
   * given. */
  std::optional<std::chrono::milliseconds> mRoundTrip;
  std::vector<std::string> mStartLogs;
  std::vector<StreamSettings> mStreams;
};

/** Reads and validates an experiment. Errors: InvalidSettings; the message
 * names the file, the line and the allowed values. */
Result<Experiment>
LoadExperiment(const std::string& aPath);

/** Validates an experiment given as text; aPath is used in messages only. */
Result<Experiment>
ParseExperiment(const std::string& aPath, const std::string& aText);

/** Parses a list of IP:PORT separated by spaces or commas. */
Result<std::vector<std::string>>
ParseTargets(const std::string& aText);

/** Validates constraints between keys and computes the rate of each stream. */
Result<void>
CompleteExperiment(Experiment& aExperiment);

}
