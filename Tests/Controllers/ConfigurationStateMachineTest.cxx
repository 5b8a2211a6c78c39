#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "Controllers/ConfigurationStateMachine.h"

using namespace almondspoke;

namespace {

class RecordingObserver : public ConfigurationObserver
{
public:
  void OnConfiguration(const RulesText& aRules) override
  {
    mVersions.push_back(aRules.mVersion);
  }

  std::vector<RulesVersion> mVersions;
};

ChangeCommand
NewText(std::string aId, RulesVersion aBase, std::string aText)
{
  ChangeCommand command;
  command.mRequestId = std::move(aId);
  command.mBaseVersion = aBase;
  command.mText = std::move(aText);
  command.mAuthor = "ana";
  command.mWallMilliseconds = 1000;
  return command;
}

ChangeCommand
RollbackTo(std::string aId, RulesVersion aBase, RulesVersion aTarget)
{
  ChangeCommand command = NewText(std::move(aId), aBase, "");
  command.mKind = ChangeKind::Rollback;
  command.mTargetVersion = aTarget;
  return command;
}

/** Returns a distinct text of four bytes for each version below 90. */
std::string
FourBytes(RulesVersion aVersion)
{
  return "v " + std::to_string(aVersion + 10);
}

ChangeCommand
Edited(std::string aId,
       RulesVersion aBase,
       const std::string& aBaseText,
       const std::string& aText)
{
  ChangeCommand command = NewText(std::move(aId), aBase, "");
  command.mDelta = DiffLines(aBaseText, aText);
  return command;
}

std::string
ManyLines(int aChangedLine, int aValue)
{
  std::string text;
  for (int line = 0; line < 1000; ++line) {
    text += "quota team-" + std::to_string(line) + " " +
            std::to_string(line == aChangedLine ? aValue : 64) +
            " slots # asked by the north crew lead\n";
  }
  return text;
}

ChangeResponse
Send(ConfigurationStateMachine& aMachine, const ChangeCommand& aCommand)
{
  const auto response =
    DecodeResponse(aMachine.Apply(1, EncodeCommand(aCommand)));
  REQUIRE(response);
  return response.value();
}

ConfigurationLimits
SmallLimits()
{
  ConfigurationLimits limits;
  limits.mMaxRequestIds = 4;
  limits.mMaxChanges = 3;
  // Enough for two deltas of one edit, but not for three.
  limits.mMaxTextBytes = SizeOf(DiffRange("", "four")) * 5 / 2;
  return limits;
}

}

TEST_CASE(
  "Configuration: of two changes on one base, the second gets a conflict")
{
  RecordingObserver observer;
  ConfigurationStateMachine machine({}, observer);
  const ChangeResponse first = Send(machine, NewText("a", 0, "one"));
  const ChangeResponse second = Send(machine, NewText("b", 0, "two"));
  CHECK(first.mOutcome == ChangeOutcome::Accepted);
  CHECK(first.mVersion == 1);
  CHECK(second.mOutcome == ChangeOutcome::VersionConflict);
  CHECK(second.mVersion == 1);
  REQUIRE(second.mWinner);
  CHECK(second.mWinner->mVersion == 1);
  CHECK(second.mWinner->mRequestId == "a");
  CHECK(machine.Current().mText == "one");
  CHECK(observer.mVersions == std::vector<RulesVersion>{ 1 });
}

TEST_CASE("Configuration: a base version above the current one is a conflict")
{
  RecordingObserver observer;
  ConfigurationStateMachine machine({}, observer);
  for (const RulesVersion base : { RulesVersion{ 1 }, ~RulesVersion{ 0 } }) {
    const ChangeResponse response =
      Send(machine, NewText("a" + std::to_string(base), base, "one"));
    CHECK(response.mOutcome == ChangeOutcome::VersionConflict);
    CHECK(response.mVersion == 0);
    CHECK_FALSE(response.mWinner);
  }
}

TEST_CASE(
  "Configuration: a retry gets the first response, also after a restart")
{
  RecordingObserver observer;
  ConfigurationStateMachine machine({}, observer);
  Send(machine, NewText("a", 0, "one"));
  Send(machine, NewText("lost", 0, "two"));
  Send(machine, NewText("c", 1, "three"));

  RecordingObserver restartedObserver;
  ConfigurationStateMachine restarted({}, restartedObserver);
  REQUIRE(restarted.RestoreSnapshot(machine.TakeSnapshot()));
  CHECK(restartedObserver.mVersions == std::vector<RulesVersion>{ 2 });

  for (ConfigurationStateMachine* each : { &machine, &restarted }) {
    ChangeCommand resent = NewText("a", 0, "one");
    resent.mWallMilliseconds = 5000;
    const ChangeResponse accepted = Send(*each, resent);
    CHECK(accepted.mOutcome == ChangeOutcome::Accepted);
    CHECK(accepted.mVersion == 1);
    const ChangeResponse conflict = Send(*each, NewText("lost", 0, "two"));
    CHECK(conflict.mOutcome == ChangeOutcome::VersionConflict);
    CHECK(conflict.mVersion == 1);
    CHECK(each->Current().mVersion == 2);
    CHECK(each->Current().mText == "three");
    CHECK(each->History(10).size() == 2);
  }
}

