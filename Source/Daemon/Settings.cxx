#include "Daemon/Settings.h"

#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <utility>
#include <variant>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include "Base/IniFile.h"
#include "Daemon/SettingValues.h"
#include "Daemon/SubmissionSettings.h"

namespace almondspoke {

namespace {

using Milliseconds = std::chrono::milliseconds;

/** \brief An identifier, as IsName() allows it. */
struct NameField
{
  std::string Settings::*mMember;
};

/** \brief An existing, writable folder. */
struct FolderField
{
  std::string Settings::*mMember;
};

struct AddressField
{
  SocketAddress Settings::*mMember;
  int Settings::*mLine;
};

struct CountField
{
  std::size_t Settings::*mMember;
  std::size_t mMin;
  std::size_t mMax;
};

struct SizeField
{
  std::size_t Settings::*mMember;
  std::size_t mMin;
  std::size_t mMax;
};

struct DurationField
{
  Milliseconds Settings::*mMember;
  Milliseconds mMin;
  Milliseconds mMax;
};

struct StrategyField
{
  RoutingStrategy Settings::*mMember;
};

struct BoolField
{
  bool Settings::*mMember;
};

struct NetworksField
{
  std::vector<NetworkSettings> Settings::*mMember;
};

using Field = std::variant<NameField,
                           FolderField,
                           AddressField,
                           CountField,
                           SizeField,
                           DurationField,
                           StrategyField,
                           BoolField,
                           NetworksField>;

/** \brief Describes one key of the settings file. */
struct KeyDefinition
{
  std::string_view mSection;
  std::string_view mKey;
  bool mRequired;
  Field mField;
};

constexpr std::size_t kKiB = 1024;
constexpr std::size_t kMiB = 1024 * kKiB;
constexpr std::size_t kGiB = 1024 * kMiB;
constexpr Milliseconds kSecond{ 1000 };
constexpr Milliseconds kHour{ 3600000 };

const std::vector<KeyDefinition>&
KeyDefinitions()
{
  using S = Settings;
  static const std::vector<KeyDefinition> kDefinitions = {
    { "instance", "name", true, NameField{ &S::mName } },
    { "instance", "data-centre", true, NameField{ &S::mDataCentre } },
    { "instance", "data-folder", false, FolderField{ &S::mDataFolder } },
    { "listen",
      "callers",
      true,
      AddressField{ &S::mCallers, &S::mCallersLine } },
    { "listen",
      "operators",
      false,
      AddressField{ &S::mOperators, &S::mOperatorsLine } },
    { "listen", "peers", false, AddressField{ &S::mPeers, &S::mPeersLine } },
    { "listen", "threads", false, CountField{ &S::mThreads, 1, 64 } },
    { "endpoints",
      "allowed-networks",
      true,
      NetworksField{ &S::mAllowedNetworks } },
    { "endpoints",
      "max-endpoints",
      false,
      CountField{ &S::mMaxEndpoints, 1, 1000000 } },
    { "endpoints",
      "connect-timeout",
      false,
      DurationField{ &S::mConnectTimeout, Milliseconds(1), 60 * kSecond } },
    { "endpoints",
      "user-timeout",
      false,
      DurationField{ &S::mUserTimeout, Milliseconds(100), 600 * kSecond } },
    { "endpoints",
      "keep-alive-idle",
      false,
      DurationField{ &S::mKeepAliveIdle, kSecond, kHour } },
    { "endpoints",
      "max-idle",
      false,
      DurationField{ &S::mMaxIdle, kSecond, kHour } },
    { "limits",
      "header",
      false,
      SizeField{ &S::mMaxHeaderBytes, kKiB, 64 * kKiB } },
    { "limits", "body", false, SizeField{ &S::mMaxBodyBytes, kKiB, kGiB } },
    { "limits",
      "response",
      false,
      SizeField{ &S::mMaxResponseBytes, kKiB, kGiB } },
    { "limits",
      "connections",
      false,
      CountField{ &S::mMaxConnections, 1, 1000000 } },
    { "limits",
      "pipelined-requests",
      false,
      CountField{ &S::mMaxPipelinedRequests, 2, 1024 } },
    { "limits",
      "queued-requests",
      false,
      CountField{ &S::mMaxQueuedRequests, 1, 10000000 } },
    { "limits",
      "held-bodies",
      false,
      SizeField{ &S::mMaxHeldBytes, kMiB, 64 * kGiB } },
    { "limits",
      "unfinished-requests",
      false,
      SizeField{ &S::mMaxUnfinishedBytes, kMiB, 64 * kGiB } },
    { "limits",
      "decisions",
      false,
      CountField{ &S::mMaxDecisions, 16, 10000000 } },
    { "limits",
      "idle-timeout",
      false,
      DurationField{ &S::mIdleTimeout, kSecond, kHour } },
    { "limits",
      "request-timeout",
      false,
      DurationField{ &S::mRequestTimeout, Milliseconds(1), kHour } },
    { "routing", "strategy", false, StrategyField{ &S::mStrategy } },
    { "routing", "spill", false, BoolField{ &S::mSpill } },
    { "submissions",
      "answer-time",
      false,
      DurationField{ &S::mAnswerRetention, 60 * kSecond, 168 * kHour } },
    { "submissions",
      "answers",
      false,
      CountField{ &S::mMaxClaims, 1000, 10000000 } },
    { "submissions",
      "answer-bodies",
      false,
      SizeField{ &S::mMaxAnswerBytes, 256 * kKiB, kGiB } },
    { "submissions",
      "plain-keys",
      false,
      CountField{ &S::mMaxUndatedKeys, 1000, 100000000 } },
    { "submissions", "jobs", false, CountField{ &S::mMaxJobs, 1, 1000000 } },
    { "submissions",
      "job-bodies",
      false,
      SizeField{ &S::mMaxJobBodyBytes, kMiB, 64 * kGiB } },
    { "submissions",
      "job-results",
      false,
      SizeField{ &S::mMaxJobResultBytes, kMiB, kGiB } },
    { "drain",
      "balancer-delay",
      false,
      DurationField{ &S::mBalancerDelay, Milliseconds(0), kHour } },
    { "drain",
      "timeout",
      false,
      DurationField{ &S::mDrainTimeout, kSecond, 24 * kHour } },
    { "log", "folder", false, FolderField{ &S::mLogFolder } },
  };
  return kDefinitions;
}

Error
ErrorAt(const std::string& aPath, int aLine, const std::string& aText)
{
  return Error(ErrorKind::InvalidSettings,
               aPath + ':' + std::to_string(aLine) + ": " + aText);
}

std::string
Quoted(const std::string& aText)
{
  constexpr std::size_t kMaxShown = 80;
  return '\'' +
         (aText.size() > kMaxShown ? aText.substr(0, kMaxShown) + "..."
                                   : aText) +
         '\'';
}

const std::string kNameAllowed = "1 to 64 letters, digits, '.', '_' or '-'";

/** \brief Builds a Settings object from the entries of a file. */
class SettingsReader
{
public:
  explicit SettingsReader(const IniFile& aFile)
    : mFile(aFile)
  {
    mSettings.mPath = aFile.mPath;
  }

