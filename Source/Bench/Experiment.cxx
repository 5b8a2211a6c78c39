#include "Bench/Experiment.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <set>
#include <string_view>

#include "Base/IniFile.h"
#include "Daemon/SettingValues.h"
#include "Filters/RequestFields.h"

namespace almondspoke::bench {

namespace {

using Milliseconds = std::chrono::milliseconds;

constexpr std::string_view kStreamPrefix = "stream ";
constexpr std::string_view kPercent = "%";
constexpr const char* kAllowedDuration = "1ms to 1h; units ms, s, m, h";
constexpr const char* kAllowedTime = "0ms to 1h; units ms, s, m, h";
constexpr const char* kAllowedRange =
  "MIN-MAX or one duration, 1ms to 1h; units ms, s, m, h";
constexpr const char* kAllowedShare = "0% to 100%";
constexpr const char* kAllowedName = "1 to 64 letters, digits, '.', '_', '-'";
constexpr Milliseconds kMaxTime{ 3600000 };
constexpr double kMaxRate = 100000;
constexpr double kMaxLoadPercent = 10000;

/** \brief Describes one key of a section: its parser and its allowed values. */
template<typename Section>
struct Row
{
  std::string_view mKey;
  bool mRequired;
  /** Returns false if the value is not allowed. */
  bool (*mRead)(Section& aSection, const std::string& aValue);
  std::string mAllowed;
};

bool
ReadTime(const std::string& aValue, Milliseconds aMin, Milliseconds& aTime)
{
  const std::optional<Milliseconds> time = ParseDuration(aValue);
  if (!time || *time < aMin || *time > kMaxTime) {
    return false;
  }
  aTime = *time;
  return true;
}

bool
ReadRange(const std::string& aValue, Milliseconds& aMin, Milliseconds& aMax)
{
  const std::vector<std::string> ends = Split(aValue, '-');
  if (ends.size() > 2 || !ReadTime(ends.front(), Milliseconds(1), aMin) ||
      !ReadTime(ends.back(), Milliseconds(1), aMax)) {
    return false;
  }
  return aMin <= aMax;
}

std::optional<double>
ParseDecimal(std::string_view aText)
{
  double value = 0;
  const char* end = aText.data() + aText.size();
  const auto [parsed, error] = std::from_chars(aText.data(), end, value);
  if (aText.empty() || error != std::errc() || parsed != end ||
      !std::isfinite(value) || value < 0) {
    return std::nullopt;
  }
  return value;
}

std::optional<double>
ParsePercent(std::string_view aText, double aMaxPercent)
{
  if (aText.size() < 2 || aText.substr(aText.size() - 1) != kPercent) {
    return std::nullopt;
  }
  aText.remove_suffix(1);
  const std::optional<double> percent = ParseDecimal(aText);
  if (!percent || *percent > aMaxPercent) {
    return std::nullopt;
  }
  constexpr double kHundred = 100;
  return *percent / kHundred;
}

bool
ReadShare(const std::string& aValue, double& aShare)
{
  constexpr double kWhole = 100;
  const std::optional<double> share = ParsePercent(aValue, kWhole);
  aShare = share.value_or(0);
  return share.has_value();
}

bool
ReadName(const std::string& aValue, std::string& aName)
{
  aName = aValue;
  return IsName(aValue);
}

const std::vector<Row<Experiment>>&
ExperimentRows()
{
  using S = Experiment;
  using Text = const std::string&;
  static const std::vector<Row<S>> kRows = {
    { "name",
      true,
      [](S& aS, Text aValue) { return ReadName(aValue, aS.mName); },
      kAllowedName },
    { "duration",
      true,
      [](S& aS, Text aValue) {
        return ReadTime(aValue, Milliseconds(1), aS.mDuration);
      },
      kAllowedDuration },
    { "warm-up",
      false,
      [](S& aS, Text aValue) {
        return ReadTime(aValue, Milliseconds(0), aS.mWarmUp);
      },
      kAllowedTime },
    { "seed",
      false,
      [](S& aS, Text aValue) {
        const std::optional<std::size_t> seed = ParseCount(aValue);
        aS.mSeed = seed.value_or(0);
        return seed.has_value();
      },
      "a whole number from 0" },
    { "targets",
      false,
      [](S& aS, Text aValue) {
        const auto targets = ParseTargets(aValue);
        aS.mTargets =
          targets.has_value() ? targets.value() : std::vector<std::string>();
        return targets.has_value();
      },
      "IP numbers and ports, as 127.0.0.1:8080, separated by blanks" },
    { "capacity",
      false,
      [](S& aS, Text aValue) {
        aS.mCapacity = ParseCount(aValue).value_or(0);
        return aS.mCapacity > 0;
      },
      "a whole number of slots from 1" },
    { "round-trip",
      false,
      [](S& aS, Text aValue) {
        return ReadTime(aValue, Milliseconds(0), aS.mRoundTrip.emplace());
      },
      kAllowedTime },
    { "start-logs",
      false,
      [](S& aS, Text aValue) {
        aS.mStartLogs = SplitWords(aValue);
        return !aS.mStartLogs.empty();
      },
      "paths, separated by blanks" },
  };
  return kRows;
}

const std::vector<Row<StreamSettings>>&
StreamRows()
{
  using S = StreamSettings;
  using Text = const std::string&;
  static const std::vector<Row<S>> kRows = {
    { "service",
      true,
      [](S& aS, Text aValue) { return ReadName(aValue, aS.mService); },
      kAllowedName },
    { "kind",
      false,
      [](S& aS, Text aValue) { return ReadName(aValue, aS.mKind); },
      kAllowedName },
    { "team",
      false,
      [](S& aS, Text aValue) { return ReadName(aValue, aS.mTeam); },
      kAllowedName },
    { "urgency",
      false,
      [](S& aS, Text aValue) {
        aS.mUrgency = aValue;
        return ValueOf(kUrgencyLevelNames, aValue).has_value();
      },
      AllowedNames(kUrgencyLevelNames) },
    { "repeat",
      false,
      [](S& aS, Text aValue) {
        const auto repetition = ValueOf(kRepetitionNames, aValue);
        aS.mRepetition = repetition.value_or(Repetition::Never);
        return repetition.has_value();
      },
      AllowedNames(kRepetitionNames) },
    { "rate",
      false,
      [](S& aS, Text aValue) {
        aS.mRate = ParseDecimal(aValue).value_or(0);
        return aS.mRate > 0 && aS.mRate <= kMaxRate;
      },
      "requests a second, above 0 and up to 100000" },
    { "load",
      false,
      [](S& aS, Text aValue) {
        aS.mLoad = ParsePercent(aValue, kMaxLoadPercent);
        return aS.mLoad.value_or(0) > 0;
      },
      "share of the capacity, above 0% and up to 10000%" },
    { "run-time",
      false,
      [](S& aS, Text aValue) {
        return ReadRange(aValue, aS.mRunTime.mMin, aS.mRunTime.mMax);
      },
      kAllowedRange },
    { "tail-share",
      false,
      [](S& aS, Text aValue) {
        return ReadShare(aValue, aS.mRunTime.mTailShare);
      },
      kAllowedShare },
    { "tail-run-time",
      false,
      [](S& aS, Text aValue) {
        return ReadRange(aValue, aS.mRunTime.mTailMin, aS.mRunTime.mTailMax);
      },
      kAllowedRange },
    { "start",
      false,
      [](S& aS, Text aValue) {
        return ReadTime(aValue, Milliseconds(0), aS.mStart);
      },
      kAllowedTime },
    { "stop",
      false,
      [](S& aS, Text aValue) {
        return ReadTime(aValue, Milliseconds(1), aS.mStop.emplace());
      },
      kAllowedDuration },
    { "timeout",
      false,
      [](S& aS, Text aValue) {
        return ReadTime(aValue, Milliseconds(1), aS.mTimeout);
      },
      kAllowedDuration },
    { "cancel-share",
      false,
      [](S& aS, Text aValue) { return ReadShare(aValue, aS.mCancelShare); },
      kAllowedShare },
    { "cancel-after",
      false,
      [](S& aS, Text aValue) {
        return ReadTime(aValue, Milliseconds(0), aS.mCancelAfter);
      },
      kAllowedTime },
  };
  return kRows;
}

Error
ErrorAt(const std::string& aPath, int aLine, const std::string& aMessage)
{
  std::string place = aPath;
  if (aLine > 0) {
    place += ':' + std::to_string(aLine);
  }
  return Error(ErrorKind::InvalidSettings, place + ": " + aMessage);
}

template<typename Section>
std::string
AllowedKeys(const std::vector<Row<Section>>& aRows)
{
  std::string allowed;
  for (const Row<Section>& row : aRows) {
    allowed += (allowed.empty() ? "" : ", ") + std::string(row.mKey);
  }
  return allowed;
}

template<typename Section>
Result<void>
ReadEntry(const std::vector<Row<Section>>& aRows,
          Section& aSection,
          const std::string& aPath,
          const IniEntry& aEntry)
{
  for (const Row<Section>& row : aRows) {
    if (row.mKey != aEntry.mKey) {
      continue;
    }
    if (!row.mRead(aSection, aEntry.mValue)) {
      return ErrorAt(aPath,
                     aEntry.mLine,
                     aEntry.mKey + ": '" + aEntry.mValue +
                       "' is not allowed (allowed: " + row.mAllowed + ")");
    }
    return Success();
  }
  return ErrorAt(aPath,
                 aEntry.mLine,
                 "unknown key '" + aEntry.mKey + "' in [" + aEntry.mSection +
                   "] (allowed: " + AllowedKeys(aRows) + ")");
}

/** \brief Reads the entries of a file into an experiment. */
class Reader
{
public:
  explicit Reader(const IniFile& aFile)
    : mFile(aFile)
  {
    mExperiment.mPath = aFile.mPath;
  }

