// Measures one consensus group in this process: durable commands a second,
// their time, restarts, bytes on disk and traffic at rest.
// Usage: measure_consensus [FOLDER]   (a new folder under it is used)

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <deque>
#include <filesystem>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <unistd.h>

#include "Base/Clock.h"
#include "Consensus/ConsensusChannel.h"
#include "Consensus/ConsensusGroup.h"
#include "Consensus/DelayedJournalStorage.h"
#include "Consensus/FileJournalStorage.h"
#include "Support/FakePeerNetwork.h"

using namespace almondspoke;
using almondspoke::testing::FakePeerNetwork;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using SteadyClock = std::chrono::steady_clock;

namespace {

constexpr std::size_t kCommandBytes = 120;
constexpr std::size_t kKeptCommands = 100000;

double
Seconds(SteadyClock::duration aTime)
{
  return std::chrono::duration<double>(aTime).count();
}

/** \brief Keeps the latest commands, as a table of claims would. */
class RecentMachine : public StateMachine
{
public:
  std::string Apply(LogIndex, std::string_view aCommand) override
  {
    mCommands.emplace_back(aCommand);
    if (mCommands.size() > kKeptCommands) {
      mCommands.pop_front();
    }
    return {};
  }

  std::string TakeSnapshot() const override
  {
    std::string state;
    for (const std::string& command : mCommands) {
      state += command;
    }
    return state;
  }

  Result<void> RestoreSnapshot(std::string_view aSnapshot) override
  {
    mCommands.clear();
    for (std::size_t at = 0; at < aSnapshot.size(); at += kCommandBytes) {
      mCommands.emplace_back(aSnapshot.substr(at, kCommandBytes));
    }
    return Success();
  }

private:
  std::deque<std::string> mCommands;
};

/** \brief Syncs once for each record that was appended, as a journal without
 * group commit does. */
class SyncPerRecordStorage : public DelayedJournalStorage
{
public:
  using DelayedJournalStorage::DelayedJournalStorage;

  Result<void> Append(const std::string& aName,
                      std::string_view aBytes) override
  {
    constexpr std::size_t kHeaderBytes = 12;
    for (std::size_t at = 0; at + kHeaderBytes <= aBytes.size(); ++mRecords) {
      std::size_t length = 0;
      for (std::size_t byte = 0; byte < sizeof(std::uint32_t); ++byte) {
        length |= static_cast<std::size_t>(
                    static_cast<unsigned char>(aBytes[at + byte]))
                  << (8 * byte);
      }
      at += kHeaderBytes + length;
    }
    return DelayedJournalStorage::Append(aName, aBytes);
  }

  Result<void> Sync(const std::string& aName) override
  {
    Result<void> synced = DelayedJournalStorage::Sync(aName);
    for (; mRecords > 1 && synced; --mRecords) {
      synced = DelayedJournalStorage::Sync(aName);
    }
    mRecords = 0;
    return synced;
  }

private:
  std::size_t mRecords = 0;
};

/** \brief One instance of the measured group. */
struct Member
{
  Member(FakePeerNetwork& aNetwork,
         const ConsensusGroupOptions& aOptions,
         const std::string& aFolder,
         milliseconds aDelay,
         bool aGroupCommit)
    : mTransport(aNetwork.Of(aOptions.mSelf))
    , mChannel(mTransport)
  {
    if (!aFolder.empty()) {
      mFiles = FileJournalStorage::Open(aFolder).value();
      mStorage = aGroupCommit
                   ? std::make_unique<DelayedJournalStorage>(*mFiles, aDelay)
                   : std::make_unique<SyncPerRecordStorage>(*mFiles, aDelay);
    }
    mGroup = std::make_unique<ConsensusGroup>(
      aOptions, mChannel, mMachine, mClock, mStorage.get());
  }

  ~Member()
  {
    mTransport.Unsubscribe();
    mGroup->Stop();
  }

  Member(const Member&) = delete;
  Member& operator=(const Member&) = delete;

  SystemClock mClock;
  FakePeerNetwork::Transport& mTransport;
  ConsensusChannel mChannel;
  RecentMachine mMachine;
  std::unique_ptr<FileJournalStorage> mFiles;
  std::unique_ptr<DelayedJournalStorage> mStorage;
  std::unique_ptr<ConsensusGroup> mGroup;
};

ConsensusGroupOptions
OptionsOf(const InstanceName& aName,
          const std::vector<InstanceName>& aVoters,
          GroupId aGroup = 1)
{
  ConsensusGroupOptions options;
  options.mSelf = aName;
  options.mGroup = aGroup;
  options.mInitialVoters = aVoters;
  return options;
}

ConsensusGroup*
AwaitLeader(const std::vector<std::unique_ptr<Member>>& aMembers)
{
  while (true) {
    for (const auto& member : aMembers) {
      if (member->mGroup->IsLeader()) {
        return member->mGroup.get();
      }
    }
    std::this_thread::sleep_for(milliseconds(1));
  }
}

/** \brief Keeps a fixed number of commands under way. */
class ClosedLoop
{
public:
  ClosedLoop(ConsensusGroup& aGroup, std::size_t aInFlight)
    : mGroup(aGroup)
    , mInFlight(aInFlight)
  {
  }