  Result<Settings> Read()
  {
    for (const IniEntry& entry : mFile.mEntries) {
      BOOST_OUTCOME_TRYV(ReadEntry(entry));
    }
    BOOST_OUTCOME_TRYV(CheckRequired());
    BOOST_OUTCOME_TRYV(CheckInstances());
    BOOST_OUTCOME_TRYV(CheckGroups());
    BOOST_OUTCOME_TRYV(CheckSubmissionSettings(mSettings));
    return std::move(mSettings);
  }

private:
  Result<void> ReadEntry(const IniEntry& aEntry)
  {
    const std::string id = aEntry.mSection + '/' + aEntry.mKey;
    if (!mSeen.insert(id).second) {
      return EntryError(aEntry,
                        "key " + Quoted(aEntry.mKey) + " is duplicated");
    }
    if (aEntry.mSection == "instances") {
      return ReadInstance(aEntry);
    }
    if (aEntry.mSection == "groups") {
      return ReadGroup(aEntry);
    }
    for (const KeyDefinition& row : KeyDefinitions()) {
      if (row.mSection == aEntry.mSection && row.mKey == aEntry.mKey) {
        return std::visit(
          [&](const auto& aField) { return Store(aEntry, aField); },
          row.mField);
      }
    }
    return UnknownKey(aEntry);
  }

  Error EntryError(const IniEntry& aEntry, const std::string& aText) const
  {
    return ErrorAt(mFile.mPath, aEntry.mLine, aText);
  }

  Error ValueError(const IniEntry& aEntry, const std::string& aAllowed) const
  {
    return EntryError(aEntry,
                      aEntry.mKey + ": " + Quoted(aEntry.mValue) +
                        " is not allowed (allowed: " + aAllowed + ')');
  }

  Error UnknownKey(const IniEntry& aEntry) const
  {
    std::string keys;
    std::set<std::string_view> sections{ "groups", "instances" };
    for (const KeyDefinition& row : KeyDefinitions()) {
      sections.insert(row.mSection);
      if (row.mSection == aEntry.mSection) {
        keys += (keys.empty() ? "" : ", ") + std::string(row.mKey);
      }
    }
    if (!keys.empty()) {
      return EntryError(aEntry,
                        "unknown key " + Quoted(aEntry.mKey) + " in [" +
                          aEntry.mSection + "] (allowed: " + keys + ')');
    }
    std::string names;
    for (const std::string_view section : sections) {
      names += (names.empty() ? "" : ", ") + std::string(section);
    }
    return EntryError(aEntry,
                      "unknown section [" + aEntry.mSection +
                        "] (allowed: " + names + ')');
  }