  Result<Experiment> Read()
  {
    for (const IniEntry& entry : mFile.mEntries) {
      if (!mGiven.insert(entry.mSection + '\n' + entry.mKey).second) {
        return ErrorAt(
          mFile.mPath, entry.mLine, "key '" + entry.mKey + "' is given twice");
      }
      BOOST_OUTCOME_TRYV(ReadOne(entry));
    }
    BOOST_OUTCOME_TRYV(CheckRequired(ExperimentRows(), "experiment"));
    for (const StreamSettings& stream : mExperiment.mStreams) {
      BOOST_OUTCOME_TRYV(
        CheckRequired(StreamRows(), std::string(kStreamPrefix) + stream.mName));
    }
    if (mExperiment.mStreams.empty()) {
      return ErrorAt(mFile.mPath, 0, "a section [stream NAME] is missing");
    }
    return mExperiment;
  }

private:
  Result<void> ReadOne(const IniEntry& aEntry)
  {
    const std::string& section = aEntry.mSection;
    if (section == "experiment") {
      return ReadEntry(ExperimentRows(), mExperiment, mFile.mPath, aEntry);
    }
    const std::string name =
      section.substr(0, kStreamPrefix.size()) == kStreamPrefix
        ? section.substr(kStreamPrefix.size())
        : std::string();
    if (!IsName(name)) {
      return ErrorAt(mFile.mPath,
                     aEntry.mLine,
                     "unknown section [" + section +
                       "] (allowed: experiment, stream NAME)");
    }
    return ReadEntry(
      StreamRows(), StreamOf(name, aEntry.mLine), mFile.mPath, aEntry);
  }