TEST_CASE("Configuration: reusing a request id for another change is rejected")
{
  RecordingObserver observer;
  ConfigurationStateMachine machine({}, observer);
  Send(machine, NewText("a", 0, "one"));
  const ChangeCommand others[] = { NewText("a", 0, "two"),
                                   NewText("a", 1, "one"),
                                   RollbackTo("a", 0, 1) };
  for (const ChangeCommand& other : others) {
    CHECK(Send(machine, other).mOutcome == ChangeOutcome::RequestIdReused);
  }
  CHECK(machine.Current().mVersion == 1);
}

TEST_CASE("Configuration: a rollback is a new version with the old text")
{
  RecordingObserver observer;
  ConfigurationStateMachine machine({}, observer);
  Send(machine, NewText("a", 0, "one"));
  Send(machine, NewText("b", 1, "two"));
  const ChangeResponse back = Send(machine, RollbackTo("c", 2, 1));
  CHECK(back.mOutcome == ChangeOutcome::Accepted);
  CHECK(back.mVersion == 3);
  CHECK(machine.Current().mText == "one");
  CHECK(machine.History(1).front().mRollbackOf == 1);
  CHECK(Send(machine, RollbackTo("d", 3, 9)).mOutcome ==
        ChangeOutcome::UnknownVersion);
  CHECK(Send(machine, RollbackTo("e", 2, 1)).mOutcome ==
        ChangeOutcome::VersionConflict);
  CHECK(observer.mVersions == std::vector<RulesVersion>{ 1, 2, 3 });
}

TEST_CASE("Configuration: stored state is bounded while the version increases")
{
  RecordingObserver observer;
  ConfigurationStateMachine machine(SmallLimits(), observer);
  for (RulesVersion version = 0; version < 20; ++version) {
    const ChangeResponse response = Send(
      machine,
      NewText("id" + std::to_string(version), version, FourBytes(version)));
    CHECK(response.mVersion == version + 1);
  }
  CHECK(machine.History(100).size() == 3);
  CHECK(machine.TextOf(20)->mText == FourBytes(19));
  CHECK(machine.TextOf(18)->mText == FourBytes(17));
  CHECK_FALSE(machine.TextOf(17));
  CHECK(Send(machine, NewText("id16", 16, FourBytes(16))).mOutcome ==
        ChangeOutcome::Accepted);
  // A retry whose request id was removed does not repeat the change, since its
  // base version is outdated.
  CHECK(Send(machine, NewText("id15", 15, FourBytes(15))).mOutcome ==
        ChangeOutcome::VersionConflict);
  CHECK(machine.Current().mVersion == 20);
}

TEST_CASE("Configuration: replicas that apply the same commands are equal")
{
  RecordingObserver observer;
  ConfigurationStateMachine left(SmallLimits(), observer);
  ConfigurationStateMachine right(SmallLimits(), observer);
  for (int step = 0; step < 50; ++step) {
    const ChangeCommand command =
      step % 5 == 4
        ? RollbackTo("id" + std::to_string(step % 7), step / 2, step / 3)
        : NewText("id" + std::to_string(step), step / 2, "text");
    const std::string encoded = EncodeCommand(command);
    CHECK(left.Apply(step, encoded) == right.Apply(step, encoded));
    if (step % 10 == 3) {
      REQUIRE(right.RestoreSnapshot(left.TakeSnapshot()));
    }
    CHECK(left.TakeSnapshot() == right.TakeSnapshot());
  }
}

TEST_CASE("Configuration: a damaged command or snapshot changes nothing")
{
  RecordingObserver observer;
  ConfigurationStateMachine machine({}, observer);
  Send(machine, NewText("a", 0, "one"));
  for (const std::string& command : { std::string(),
                                      std::string("\xc1"),
                                      std::string("\x93\x01\x02\x03") }) {
    const auto response = DecodeResponse(machine.Apply(2, command));
    REQUIRE(response);
    CHECK(response.value().mOutcome == ChangeOutcome::Malformed);
  }
  const std::string snapshot = machine.TakeSnapshot();
  for (std::size_t length = 0; length < snapshot.size(); ++length) {
    const auto restored = machine.RestoreSnapshot(snapshot.substr(0, length));
    REQUIRE_FALSE(restored);
    CHECK(restored.error().Kind() == ErrorKind::StorageCorrupt);
  }
  CHECK(machine.Current().mVersion == 1);
  CHECK(machine.Current().mText == "one");
}