  Result<void> Store(const IniEntry& aEntry, const NameField& aField)
  {
    if (!IsName(aEntry.mValue)) {
      return ValueError(aEntry, kNameAllowed);
    }
    mSettings.*aField.mMember = aEntry.mValue;
    return Success();
  }

  Result<void> Store(const IniEntry& aEntry, const FolderField& aField)
  {
    std::error_code error;
    if (!std::filesystem::is_directory(aEntry.mValue, error) ||
        ::access(aEntry.mValue.c_str(), W_OK | X_OK) != 0) {
      return ValueError(aEntry, "an existing, writable folder");
    }
    mSettings.*aField.mMember = aEntry.mValue;
    return Success();
  }

  Result<void> Store(const IniEntry& aEntry, const AddressField& aField)
  {
    const std::optional<SocketAddress> address =
      ParseSocketAddress(aEntry.mValue);
    if (!address) {
      return ValueError(aEntry, "IP address and port, e.g. 127.0.0.1:8080");
    }
    mSettings.*aField.mMember = *address;
    mSettings.*aField.mLine = aEntry.mLine;
    return Success();
  }

  Result<void> Store(const IniEntry& aEntry, const CountField& aField)
  {
    const std::optional<std::size_t> value = ParseCount(aEntry.mValue);
    if (!value || *value < aField.mMin || *value > aField.mMax) {
      return ValueError(aEntry,
                        std::to_string(aField.mMin) + " to " +
                          std::to_string(aField.mMax));
    }
    mSettings.*aField.mMember = *value;
    return Success();
  }

  Result<void> Store(const IniEntry& aEntry, const SizeField& aField)
  {
    const std::optional<std::size_t> value = ParseSize(aEntry.mValue);
    if (!value || *value < aField.mMin || *value > aField.mMax) {
      return ValueError(aEntry,
                        FormatSize(aField.mMin) + " to " +
                          FormatSize(aField.mMax) + "; units B, KiB, MiB, GiB");
    }
    mSettings.*aField.mMember = *value;
    return Success();
  }

  Result<void> Store(const IniEntry& aEntry, const DurationField& aField)
  {
    const std::optional<Milliseconds> value = ParseDuration(aEntry.mValue);
    if (!value || *value < aField.mMin || *value > aField.mMax) {
      return ValueError(aEntry,
                        FormatDuration(aField.mMin) + " to " +
                          FormatDuration(aField.mMax) + "; units ms, s, m, h");
    }
    mSettings.*aField.mMember = *value;
    return Success();
  }

  Result<void> Store(const IniEntry& aEntry, const StrategyField& aField)
  {
    const auto strategy = ValueOf(kRoutingStrategyNames, aEntry.mValue);
    if (!strategy) {
      return ValueError(aEntry, AllowedNames(kRoutingStrategyNames));
    }
    mSettings.*aField.mMember = *strategy;
    return Success();
  }

  Result<void> Store(const IniEntry& aEntry, const BoolField& aField)
  {
    if (aEntry.mValue != "on" && aEntry.mValue != "off") {
      return ValueError(aEntry, "on, off");
    }
    mSettings.*aField.mMember = aEntry.mValue == "on";
    return Success();
  }

  Result<void> Store(const IniEntry& aEntry, const NetworksField& aField)
  {
    for (const std::string& part : Split(aEntry.mValue, ',')) {
      const std::optional<NetworkSettings> network = ParseNetwork(part);
      if (!network) {
        return ValueError(aEntry, "networks, e.g. 10.0.0.0/8, 192.168.1.0/24");
      }
      (mSettings.*aField.mMember).push_back(*network);
    }
    return Success();
  }

  Result<void> ReadInstance(const IniEntry& aEntry)
  {
    const std::string allowed =
      "DATA-CENTRE PEERS-IP:PORT CALLERS-IP:PORT [disk]";
    const std::vector<std::string> words = SplitWords(aEntry.mValue);
    const bool wellFormed =
      IsName(aEntry.mKey) &&
      (words.size() == 3 || (words.size() == 4 && words[3] == "disk")) &&
      IsName(words[0]);
    if (!wellFormed) {
      return ValueError(aEntry, allowed);
    }
    const auto peers = ParseSocketAddress(words[1]);
    const auto callers = ParseSocketAddress(words[2]);
    if (!peers || !callers) {
      return ValueError(aEntry, allowed);
    }
    mSettings.mInstances.push_back(
      { aEntry.mKey, words[0], *peers, *callers, words.size() == 4 });
    mInstanceLines[aEntry.mKey] = aEntry.mLine;
    return Success();
  }