  StreamSettings& StreamOf(const std::string& aName, int aLine)
  {
    for (StreamSettings& stream : mExperiment.mStreams) {
      if (stream.mName == aName) {
        return stream;
      }
    }
    StreamSettings stream;
    stream.mName = aName;
    stream.mLine = aLine;
    mExperiment.mStreams.push_back(stream);
    return mExperiment.mStreams.back();
  }

  template<typename Section>
  Result<void> CheckRequired(const std::vector<Row<Section>>& aRows,
                             const std::string& aSection) const
  {
    for (const Row<Section>& row : aRows) {
      if (row.mRequired &&
          mGiven.count(aSection + '\n' + std::string(row.mKey)) == 0) {
        return ErrorAt(mFile.mPath,
                       0,
                       "key '" + std::string(row.mKey) + "' is missing in [" +
                         aSection + "]");
      }
    }
    return Success();
  }

  const IniFile& mFile;
  Experiment mExperiment;
  std::set<std::string> mGiven;
};

Result<void>
CompleteStream(const Experiment& aExperiment, StreamSettings& aStream)
{
  const auto fail = [&](const std::string& aMessage) {
    return ErrorAt(aExperiment.mPath,
                   aStream.mLine,
                   "[stream " + aStream.mName + "]: " + aMessage);
  };
  if (aStream.mLoad && aExperiment.mCapacity == 0) {
    return fail("load needs the key capacity in [experiment]");
  }
  if (aStream.mLoad) {
    aStream.mRate = *aStream.mLoad *
                    static_cast<double>(aExperiment.mCapacity) /
                    aStream.mRunTime.MeanSeconds();
  }
  if (aStream.mRate <= 0) {
    return fail("neither rate nor load is given");
  }
  if (aStream.mKind.empty()) {
    aStream.mKind = aStream.mService;
  }
  if (aStream.mStart >= aStream.mStop.value_or(aExperiment.mDuration)) {
    return fail("start is not before its stop or the end of the experiment");
  }
  return Success();
}

Result<Experiment>
ReadExperiment(const IniFile& aFile)
{
  Reader reader(aFile);
  BOOST_OUTCOME_TRY(experiment, reader.Read());
  BOOST_OUTCOME_TRYV(CompleteExperiment(experiment));
  return experiment;
}

double
LogUniformMean(Milliseconds aMin, Milliseconds aMax)
{
  constexpr double kMillisecondsPerSecond = 1000;
  const auto low = static_cast<double>(aMin.count());
  const auto high = static_cast<double>(aMax.count());
  const double mean = aMin == aMax ? low : (high - low) / std::log(high / low);
  return mean / kMillisecondsPerSecond;
}

}

double
RunTimeDistribution::MeanSeconds() const
{
  return (1 - mTailShare) * LogUniformMean(mMin, mMax) +
         mTailShare * LogUniformMean(mTailMin, mTailMax);
}

Result<std::vector<std::string>>
ParseTargets(const std::string& aText)
{
  std::string text = aText;
  std::replace(text.begin(), text.end(), ',', ' ');
  std::vector<std::string> targets = SplitWords(text);
  for (const std::string& target : targets) {
    if (!ParseSocketAddress(target)) {
      return Error(ErrorKind::InvalidArgument,
                   "target '" + target +
                     "' is not allowed (allowed: IP number and port, as "
                     "127.0.0.1:8080)");
    }
  }
  if (targets.empty()) {
    return Error(ErrorKind::InvalidArgument,
                 "no target is given (allowed: IP numbers and ports, as "
                 "127.0.0.1:8080)");
  }
  return targets;
}

Result<void>
CompleteExperiment(Experiment& aExperiment)
{
  if (aExperiment.mWarmUp >= aExperiment.mDuration) {
    return ErrorAt(
      aExperiment.mPath, 0, "warm-up is not shorter than duration");
  }
  for (StreamSettings& stream : aExperiment.mStreams) {
    BOOST_OUTCOME_TRYV(CompleteStream(aExperiment, stream));
  }
  return Success();
}

Result<Experiment>
LoadExperiment(const std::string& aPath)
{
  BOOST_OUTCOME_TRY(file, ReadIniFile(aPath));
  return ReadExperiment(file);
}

Result<Experiment>
ParseExperiment(const std::string& aPath, const std::string& aText)
{
  BOOST_OUTCOME_TRY(file, ParseIni(aPath, aText));
  return ReadExperiment(file);
}

}
