#include <optional>
#include <string>

#include <catch2/catch.hpp>

#include "Controllers/VotersController.h"
#include "Support/FakePeerRpc.h"

using namespace almondspoke;
using almondspoke::testing::FakePeerRpc;

namespace {

/** \brief A group that answers each change immediately. */
class FakeVoterGroup : public VoterGroup
{
public:
  CoreStatus Status() const override { return mStatus; }
  void ChangeVoters(const VoterChange& aChange,
                    const VersionDone& aDone) override
  {
    mChange = aChange;
    aDone(mAnswer);
  }

  CoreStatus mStatus;
  Result<std::uint64_t> mAnswer = std::uint64_t{ 8 };
  std::optional<VoterChange> mChange;
};

const VotersController::DiskPresence kDisks = { { "a", true },
                                                { "b", true },
                                                { "c", false } };

VoterChange
ChangeOf(const InstanceName& aName, bool aRemove = false)
{
  return { "id", "ana", aName, aRemove, 7 };
}

struct Instance
{
  Result<std::uint64_t> Change(const VoterChange& aChange,
                               const GroupName& aGroup = "configuration")
  {
    Result<std::uint64_t> answer = Error(ErrorKind::Internal, "no answer");
    mVoters.Change(aGroup, aChange, [&](Result<std::uint64_t> aResult) {
      answer = std::move(aResult);
    });
    return answer;
  }

  FakePeerRpc mRpc;
  FakeVoterGroup mGroup;
  FakeVoterGroup mOther;
  VotersController mVoters{ { { "configuration", &mGroup },
                              { "submissions-riga", &mOther } },
                            mRpc,
                            kDisks };
};

}

TEST_CASE("Voters: invalid input is rejected before it reaches the group")
{
  struct Case
  {
    VoterChange mChange;
    const char* mMessage;
  };
  const std::string tooLong(129, 'x');
  for (const Case& one : {
         Case{ ChangeOf("x"),
               "instance 'x' is not in [instances] of the settings (allowed: "
               "a, b)" },
         Case{ ChangeOf("c"), "instance 'c' has no disk (allowed: a, b)" },
         Case{ ChangeOf("", true),
               "invalid name of 0 bytes (allowed: 1 to 128 printable ASCII "
               "characters)" },
         Case{ { tooLong, "ana", "a", false, 7 },
               "invalid requestId of 129 bytes (allowed: 1 to 128 printable "
               "ASCII characters)" },
         Case{ { "id", "a\nb", "a", false, 7 },
               "invalid author of 3 bytes (allowed: 1 to 128 printable ASCII "
               "characters)" },
       }) {
    INFO(one.mMessage);
    Instance instance;
    instance.mGroup.mStatus.mRole = ReplicaRole::Leader;
    const Result<std::uint64_t> answer = instance.Change(one.mChange);
    REQUIRE_FALSE(answer);
    CHECK(answer.error().Kind() == ErrorKind::InvalidArgument);
    CHECK(answer.error().Message() == one.mMessage);
    CHECK_FALSE(instance.mGroup.mChange);
  }
}

TEST_CASE("Voters: an instance that is not in the settings can be removed")
{
  Instance instance;
  instance.mGroup.mStatus.mRole = ReplicaRole::Leader;
  CHECK(instance.Change(ChangeOf("gone", true)).value() == 8);
}

TEST_CASE("Voters: a follower forwards a change and returns its result")
{
  Instance leader;
  Instance follower;
  follower.mRpc.mPeer = &leader.mRpc;
  CHECK(follower.Change(ChangeOf("a")).error().Kind() == ErrorKind::NoQuorum);

  follower.mGroup.mStatus.mLeader = "b";
  CHECK(follower.Change(ChangeOf("a")).value() == 8);
  REQUIRE(leader.mGroup.mChange);
  CHECK(*leader.mGroup.mChange == ChangeOf("a"));
  CHECK(leader.mGroup.mChange->mAuthor == "ana");

  leader.mGroup.mAnswer = Error(ErrorKind::VersionConflict, "late");
  CHECK(follower.Change(ChangeOf("a")).error().Kind() ==
        ErrorKind::VersionConflict);
  leader.mRpc.mHandlers.at("voters.change")(
    "me", "damaged", [](const Result<std::string>& aAnswer) {
      CHECK(aAnswer.error().Kind() == ErrorKind::MalformedRequest);
    });
}

TEST_CASE("Voters: a group without a local replica is an error naming it")
{
  Instance instance;
  const std::string message =
    "this instance has no replica of group 'submissions-sisak' (allowed here: "
    "configuration, submissions-riga; the voters of other groups are listed in "
    "[groups] of the settings)";
  const auto shown = instance.mVoters.Show("submissions-sisak");
  CHECK(shown.error().Kind() == ErrorKind::NotFound);
  CHECK(shown.error().Message() == message);
  const auto changed = instance.Change(ChangeOf("a"), "submissions-sisak");
  CHECK(changed.error().Kind() == ErrorKind::NotFound);
  CHECK(changed.error().Message() == message);
}

TEST_CASE("Voters: a change is applied to the group that it names")
{
  Instance leader;
  Instance follower;
  follower.mRpc.mPeer = &leader.mRpc;
  follower.mOther.mStatus.mLeader = "b";
  leader.mOther.mAnswer = std::uint64_t{ 3 };
  CHECK(follower.Change(ChangeOf("a"), "submissions-riga").value() == 3);
  CHECK(leader.mOther.mChange);
  CHECK_FALSE(leader.mGroup.mChange);
  // The instance knows a leader of that group, but none of the configuration
  // group.
  CHECK(follower.Change(ChangeOf("a")).error().Kind() == ErrorKind::NoQuorum);
}
