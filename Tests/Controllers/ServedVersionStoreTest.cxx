#include <atomic>
#include <future>
#include <memory>
#include <optional>
#include <string>

#include <catch2/catch.hpp>

#include "Controllers/RulesPublisher.h"
#include "Controllers/ServedVersionStore.h"
#include "Support/Eventually.h"
#include "Support/ManualClock.h"
#include "Support/MemoryJournalStorage.h"

using namespace almondspoke;
using almondspoke::testing::Eventually;
using almondspoke::testing::ManualClock;
using almondspoke::testing::MemoryJournalStorage;

namespace {

constexpr const char* kText = "reserve deposit 5% # desk\n";
constexpr const char* kFile = "served-version";

/** \brief A storage whose syncs block until the given future is ready. */
class BlockingStorage : public MemoryJournalStorage
{
public:
  explicit BlockingStorage(std::shared_future<void> aMaySync)
    : mMaySync(std::move(aMaySync))
  {
  }

  Result<void> Sync(const std::string& aName) override
  {
    ++mStartedSyncs;
    mMaySync.wait();
    return MemoryJournalStorage::Sync(aName);
  }

  std::atomic<int> mStartedSyncs{ 0 };

private:
  const std::shared_future<void> mMaySync;
};

std::unique_ptr<MemoryJournalStorage>
MakeStorage(MemoryJournalStorage::Files aFiles)
{
  auto disk = std::make_unique<MemoryJournalStorage>();
  disk->SetFiles(std::move(aFiles));
  return disk;
}

/** \brief The rules publisher of an instance with a disk. */
struct Instance
{
  explicit Instance(std::unique_ptr<JournalStorage> aDisk)
  {
    const Result<RulesVersion> kept = mStore.Open(std::move(aDisk));
    REQUIRE(kept);
    mPublisher.RecordKnownVersion(kept.value());
  }
  ~Instance() { mStore.Stop(); }

  ManualClock mClock;
  ServedVersionStore mStore;
  RulesPublisher mPublisher{ mClock, &mStore };
};

}

TEST_CASE(
  "Served version: a restarted instance is not ready with a lower version")
{
  MemoryJournalStorage::Files files;
  {
    auto disk = std::make_unique<MemoryJournalStorage>();
    const MemoryJournalStorage& seen = *disk;
    Instance before(std::move(disk));
    before.mPublisher.OnConfiguration({ 5, kText });
    REQUIRE(Eventually([&] { return before.mPublisher.ServedVersion() == 5; }));
    files = seen.Copy();
  }
  Instance after(MakeStorage(files));
  after.mPublisher.ConfirmHighestKnownVersion();
  CHECK_FALSE(after.mPublisher.IsVersionConfirmed());
  REQUIRE(after.mPublisher.OnPeerConfiguration({ 4, kText }));
  CHECK_FALSE(after.mPublisher.IsVersionConfirmed());
  REQUIRE(after.mPublisher.OnPeerConfiguration({ 5, kText }));
  CHECK(Eventually([&] { return after.mPublisher.IsReady(); }));
}

TEST_CASE("Served version: it is written to disk before it is served")
{
  std::promise<void> maySync;
  auto disk = std::make_unique<BlockingStorage>(maySync.get_future().share());
  const BlockingStorage& seen = *disk;
  Instance instance(std::move(disk));
  instance.mPublisher.ConfirmHighestKnownVersion();
  instance.mPublisher.OnConfiguration({ 3, kText });
  REQUIRE(Eventually([&] { return seen.mStartedSyncs == 1; }));
  CHECK(instance.mPublisher.ServedVersion() == 0);
  // These arrive during the write; the group does not wait for the disk.
  instance.mPublisher.OnConfiguration({ 4, kText });
  instance.mPublisher.OnConfiguration({ 5, kText });
  maySync.set_value();
  CHECK(Eventually([&] { return instance.mPublisher.ServedVersion() == 5; }));
  CHECK(seen.mStartedSyncs == 2);
}

TEST_CASE("Served version: an instance continues to serve after a disk error")
{
  auto disk = std::make_unique<MemoryJournalStorage>();
  disk->SetCapacity(0);
  Instance instance(std::move(disk));
  instance.mPublisher.OnConfiguration({ 3, kText });
  CHECK(Eventually([&] { return instance.mPublisher.ServedVersion() == 3; }));
  instance.mPublisher.ConfirmHighestKnownVersion();
  CHECK(instance.mPublisher.IsReady());
}

TEST_CASE("Served version: contents of the file")
{
  struct Row
  {
    std::string mContent;
    std::optional<RulesVersion> mStoredVersion;
  };
  const std::string longFile(ServedVersionStore::kMaxFileBytes, '0');
  for (const Row& row : { Row{ "", 0 },
                          Row{ "5\n", 5 },
                          Row{ "4\n5\n", 5 },
                          Row{ "5\n4\n", 5 },
                          Row{ "5\n6", 5 },
                          Row{ longFile + "5\n", 5 },
                          Row{ "five\n", std::nullopt },
                          Row{ "-1\n", std::nullopt },
                          Row{ "5\n\n", std::nullopt } }) {
    INFO(row.mContent);
    ServedVersionStore store;
    auto disk =
      MakeStorage({ { kFile, { row.mContent, row.mContent.size() } } });
    MemoryJournalStorage& seen = *disk;
    const Result<RulesVersion> kept = store.Open(std::move(disk));
    REQUIRE(kept.has_value() == row.mStoredVersion.has_value());
    if (!kept) {
      CHECK(kept.error().Kind() == ErrorKind::StorageFailed);
      CHECK(kept.error().Message().find("'served-version'") !=
            std::string::npos);
      continue;
    }
    CHECK(kept.value() == *row.mStoredVersion);
    // The next version is written to a separate line.
    std::promise<void> done;
    store.Store(17, [&done] { done.set_value(); });
    done.get_future().wait();
    const MemoryJournalStorage::Files files = seen.Copy();
    store.Stop();
    ServedVersionStore next;
    const Result<RulesVersion> again = next.Open(MakeStorage(files));
    REQUIRE(again);
    CHECK(again.value() == 17);
    CHECK(files.at(kFile).mContent.size() < ServedVersionStore::kMaxFileBytes);
  }
}

TEST_CASE("Served version: a failed write does not corrupt the next version")
{
  auto disk = std::make_unique<MemoryJournalStorage>();
  MemoryJournalStorage& seen = *disk;
  ServedVersionStore store;
  REQUIRE(store.Open(std::move(disk)));
  const auto keep = [&store](RulesVersion aVersion) {
    std::promise<void> done;
    store.Store(aVersion, [&done] { done.set_value(); });
    done.get_future().wait();
  };
  seen.SetCapacity(1);
  keep(12);
  CHECK(seen.Copy().count(kFile) == 1);
  seen.SetCapacity(1000);
  keep(13);
  ServedVersionStore next;
  const Result<RulesVersion> kept = next.Open(MakeStorage(seen.Copy()));
  REQUIRE(kept);
  CHECK(kept.value() == 13);
}
