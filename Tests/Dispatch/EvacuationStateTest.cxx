// Requests to evacuate data centres in the replicated state.
#include <catch2/catch.hpp>

#include "Base/MessagePack.h"
#include "Dispatch/DispatchState.h"
#include "Dispatch/DispatchStateMachine.h"

using namespace almondspoke;
using namespace almondspoke::dispatch;

namespace {

/** \brief A snapshot as versions without evacuation have written it. */
struct FormerSnapshot
{
  Fence mFence = 0;
  Manifest mManifest;
  std::vector<WorkerReport> mWorkers;
  std::vector<StoredJob> mJobs;

  MSGPACK_DEFINE(mFence, mManifest, mWorkers, mJobs)
};

/** \brief A state machine that counts its notifications. */
struct MachineFixture
{
  std::string Apply(const EvacuationRecord& aRecord)
  {
    return mMachine.Apply(1, DispatchStateMachine::CommandOf(aRecord));
  }
  bool IsApplied(const EvacuationRecord& aRecord)
  {
    return DispatchStateMachine::WasApplied(Apply(aRecord));
  }
  DataCentreNames Evacuated() const
  {
    return mMachine.CurrentEvacuations().Evacuated();
  }

  int mNotifications = 0;
  DispatchStateMachine mMachine{ [](const auto&) {},
                                 [this] { ++mNotifications; } };
};

}

TEST_CASE("Evacuation state: a repeated request is acknowledged again, and the "
          "last one in log order wins")
{
  MachineFixture fixture;
  CHECK(fixture.IsApplied({ "riga", true, 0 }));
  CHECK(fixture.IsApplied({ "riga", true, 0 }));
  CHECK(fixture.Evacuated() == DataCentreNames{ "riga" });
  CHECK(fixture.mNotifications == 1);
  CHECK(fixture.IsApplied({ "riga", false, 1 }));
  CHECK(fixture.IsApplied({ "riga", false, 0 }));
  CHECK(fixture.Evacuated().empty());
  CHECK(fixture.mNotifications == 2);
}

TEST_CASE("Evacuation state: a delayed copy of a request does not undo a later "
          "one")
{
  MachineFixture fixture;
  CHECK(fixture.IsApplied({ "riga", true, 0 }));
  CHECK(fixture.IsApplied({ "riga", false, 1 }));
  CHECK(fixture.IsApplied({ "tartu", true, 0 }));
  const std::string response = fixture.Apply({ "riga", true, 0 });
  CHECK_FALSE(DispatchStateMachine::WasApplied(response));
  CHECK(DispatchStateMachine::RevisionIfOutdated(response) == 3U);
  CHECK(fixture.Evacuated() == DataCentreNames{ "tartu" });
  CHECK(fixture.IsApplied({ "riga", true, 3 }));
  CHECK(fixture.Evacuated() == DataCentreNames{ "riga", "tartu" });
}

TEST_CASE("Evacuation state: the number of names is bounded")
{
  Evacuations evacuations;
  const auto apply = [&](const std::string& aName, bool aIsEvacuated) {
    return evacuations.Apply({ aName, aIsEvacuated, evacuations.Revision() });
  };
  for (std::size_t i = 0; i < Evacuations::kMaxChanges; ++i) {
    CHECK(apply("d" + std::to_string(i), true) == EvacuationEffect::Changed);
  }
  CHECK(apply("more", true) == EvacuationEffect::Full);
  CHECK(apply("d7", false) == EvacuationEffect::Changed);
  CHECK(apply("more", true) == EvacuationEffect::Changed);
  CHECK_FALSE(evacuations.IsMentioned("d7"));
  CHECK(evacuations.Evacuated().size() == Evacuations::kMaxChanges);
  // The removed change still counts against records from before it.
  CHECK(apply("d8", false) == EvacuationEffect::Changed);
  CHECK(evacuations.Apply({ "d7", true, 7 }) == EvacuationEffect::Outdated);
}

TEST_CASE("Evacuation state: a snapshot restores it and notifies")
{
  MachineFixture fixture;
  fixture.Apply({ "riga", true, 0 });
  fixture.Apply({ "tartu", true, 0 });
  fixture.Apply({ "tartu", false, 2 });
  MachineFixture other;
  REQUIRE(other.mMachine.RestoreSnapshot(fixture.mMachine.TakeSnapshot()));
  CHECK(other.Evacuated() == DataCentreNames{ "riga" });
  CHECK(other.mNotifications == 1);
  CHECK_FALSE(other.IsApplied({ "tartu", true, 2 }));
  CHECK(other.mMachine.TakeSnapshot() == fixture.mMachine.TakeSnapshot());
}

TEST_CASE("Evacuation state: a snapshot of an earlier version is readable")
{
  FormerSnapshot former;
  former.mFence = 9;
  WorkerReport worker;
  worker.mBoot = { "w", 5 };
  former.mWorkers.push_back(worker);
  const Result<DispatchState> state = UnpackState(PackMessage(former));
  REQUIRE(state);
  CHECK(state.value().mFence == 9);
  CHECK(state.value().mWorkers.count("w") == 1);
  CHECK(state.value().mEvacuations.Evacuated().empty());
}