TEST_CASE("Configuration: a delta gives the same result as the full text")
{
  RecordingObserver observer;
  ConfigurationStateMachine byEdits({}, observer);
  ConfigurationStateMachine byTexts({}, observer);
  std::string before;
  for (RulesVersion version = 0; version < 20; ++version) {
    const std::string after = ManyLines(int(version) * 50, int(version));
    const std::string id = "id" + std::to_string(version);
    CHECK(Send(byEdits, Edited(id, version, before, after)).mVersion ==
          version + 1);
    CHECK(Send(byTexts, NewText(id, version, after)).mVersion == version + 1);
    before = after;
  }
  for (ConfigurationStateMachine* each : { &byEdits, &byTexts }) {
    CHECK(each->Current().mText == before);
    for (RulesVersion version = 1; version <= 20; ++version) {
      const int line = int(version) - 1;
      REQUIRE(each->TextOf(version));
      CHECK(each->TextOf(version)->mText == ManyLines(line * 50, line));
    }
    CHECK(each->TextOf(0)->mText.empty());
    CHECK(each->History(1).front().mBytes == before.size());
  }
}

TEST_CASE("Configuration: a retry may send a delta or the full text")
{
  RecordingObserver observer;
  ConfigurationStateMachine machine({}, observer);
  Send(machine, Edited("a", 0, "", "one\n"));
  Send(machine, NewText("b", 1, "one\ntwo\n"));
  CHECK(Send(machine, NewText("a", 0, "one\n")).mVersion == 1);
  const ChangeResponse resent =
    Send(machine, Edited("b", 1, "one\n", "one\ntwo\n"));
  CHECK(resent.mOutcome == ChangeOutcome::Accepted);
  CHECK(resent.mVersion == 2);
  CHECK(Send(machine, Edited("b", 1, "one\n", "one\n")).mOutcome ==
        ChangeOutcome::RequestIdReused);
  CHECK(machine.Current().mVersion == 2);
}

TEST_CASE("Configuration: a delta with an unexpected result is rejected")
{
  RecordingObserver observer;
  ConfigurationStateMachine machine({}, observer);
  Send(machine, NewText("a", 0, "one\ntwo\n"));
  Send(machine, Edited("b", 1, "one\ntwo\n", "one\n"));
  ChangeCommand wrongHash = Edited("c", 2, "one\n", "four\n");
  wrongHash.mDelta->mResultHash ^= 1U;
  ChangeCommand misfit = Edited("c", 2, "one\ntwo\nthree\n", "one\ntwo\n");
  for (const ChangeCommand& each : { wrongHash, misfit }) {
    const ChangeResponse refused = Send(machine, each);
    CHECK(refused.mOutcome == ChangeOutcome::DeltaMismatch);
    CHECK(refused.mVersion == 2);
  }
  CHECK(machine.Current().mText == "one\n");
  CHECK(Send(machine, Edited("c", 2, "one\n", "four\n")).mVersion == 3);
  CHECK(Send(machine, Edited("d", 2, "one\n", "five\n")).mOutcome ==
        ChangeOutcome::VersionConflict);
  CHECK(observer.mVersions == std::vector<RulesVersion>{ 1, 2, 3 });
}

TEST_CASE("Configuration: a delta in a rollback is ignored")
{
  RecordingObserver observer;
  ConfigurationStateMachine machine({}, observer);
  Send(machine, NewText("a", 0, "one\n"));
  Send(machine, NewText("b", 1, "two\n"));
  ChangeCommand back = RollbackTo("c", 2, 1);
  back.mDelta = DiffLines("two\n", "three\nfour\n");
  CHECK(Send(machine, back).mVersion == 3);
  CHECK(machine.Current().mText == "one\n");
  CHECK(machine.TextOf(2)->mText == "two\n");
}

TEST_CASE("Configuration: a long history of small changes takes little space")
{
  RecordingObserver observer;
  ConfigurationStateMachine machine({}, observer);
  std::string before;
  for (int change = 0; change < 200; ++change) {
    const std::string after = ManyLines(change, change + 100);
    Send(machine, Edited("id" + std::to_string(change), change, before, after));
    before = after;
  }
  const std::string snapshot = machine.TakeSnapshot();
  CHECK(snapshot.size() < 4 * before.size());
  ConfigurationStateMachine restored({}, observer);
  REQUIRE(restored.RestoreSnapshot(snapshot));
  CHECK(restored.TextOf(1)->mText == ManyLines(0, 100));
  CHECK(restored.TakeSnapshot() == snapshot);
}

TEST_CASE("Configuration: only the last version of a batch is published")
{
  RecordingObserver observer;
  ConfigurationStateMachine machine({}, observer);
  machine.BeginBatch();
  Send(machine, NewText("a", 0, "one"));
  Send(machine, NewText("b", 1, "two"));
  CHECK(machine.Current().mVersion == 2);
  CHECK(observer.mVersions.empty());
  machine.EndBatch();
  CHECK(observer.mVersions == std::vector<RulesVersion>{ 2 });
  machine.BeginBatch();
  Send(machine, NewText("b", 1, "two"));
  machine.EndBatch();
  CHECK(observer.mVersions == std::vector<RulesVersion>{ 2 });
  Send(machine, NewText("c", 2, "three"));
  CHECK(observer.mVersions == std::vector<RulesVersion>{ 2, 3 });
}
