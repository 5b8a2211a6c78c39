#include "Dispatch/NodeSettings.h"

#include <algorithm>
#include <charconv>

#include "Base/IniFile.h"

namespace almondspoke::dispatch {

namespace {

constexpr std::string_view kSectionName = "node";
constexpr std::uint32_t kMaxPort = 65535;
constexpr std::uint32_t kMaxToleratedLosses = 8;
constexpr std::uint32_t kMaxDurationMs = 600'000;
constexpr std::uint32_t kMillisecondsPerSecond = 1000;
constexpr std::uint32_t kMinLimit = 16;
constexpr std::uint32_t kMaxLimit = 100'000'000;
constexpr std::uint32_t kMaxSpreadFactor = 100;

std::vector<std::string>
SplitList(std::string_view aText)
{
  std::vector<std::string> parts;
  while (!aText.empty()) {
    const std::size_t comma = std::min(aText.find(','), aText.size());
    std::string_view part = aText.substr(0, comma);
    const std::size_t first = part.find_first_not_of(' ');
    const std::size_t last = part.find_last_not_of(' ');
    if (first != std::string_view::npos) {
      parts.emplace_back(part.substr(first, last - first + 1));
    }
    aText.remove_prefix(std::min(comma + 1, aText.size()));
  }
  return parts;
}

/** \brief Sets fields of NodeSettings from INI entries. */
class SettingsReader
{
public:
  explicit SettingsReader(const std::string& aPath)
    : mPath(aPath)
  {
  }

  Result<void> Read(const IniEntry& aEntry)
  {
    using Set = Result<void> (SettingsReader::*)(const IniEntry&);
    struct Row
    {
      std::string_view mKey;
      Set mSet;
    };
    static constexpr std::array<Row, 23> kRows = { {
      { "role", &SettingsReader::SetRole },
      { "name", &SettingsReader::SetText<&NodeSettings::mName> },
      { "data-centre", &SettingsReader::SetText<&NodeSettings::mDataCentre> },
      { "address", &SettingsReader::SetText<&NodeSettings::mAddress> },
      { "peer-port", &SettingsReader::SetPort },
      { "seeds", &SettingsReader::SetSeeds },
      { "callers", &SettingsReader::SetText<&NodeSettings::mCallersAddress> },
      { "readiness",
        &SettingsReader::SetText<&NodeSettings::mReadinessAddress> },
      { "control", &SettingsReader::SetText<&NodeSettings::mControlAddress> },
      { "metrics", &SettingsReader::SetText<&NodeSettings::mMetricsAddress> },
      { "data-folder", &SettingsReader::SetText<&NodeSettings::mDataFolder> },
      { "may-found", &SettingsReader::SetMayCreateGroup },
      { "tolerated-losses", &SettingsReader::SetToleratedLosses },
      { "max-hold-ms",
        &SettingsReader::SetMilliseconds<&NodeSettings::mMaxLease> },
      { "worker-report-ms",
        &SettingsReader::SetMilliseconds<
          &NodeSettings::mWorkerReportInterval> },
      { "grace-ms",
        &SettingsReader::SetMilliseconds<&NodeSettings::mShutdownGracePeriod> },
      { "grace-s",
        &SettingsReader::SetSeconds<&NodeSettings::mShutdownGracePeriod> },
      { "memory-mb",
        &SettingsReader::SetLimit<&NodeSettings::mMemoryMegabytes> },
      { "max-descriptors",
        &SettingsReader::SetLimit<&NodeSettings::mMaxDescriptors> },
      { "data-centres", &SettingsReader::SetDataCentres },
      { "learn-run-times", &SettingsReader::SetLearnRunTimes },
      { "spread-factor", &SettingsReader::SetSpreadFactor },
      { "admission", &SettingsReader::SetAdmission },
    } };
    const auto row =
      std::find_if(kRows.begin(), kRows.end(), [&](const Row& aRow) {
        return aRow.mKey == aEntry.mKey;
      });
    if (row != kRows.end()) {
      return (this->*row->mSet)(aEntry);
    }
    std::string allowed;
    for (const Row& known : kRows) {
      allowed += (allowed.empty() ? "" : ", ") + std::string(known.mKey);
    }
    return Invalid(aEntry, "unknown key", allowed);
  }