  Result<void> ReadGroup(const IniEntry& aEntry)
  {
    constexpr std::string_view kSubmissions = "submissions-";
    if (aEntry.mKey != "configuration" &&
        aEntry.mKey.compare(0, kSubmissions.size(), kSubmissions) != 0) {
      return EntryError(aEntry,
                        "unknown group " + Quoted(aEntry.mKey) +
                          " (allowed: configuration, submissions-DATA-CENTRE)");
    }
    mSettings.mGroups.push_back(
      { aEntry.mKey, Split(aEntry.mValue, ','), aEntry.mLine });
    mGroupLines.push_back(aEntry.mLine);
    return Success();
  }

  Result<void> CheckRequired() const
  {
    for (const KeyDefinition& row : KeyDefinitions()) {
      const std::string id =
        std::string(row.mSection) + '/' + std::string(row.mKey);
      if (row.mRequired && mSeen.count(id) == 0) {
        return Error(ErrorKind::InvalidSettings,
                     mFile.mPath + ": key '" + std::string(row.mKey) +
                       "' is missing in [" + std::string(row.mSection) + ']');
      }
    }
    return Success();
  }

  const InstanceSettings* FindInstance(const InstanceName& aName) const
  {
    const auto found = std::find_if(
      mSettings.mInstances.begin(),
      mSettings.mInstances.end(),
      [&aName](const InstanceSettings& aOne) { return aOne.mName == aName; });
    return found == mSettings.mInstances.end() ? nullptr : &*found;
  }

  Result<void> CheckInstances() const
  {
    if (mSettings.mInstances.empty()) {
      return Success();
    }
    const InstanceSettings* self = FindInstance(mSettings.mName);
    if (self == nullptr) {
      return Error(ErrorKind::InvalidSettings,
                   mFile.mPath + ": instance " + Quoted(mSettings.mName) +
                     " is missing in [instances]");
    }
    if (self->mDataCentre != mSettings.mDataCentre) {
      return ErrorAt(mFile.mPath,
                     mInstanceLines.at(self->mName),
                     "data centre " + Quoted(self->mDataCentre) +
                       " differs from data-centre in [instance]");
    }
    if (self->mHasDisk && mSettings.mDataFolder.empty()) {
      return ErrorAt(mFile.mPath,
                     mInstanceLines.at(self->mName),
                     "an instance with a disk needs data-folder in "
                     "[instance]");
    }
    return Success();
  }

  Result<void> CheckGroups() const
  {
    for (std::size_t i = 0; i < mSettings.mGroups.size(); ++i) {
      for (const InstanceName& voter : mSettings.mGroups[i].mVoters) {
        const InstanceSettings* instance = FindInstance(voter);
        if (instance == nullptr || !instance->mHasDisk) {
          return ErrorAt(mFile.mPath,
                         mGroupLines[i],
                         "voter " + Quoted(voter) +
                           " is not allowed (allowed: instances of "
                           "[instances] with a disk)");
        }
      }
    }
    return Success();
  }

  const IniFile& mFile;
  Settings mSettings;
  std::set<std::string> mSeen;
  std::vector<int> mGroupLines;
  std::map<InstanceName, int> mInstanceLines;
};

Result<void>
CheckListenAddress(const Settings& aSettings,
                   const SocketAddress& aAddress,
                   int aLine)
{
  if (aLine == 0) {
    return Success();
  }
  asio::io_context context;
  asio::ip::tcp::acceptor acceptor(context);
  asio::error_code error;
  const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(aAddress.mHost),
                                         aAddress.mPort);
  acceptor.open(endpoint.protocol(), error);
  acceptor.set_option(asio::ip::tcp::acceptor::reuse_address(true), error);
  acceptor.bind(endpoint, error);
  if (error) {
    return ErrorAt(aSettings.mPath,
                   aLine,
                   "cannot listen on " + aAddress.ToString() + ": " +
                     error.message() +
                     " (allowed: an unused port on an address of this host)");
  }
  return Success();
}

}

Result<Settings>
LoadSettings(const std::string& aPath)
{
  BOOST_OUTCOME_TRY(file, ReadIniFile(aPath));
  return SettingsReader(file).Read();
}

Result<Settings>
ParseSettings(const std::string& aPath, const std::string& aText)
{
  BOOST_OUTCOME_TRY(file, ParseIni(aPath, aText));
  return SettingsReader(file).Read();
}

Result<void>
CheckListenAddresses(const Settings& aSettings)
{
  BOOST_OUTCOME_TRYV(
    CheckListenAddress(aSettings, aSettings.mCallers, aSettings.mCallersLine));
  BOOST_OUTCOME_TRYV(CheckListenAddress(
    aSettings, aSettings.mOperators, aSettings.mOperatorsLine));
  return CheckListenAddress(aSettings, aSettings.mPeers, aSettings.mPeersLine);
}

}