  void Run(SteadyClock::duration aTime, std::uint64_t aMaxCommands)
  {
    mStart = SteadyClock::now();
    mEnd = mStart + aTime;
    mMax = aMaxCommands;
    for (std::size_t command = 0; command < mInFlight; ++command) {
      Next();
    }
    std::unique_lock<std::mutex> lock(mMutex);
    mIdle.wait(lock, [&] { return mOpen == 0; });
    mElapsed = SteadyClock::now() - mStart;
    std::sort(mTimes.begin(), mTimes.end());
  }

  double PerSecond() const
  {
    return static_cast<double>(mTimes.size()) / Seconds(mElapsed);
  }
  double Percentile(double aShare) const
  {
    const auto last = static_cast<double>(mTimes.size() - 1);
    return mTimes[static_cast<std::size_t>(aShare * last)] * 1000;
  }
  std::uint64_t Failures() const { return mFailures; }

private:
  void Next()
  {
    {
      const std::lock_guard<std::mutex> lock(mMutex);
      if (SteadyClock::now() >= mEnd || mSent >= mMax) {
        return;
      }
      ++mSent;
      ++mOpen;
    }
    const auto sent = SteadyClock::now();
    mGroup.Propose(std::string(kCommandBytes, 'c'),
                   [this, sent](const Result<std::string>& aResult) {
                     Note(SteadyClock::now() - sent, aResult.has_value());
                   });
  }

  void Note(SteadyClock::duration aTime, bool aDone)
  {
    {
      const std::lock_guard<std::mutex> lock(mMutex);
      if (aDone) {
        mTimes.push_back(Seconds(aTime));
      } else {
        ++mFailures;
      }
    }
    Next();
    const std::lock_guard<std::mutex> lock(mMutex);
    --mOpen;
    mIdle.notify_all();
  }