  Result<NodeSettings> Finish() const
  {
    const auto missing = [&](std::string_view aKey) {
      return Error(ErrorKind::InvalidSettings,
                   mPath + ": [node] " + std::string(aKey) + " is missing");
    };
    if (mSettings.mName.empty()) {
      return missing("name");
    }
    if (mSettings.mAddress.empty()) {
      return missing("address");
    }
    if (mSettings.mPeerPort == 0) {
      return missing("peer-port");
    }
    if (mSettings.mSeeds.empty()) {
      return missing("seeds");
    }
    const bool isCoordinator = mSettings.mRole == NodeRole::Coordinator;
    if (isCoordinator && mSettings.mControlAddress.empty()) {
      return missing("control");
    }
    if (isCoordinator && mSettings.mDataFolder.empty()) {
      return missing("data-folder");
    }
    if (!isCoordinator && mSettings.mCallersAddress.empty()) {
      return missing("callers");
    }
    return mSettings;
  }

private:
  Error Invalid(const IniEntry& aEntry,
                const std::string& aWhat,
                const std::string& aAllowed) const
  {
    return { ErrorKind::InvalidSettings,
             mPath + ":" + std::to_string(aEntry.mLine) + ": [" +
               aEntry.mSection + "] " + aEntry.mKey + " = '" + aEntry.mValue +
               "': " + aWhat + " (allowed: " + aAllowed + ")" };
  }

  Result<std::uint32_t> ParseNumber(const IniEntry& aEntry,
                                    std::uint32_t aLowest,
                                    std::uint32_t aHighest) const
  {
    std::uint32_t number = 0;
    const char* end = aEntry.mValue.data() + aEntry.mValue.size();
    const auto parsed = std::from_chars(aEntry.mValue.data(), end, number);
    const bool isNumber = parsed.ec == std::errc() && parsed.ptr == end;
    if (!isNumber || number < aLowest || number > aHighest) {
      return Invalid(aEntry,
                     "not a number in range",
                     std::to_string(aLowest) + " to " +
                       std::to_string(aHighest));
    }
    return number;
  }

  Result<void> SetRole(const IniEntry& aEntry)
  {
    const auto role = ValueOf(kNodeRoleNames, aEntry.mValue);
    if (!role) {
      return Invalid(aEntry, "unknown role", AllowedNames(kNodeRoleNames));
    }
    mSettings.mRole = *role;
    return Success();
  }

  template<std::string NodeSettings::*Field>
  Result<void> SetText(const IniEntry& aEntry)
  {
    mSettings.*Field = aEntry.mValue;
    return Success();
  }

  /** Parses a duration, which may have a fraction.
   * \param aMillisecondsPerUnit milliseconds in the unit of the setting */
  Result<std::chrono::milliseconds> ParseDuration(
    const IniEntry& aEntry,
    std::uint32_t aMillisecondsPerUnit) const
  {
    double number = 0;
    const char* end = aEntry.mValue.data() + aEntry.mValue.size();
    const auto parsed = std::from_chars(
      aEntry.mValue.data(), end, number, std::chars_format::fixed);
    const bool isNumber = parsed.ec == std::errc() && parsed.ptr == end;
    const double time = number * aMillisecondsPerUnit;
    if (!isNumber || !(time >= 1 && time <= kMaxDurationMs)) {
      return Invalid(aEntry,
                     "not a number in range",
                     "1 to " + std::to_string(kMaxDurationMs) + " ms");
    }
    return std::chrono::milliseconds(static_cast<std::int64_t>(time));
  }

  template<std::chrono::milliseconds NodeSettings::*Field>
  Result<void> SetMilliseconds(const IniEntry& aEntry)
  {
    BOOST_OUTCOME_TRY(time, ParseDuration(aEntry, 1));
    mSettings.*Field = time;
    return Success();
  }

  template<std::chrono::milliseconds NodeSettings::*Field>
  Result<void> SetSeconds(const IniEntry& aEntry)
  {
    BOOST_OUTCOME_TRY(time, ParseDuration(aEntry, kMillisecondsPerSecond));
    mSettings.*Field = time;
    return Success();
  }

