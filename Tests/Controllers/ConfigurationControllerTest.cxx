#include <optional>
#include <string>

#include <catch2/catch.hpp>

#include "Controllers/ConfigurationController.h"
#include "Support/FakeReplicator.h"
#include "Support/ManualClock.h"

using namespace almondspoke;
using almondspoke::testing::FakeReplicator;
using almondspoke::testing::ManualClock;

namespace {

constexpr const char* kText = "reserve deposit 5% # desk\n";
constexpr const char* kOtherText = "reserve deposit 6% # desk\n";

/** \brief A group of one replica that records the size of the last command. */
class MeasuringReplicator : public FakeReplicator
{
public:
  using FakeReplicator::FakeReplicator;

  void Propose(std::string aCommand, Done aDone) override
  {
    mLastBytes = aCommand.size();
    FakeReplicator::Propose(std::move(aCommand), std::move(aDone));
  }

  std::size_t mLastBytes = 0;
};

/** \brief The configuration of an instance, with a group of one replica. */
struct Instance
{
  ManualClock mClock;
  RulesPublisher mPublisher{ mClock };
  ConfigurationStateMachine mMachine{ {}, mPublisher };
  MeasuringReplicator mReplicator{ mMachine };
  ConfigurationController mController{ mReplicator,
                                       mMachine,
                                       mPublisher,
                                       mClock };

  Result<RulesVersion> Apply(std::string aId,
                             RulesVersion aBase,
                             std::string aText)
  {
    std::optional<Result<RulesVersion>> result;
    mController.Apply(
      { std::move(aId), aBase, std::move(aText), "ana" },
      [&result](const Result<RulesVersion>& aResult) { result = aResult; });
    REQUIRE(result);
    return *result;
  }

  Result<RulesVersion> Rollback(std::string aId,
                                RulesVersion aBase,
                                RulesVersion aTarget)
  {
    std::optional<Result<RulesVersion>> result;
    mController.Rollback(
      { std::move(aId), aBase, aTarget, "ana" },
      [&result](const Result<RulesVersion>& aResult) { result = aResult; });
    REQUIRE(result);
    return *result;
  }
};

}

TEST_CASE("Configuration controller: of two changes on one base version, the "
          "second gets a conflict that names the first")
{
  Instance instance;
  CHECK(instance.Apply("a", 0, kText).value() == 1);
  const auto lost = instance.Apply("b", 0, kOtherText);
  REQUIRE_FALSE(lost);
  CHECK(lost.error().Kind() == ErrorKind::VersionConflict);
  CHECK(lost.error().Message() ==
        "version 1 on the same base 0 was made by 'ana' (request id 'a'); "
        "version 1 is in force");
  CHECK(instance.Apply("a", 0, kText).value() == 1);
  CHECK(instance.mPublisher.ServedVersion() == 1);
}

TEST_CASE("Configuration controller: returns the error of an unreachable group")
{
  Instance instance;
  for (const ErrorKind kind : { ErrorKind::NoQuorum,
                                ErrorKind::NotLeader,
                                ErrorKind::OutcomeUnknown,
                                ErrorKind::StorageFailed }) {
    instance.mReplicator.mFailure = Error(kind, "cut off");
    const auto refused = instance.Apply("a", 0, kText);
    REQUIRE_FALSE(refused);
    CHECK(refused.error().Kind() == kind);
  }
  instance.mReplicator.mFailure.reset();
  CHECK(instance.Apply("a", 0, kText).value() == 1);
}

TEST_CASE("Configuration controller: continues to serve the last version "
          "without the group")
{
  Instance instance;
  instance.mController.ConfirmThroughGroup();
  instance.Apply("a", 0, kText).value();
  instance.mReplicator.mFailure = Error(ErrorKind::NoQuorum, "cut off");
  instance.mController.ConfirmThroughGroup();
  CHECK(instance.mController.IsReady());
  CHECK(instance.mController.Show(std::nullopt).value().mText == kText);
}

TEST_CASE("Configuration controller: ready only after the group has confirmed")
{
  Instance instance;
  instance.mReplicator.mFailure = Error(ErrorKind::NoQuorum, "cut off");
  instance.mController.ConfirmThroughGroup();
  CHECK_FALSE(instance.mController.IsReady());
  instance.mReplicator.mFailure.reset();
  instance.mController.ConfirmThroughGroup();
  CHECK(instance.mController.IsReady());
}

TEST_CASE("Configuration controller: invalid input is not sent to the group")
{
  Instance instance;
  CHECK(instance.Apply("a", 0, "reserve deposit 5%\n").error().Kind() ==
        ErrorKind::InvalidRules);
  for (const std::string& id :
       { std::string(), std::string(129, 'a'), std::string("a\nb") }) {
    const auto refused = instance.Apply(id, 0, kText);
    REQUIRE_FALSE(refused);
    CHECK(refused.error().Kind() == ErrorKind::InvalidArgument);
  }
  CHECK(instance.mMachine.Current().mVersion == 0);
}

TEST_CASE("Configuration controller: rollback, show and history")
{
  Instance instance;
  instance.Apply("a", 0, kText).value();
  instance.Apply("b", 1, kOtherText).value();
  CHECK(instance.Rollback("c", 2, 1).value() == 3);
  CHECK(instance.mController.Show(std::nullopt).value().mVersion == 3);
  CHECK(instance.mController.Show(std::nullopt).value().mText == kText);
  CHECK(instance.mController.Show(2).value().mText == kOtherText);
  CHECK(instance.mController.Show(9).error().Kind() == ErrorKind::NotFound);
  CHECK(instance.Rollback("d", 3, 9).error().Kind() == ErrorKind::NotFound);
  CHECK(instance.Apply("a", 3, kText).error().Kind() == ErrorKind::KeyConflict);
  const auto history = instance.mController.History(2);
  REQUIRE(history.size() == 2);
  CHECK(history[0].mVersion == 3);
  CHECK(history[0].mRollbackOf == 1);
  CHECK(history[1].mVersion == 2);
}

TEST_CASE("Configuration controller: a change of one line is sent as a delta")
{
  Instance instance;
  std::string text;
  for (int line = 0; line < 500; ++line) {
    text += "quota team-" + std::to_string(line) + " 64 slots # north crew\n";
  }
  REQUIRE(instance.Apply("a", 0, text));
  CHECK(instance.mReplicator.mLastBytes > text.size());

  std::string changed = text;
  changed.replace(changed.find("64"), 2, "32");
  CHECK(instance.Apply("b", 1, changed).value() == 2);
  CHECK(instance.mReplicator.mLastBytes < 200);
  CHECK(instance.mController.Show(std::nullopt).value().mText == changed);
  CHECK(instance.mController.Show(RulesVersion{ 1 }).value().mText == text);

  // A completely different text, and a base version that is not stored.
  CHECK(instance.Apply("c", 2, kText).value() == 3);
  CHECK(instance.mController.Show(std::nullopt).value().mText == kText);
  const auto conflict = instance.Apply("d", 77, text);
  REQUIRE_FALSE(conflict);
  CHECK(conflict.error().Kind() == ErrorKind::VersionConflict);
}