  ConsensusGroup& mGroup;
  std::size_t mInFlight;
  SteadyClock::time_point mStart;
  SteadyClock::time_point mEnd;
  std::uint64_t mMax = 0;
  SteadyClock::duration mElapsed{};
  std::mutex mMutex;
  std::condition_variable mIdle;
  std::size_t mOpen = 0;
  std::uint64_t mSent = 0;
  std::uint64_t mFailures = 0;
  std::vector<double> mTimes;
};

void
MeasureThroughput(const std::string& aFolder,
                  milliseconds aDelay,
                  bool aGroupCommit,
                  std::size_t aInFlight)
{
  std::filesystem::remove_all(aFolder);
  FakePeerNetwork network;
  const std::vector<InstanceName> names = { "a", "b", "c" };
  std::vector<std::unique_ptr<Member>> members;
  for (const InstanceName& name : names) {
    ConsensusGroupOptions options = OptionsOf(name, names);
    // Long syncs of a batch must not look like lost commands.
    options.mProposalTimeout = std::chrono::seconds(60);
    members.push_back(std::make_unique<Member>(
      network, options, aFolder + "/" + name, aDelay, aGroupCommit));
    members.back()->mGroup->Start().value();
  }
  ClosedLoop loop(*AwaitLeader(members), aInFlight);
  loop.Run(std::chrono::seconds(3), ~std::uint64_t{ 0 });
  std::printf("%8ld ms  %-14s %9zu  %12.0f  %9.2f  %9.2f  %8lu\n",
              static_cast<long>(aDelay.count()),
              aGroupCommit ? "group commit" : "one each",
              aInFlight,
              loop.PerSecond(),
              loop.Percentile(0.5),
              loop.Percentile(0.99),
              static_cast<unsigned long>(loop.Failures()));
  std::fflush(stdout);
}

std::uintmax_t
FolderBytes(const std::string& aFolder)
{
  std::uintmax_t bytes = 0;
  for (const auto& file : std::filesystem::directory_iterator(aFolder)) {
    bytes += file.file_size();
  }
  return bytes;
}

void
MeasureRestart(const std::string& aFolder, std::uint64_t aCommands)
{
  std::filesystem::remove_all(aFolder);
  FakePeerNetwork network;
  const std::vector<InstanceName> names = { "a" };
  const ConsensusGroupOptions options = OptionsOf("a", names);
  {
    std::vector<std::unique_ptr<Member>> members;
    members.push_back(std::make_unique<Member>(
      network, options, aFolder + "/a", milliseconds(0), true));
    members.back()->mGroup->Start().value();
    ClosedLoop loop(*AwaitLeader(members), 2000);
    loop.Run(std::chrono::minutes(5), aCommands);
  }
  const std::uintmax_t bytes = FolderBytes(aFolder + "/a");
  std::vector<std::unique_ptr<Member>> members;
  const auto begin = SteadyClock::now();
  members.push_back(std::make_unique<Member>(
    network, options, aFolder + "/a", milliseconds(0), true));
  members.back()->mGroup->Start().value();
  const auto read = SteadyClock::now();
  AwaitLeader(members);
  const auto ready = SteadyClock::now();
  std::printf("%10lu  %12.3f  %16.3f  %12lu  %11.1f\n",
              static_cast<unsigned long>(aCommands),
              Seconds(read - begin),
              Seconds(ready - begin),
              static_cast<unsigned long>(bytes),
              static_cast<double>(bytes) / static_cast<double>(aCommands));
  std::fflush(stdout);
}

void
MeasureIdle(std::size_t aConfigurationVoters)
{
  constexpr std::size_t kInstances = 9;
  constexpr std::chrono::seconds kTime{ 10 };
  FakePeerNetwork network;
  std::vector<InstanceName> names;
  for (std::size_t at = 0; at < kInstances; ++at) {
    names.emplace_back("instance-").append(std::to_string(at));
  }
  struct Instance
  {
    std::unique_ptr<Member> mConfiguration;
    RecentMachine mMachine;
    std::unique_ptr<ConsensusGroup> mSubmission;
  };
  const std::string folderName =
    "almondspoke-idle-" + std::to_string(::getpid());
  const std::string folder =
    (std::filesystem::temp_directory_path() / folderName).string();
  std::filesystem::remove_all(folder);
  const std::vector<InstanceName> voters(
    names.begin(),
    names.begin() + static_cast<std::ptrdiff_t>(aConfigurationVoters));
  const std::vector<InstanceName> submission(names.begin(), names.begin() + 3);
  std::vector<std::unique_ptr<FileJournalStorage>> disks;
  std::vector<std::unique_ptr<Instance>> instances;
  for (std::size_t at = 0; at < kInstances; ++at) {
    auto instance = std::make_unique<Instance>();
    const std::string disk = folder + "/" + names[at];
    instance->mConfiguration =
      std::make_unique<Member>(network,
                               OptionsOf(names[at], voters),
                               at < aConfigurationVoters ? disk : std::string(),
                               milliseconds(0),
                               true);
    instance->mConfiguration->mGroup->Start().value();
    if (at < submission.size()) {
      disks.push_back(FileJournalStorage::Open(disk + "-jobs").value());
      instance->mSubmission =
        std::make_unique<ConsensusGroup>(OptionsOf(names[at], submission, 2),
                                         instance->mConfiguration->mChannel,
                                         instance->mMachine,
                                         instance->mConfiguration->mClock,
                                         disks.back().get());
      instance->mSubmission->Start().value();
    }
    instances.push_back(std::move(instance));
  }
  std::this_thread::sleep_for(std::chrono::seconds(4));
  std::vector<std::uint64_t> bytes;
  std::vector<std::uint64_t> frames;
  for (const InstanceName& name : names) {
    bytes.push_back(network.SentBytes(name));
    frames.push_back(network.SentFrames(name));
  }
  std::this_thread::sleep_for(kTime);
  for (std::size_t at = 0; at < kInstances; ++at) {
    const auto seconds = static_cast<double>(kTime.count());
    std::printf(
      "%6zu  %-12s  %10.0f  %10.1f  %s%s\n",
      aConfigurationVoters,
      names[at].c_str(),
      static_cast<double>(network.SentBytes(names[at]) - bytes[at]) / seconds,
      static_cast<double>(network.SentFrames(names[at]) - frames[at]) / seconds,
      instances[at]->mConfiguration->mGroup->IsLeader() ? "leads config " : "",
      instances[at]->mSubmission && instances[at]->mSubmission->IsLeader()
        ? "leads submissions"
        : "");
  }
  for (const auto& instance : instances) {
    instance->mConfiguration->mTransport.Unsubscribe();
    instance->mSubmission.reset();
  }
  instances.clear();
  std::filesystem::remove_all(folder);
}

}

int
main(int aCount, char** aArguments)
{
  const std::string parent =
    aCount > 1 ? aArguments[1]
               : std::filesystem::temp_directory_path().string();
  const std::string folder =
    parent + "/almondspoke-measure-" + std::to_string(::getpid());

  std::printf("Commands of %zu bytes, three replicas, 3 s each\n",
              kCommandBytes);
  std::printf("added sync  sync           in flight    commands/s  median ms"
              "     p99 ms    failed\n");
  for (const milliseconds delay : { milliseconds(0), milliseconds(5) }) {
    for (const std::size_t inFlight : { 1UL, 16UL, 256UL, 2048UL }) {
      MeasureThroughput(folder, delay, true, inFlight);
    }
    for (const std::size_t inFlight : { 1UL, 16UL, 256UL }) {
      MeasureThroughput(folder, delay, false, inFlight);
    }
  }

  std::printf("\nRestart of a group of one\n");
  std::printf("  commands  storage read  until it leads s   bytes on disk"
              "  per command\n");
  for (const std::uint64_t commands : { 1000UL, 10000UL, 1000000UL }) {
    MeasureRestart(folder, commands);
  }
  std::filesystem::remove_all(folder);

  std::printf("\nSent at rest: configuration group with 9 members, submission "
              "group of 3\n");
  std::printf("voters  instance      payload B/s  frames/s\n");
  MeasureIdle(3);
  MeasureIdle(5);
  return 0;
}