  Result<void> SetPort(const IniEntry& aEntry)
  {
    BOOST_OUTCOME_TRY(port, ParseNumber(aEntry, 1, kMaxPort));
    mSettings.mPeerPort = static_cast<std::uint16_t>(port);
    return Success();
  }

  Result<void> SetSeeds(const IniEntry& aEntry)
  {
    mSettings.mSeeds = SplitList(aEntry.mValue);
    return Success();
  }

  Result<void> SetMayCreateGroup(const IniEntry& aEntry)
  {
    if (aEntry.mValue != "true" && aEntry.mValue != "false") {
      return Invalid(aEntry, "not a boolean", "true, false");
    }
    mSettings.mMayCreateGroup = aEntry.mValue == "true";
    return Success();
  }

  Result<void> SetToleratedLosses(const IniEntry& aEntry)
  {
    BOOST_OUTCOME_TRY(losses, ParseNumber(aEntry, 0, kMaxToleratedLosses));
    mSettings.mToleratedLosses = losses;
    return Success();
  }

  template<std::uint32_t NodeSettings::*Field>
  Result<void> SetLimit(const IniEntry& aEntry)
  {
    BOOST_OUTCOME_TRY(number, ParseNumber(aEntry, kMinLimit, kMaxLimit));
    mSettings.*Field = number;
    return Success();
  }

  Result<void> SetDataCentres(const IniEntry& aEntry)
  {
    mSettings.mDataCentres = SplitList(aEntry.mValue);
    return Success();
  }

  Result<void> SetLearnRunTimes(const IniEntry& aEntry)
  {
    if (aEntry.mValue != "yes" && aEntry.mValue != "no") {
      return Invalid(aEntry, "not a boolean", "yes, no");
    }
    mSettings.mLearnRunTimes = aEntry.mValue == "yes";
    return Success();
  }

  Result<void> SetSpreadFactor(const IniEntry& aEntry)
  {
    double factor = 0;
    const char* end = aEntry.mValue.data() + aEntry.mValue.size();
    const auto parsed = std::from_chars(
      aEntry.mValue.data(), end, factor, std::chars_format::fixed);
    const bool isNumber = parsed.ec == std::errc() && parsed.ptr == end;
    if (!isNumber || !(factor >= 1 && factor <= kMaxSpreadFactor)) {
      return Invalid(aEntry,
                     "not a number in range",
                     "1 to " + std::to_string(kMaxSpreadFactor));
    }
    mSettings.mSpreadFactor = factor;
    return Success();
  }

  Result<void> SetAdmission(const IniEntry& aEntry)
  {
    const auto policy = ValueOf(kAdmissionPolicyNames, aEntry.mValue);
    if (!policy) {
      return Invalid(
        aEntry, "unknown policy", AllowedNames(kAdmissionPolicyNames));
    }
    mSettings.mAdmission = *policy;
    return Success();
  }

  const std::string& mPath;
  NodeSettings mSettings;
};

Result<NodeSettings>
ReadEntries(const IniFile& aFile)
{
  SettingsReader reader(aFile.mPath);
  for (const IniEntry& entry : aFile.mEntries) {
    if (entry.mSection != kSectionName) {
      return Error(ErrorKind::InvalidSettings,
                   aFile.mPath + ":" + std::to_string(entry.mLine) +
                     ": unknown section [" + entry.mSection +
                     "] (allowed: node)");
    }
    BOOST_OUTCOME_TRYV(reader.Read(entry));
  }
  return reader.Finish();
}

}

Result<NodeSettings>
ParseNodeSettings(const std::string& aPath, const std::string& aText)
{
  BOOST_OUTCOME_TRY(file, ParseIni(aPath, aText));
  return ReadEntries(file);
}

Result<NodeSettings>
LoadNodeSettings(const std::string& aPath)
{
  BOOST_OUTCOME_TRY(file, ReadIniFile(aPath));
  return ReadEntries(file);
}

bool
IsNodeSettings(const std::string& aPath)
{
  const Result<IniFile> file = ReadIniFile(aPath);
  return file && !file.value().mEntries.empty() &&
         file.value().mEntries.front().mSection == kSectionName;
}

}
